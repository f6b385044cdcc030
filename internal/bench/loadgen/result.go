// Package loadgen calls endpoints and entry hosts as a calling team does,
// verifies every answer against the stand-ins' deterministic ones, and measures
// latencies.
package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
)

// Outcome is how a call ended for its caller.
type Outcome string

// Outcomes.
const (
	Whole   Outcome = "whole"   // the whole right answer
	Wrong   Outcome = "wrong"   // an answer that is not the one to the call
	NotRun  Outcome = "not_run" // a refusal that says that nothing ran
	Ran     Outcome = "ran"     // a failure that says that the call ran, or part of it
	Unknown Outcome = "unknown" // a failure that says that the call may have run
	Broken  Outcome = "broken"  // no answer, or only a part of one
)

// Outcomes lists all outcomes in the order of reports.
func Outcomes() []Outcome { return []Outcome{Whole, Wrong, NotRun, Ran, Unknown, Broken} }

// Result is the end of one call.
type Result struct {
	Outcome Outcome
	Status  int    // HTTP status; 0 when there was no answer
	Code    string // machine-readable reason of a refusal
	Key     string // idempotency key under which the call is known
	Err     error  // what was wrong; nil for Whole

	FirstToken time.Duration // from sending to the first token, or to the answer
	Total      time.Duration
	Tokens     int // that the caller has, with those of an earlier stream
	Resumed    int // of them, those of an earlier stream

	lastToken time.Duration   // time of the last token, from sending
	gaps      []time.Duration // between tokens, in order of arrival
}

// recordToken notes the arrival of a recordToken of a stream.
func (r *Result) recordToken(at time.Duration) {
	if r.Tokens == r.Resumed {
		r.FirstToken = at
	} else {
		r.gaps = append(r.gaps, at-r.lastToken)
	}
	r.lastToken = at
}

// GapP95 returns the time that 95 in 100 gaps between tokens of a stream do not
// exceed.
func (r Result) GapP95() time.Duration {
	if len(r.gaps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.gaps))
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}

// PerToken returns the mean time between tokens after the first one.
func (r Result) PerToken() time.Duration {
	received := r.Tokens - r.Resumed
	if received < 2 {
		return 0
	}
	return (r.Total - r.FirstToken) / time.Duration(received-1)
}

// RefusedError reports a refusal by an entry host or an endpoint, or the event
// that ends a stream without its rest.
type RefusedError struct {
	Status  int
	Code    string
	Outcome Outcome // what the refusal says about the run
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d, code %s: %s", e.Status, e.Code, e.Message)
}

// WrongAnswerError reports an answer that is not the one to its call.
type WrongAnswerError struct{ Detail string }

// Error implements error.
func (e *WrongAnswerError) Error() string {
	return "wrong answer: " + e.Detail + "; keep the logs of the entry and the endpoint for study"
}

// errStreamTruncated reports a stream that ended before its last chunk.
var errStreamTruncated = errors.New("stream ended before its last chunk: resume it under its key")

// errorBody is the part of a refusal's body that callers read.
type errorBody struct {
	Error struct {
		Code        string `json:"code"`
		Message     string `json:"message"`
		Disposition string `json:"disposition"`
	} `json:"error"`
}

// maxErrorBytes bounds what is read of a refusal's body.
const maxErrorBytes = 64 << 10

// parseRefusal reads a refusal.
func parseRefusal(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body errorBody
	_ = json.Unmarshal(data, &body)
	return &RefusedError{
		Status:  resp.StatusCode,
		Code:    body.Error.Code,
		Outcome: outcomeOf(resp.Header.Get(engineapi.HeaderRunDisposition)),
		Message: body.Error.Message,
	}
}

// parseErrorEvent reads the event that ends a stream without its rest.
func parseErrorEvent(status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("error event is not readable: %w", err)
	}
	return &RefusedError{Status: status, Code: body.Error.Code, Outcome: outcomeOf(body.Error.Disposition), Message: body.Error.Message}
}

// outcomeOf reads what a refusal says about the run. One that says nothing may
// have run.
func outcomeOf(disposition string) Outcome {
	switch o := Outcome(disposition); o {
	case NotRun, Ran:
		return o
	default:
		return Unknown
	}
}

// fail records a call that got no whole answer, or a wrong one.
func (r *Result) fail(err error) {
	r.Err = err
	r.Outcome = Broken
	var wrong *WrongAnswerError
	var refused *RefusedError
	switch {
	case errors.As(err, &wrong):
		r.Outcome = Wrong
	case errors.As(err, &refused):
		r.Outcome, r.Code = refused.Outcome, refused.Code
	}
}
