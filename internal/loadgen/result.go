// Package loadgen calls endpoints and entry hosts as a calling team does,
// verifies every answer against the stand-ins' deterministic ones, and measures
// latencies.
package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"filberthook/internal/engineapi"
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
	Tokens     int
}

// PerToken returns the mean time between tokens after the first one.
func (r Result) PerToken() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.Total - r.FirstToken) / time.Duration(r.Tokens-1)
}

// RefusedError reports a refusal by an entry host or an endpoint.
type RefusedError struct {
	Status  int
	Code    string
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

// errCutShort reports a stream that ended before its last chunk.
var errCutShort = errors.New("stream ended before its last chunk: resume it under its key")

// errorBody is the part of a refusal's body that callers read.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// maxErrorBytes bounds what is read of a refusal's body.
const maxErrorBytes = 64 << 10

// refused reads a refusal.
func (r *Result) refused(resp *http.Response) {
	var body errorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body)
	r.Code = body.Error.Code
	r.Err = &RefusedError{Status: resp.StatusCode, Code: r.Code, Message: body.Error.Message}
	switch Outcome(resp.Header.Get(engineapi.HeaderRunDisposition)) {
	case NotRun:
		r.Outcome = NotRun
	case Ran:
		r.Outcome = Ran
	default:
		r.Outcome = Unknown
	}
}

// fail records a call that got no whole answer, or a wrong one.
func (r *Result) fail(err error) {
	r.Err = err
	r.Outcome = Broken
	var wrong *WrongAnswerError
	if errors.As(err, &wrong) {
		r.Outcome = Wrong
	}
}
