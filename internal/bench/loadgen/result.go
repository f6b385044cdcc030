// Package loadgen generates load on endpoints and entry hosts as a calling team
// would, verifies every answer against the stand-ins' deterministic answers, and
// measures latencies.
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

// Outcome is how a call ended, as its caller sees it.
type Outcome string

// Outcomes.
const (
	Whole   Outcome = "whole"   // a complete, correct answer
	Wrong   Outcome = "wrong"   // an answer that differs from the expected one
	NotRun  Outcome = "not_run" // a refusal that states that nothing ran
	Ran     Outcome = "ran"     // a failure that states that the call ran, at least in part
	Unknown Outcome = "unknown" // a failure after which the call may have run
	Broken  Outcome = "broken"  // no answer, or an incomplete one
)

// Outcomes returns all outcomes in the order in which reports list them.
func Outcomes() []Outcome { return []Outcome{Whole, Wrong, NotRun, Ran, Unknown, Broken} }

// Result is the result of one call.
type Result struct {
	Outcome Outcome
	Status  int    // HTTP status; 0 if there was no response
	Code    string // machine-readable reason of a refusal
	Key     string // idempotency key of the call
	Err     error  // why the call failed; nil for Whole

	FirstToken time.Duration // from sending to the first token, or to the answer
	Total      time.Duration
	Tokens     int // received in total, including those of an earlier stream
	Resumed    int // of Tokens, those received from an earlier stream

	lastToken time.Duration   // arrival of the last token, from sending
	gaps      []time.Duration // between tokens, in order of arrival
}

// recordToken records the arrival of a streamed token.
func (r *Result) recordToken(at time.Duration) {
	if r.Tokens == r.Resumed {
		r.FirstToken = at
	} else {
		r.gaps = append(r.gaps, at-r.lastToken)
	}
	r.lastToken = at
}

// GapP95 returns the 95th percentile of the gaps between the tokens of a stream.
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

// RefusedError reports a refusal by an entry host or an endpoint, or an error
// event that ended a stream early.
type RefusedError struct {
	Status  int
	Code    string
	Outcome Outcome // what the refusal states about whether the call ran
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d, code %s: %s", e.Status, e.Code, e.Message)
}

// WrongAnswerError reports an answer that differs from the expected one.
type WrongAnswerError struct{ Detail string }

// Error implements error.
func (e *WrongAnswerError) Error() string {
	return "wrong answer: " + e.Detail + "; keep the logs of the entry host and the endpoint to investigate"
}

// errStreamTruncated reports a stream that ended before its last chunk.
var errStreamTruncated = errors.New("stream ended before its last chunk: resume it with the same idempotency key")

// errorBody is the part of a refusal's body that callers read.
type errorBody struct {
	Error struct {
		Code        string `json:"code"`
		Message     string `json:"message"`
		Disposition string `json:"disposition"`
	} `json:"error"`
}

// maxErrorBytes limits how much of a refusal's body is read.
const maxErrorBytes = 64 << 10

// parseRefusal reads a refusal from its response.
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

// parseErrorEvent reads an error event that ended a stream early.
func parseErrorEvent(status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("cannot parse error event: %w", err)
	}
	return &RefusedError{Status: status, Code: body.Error.Code, Outcome: outcomeOf(body.Error.Disposition), Message: body.Error.Message}
}

// outcomeOf returns the outcome that a run disposition states. Without a known
// one, the call may have run.
func outcomeOf(disposition string) Outcome {
	switch o := Outcome(disposition); o {
	case NotRun, Ran:
		return o
	default:
		return Unknown
	}
}

// fail records the error of a call and derives its outcome.
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
