// Package call holds what the handlers of an entry host learn about one caller
// request on its way to an endpoint, and writes its refusal.
package call

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"filberthook/internal/bench/history"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/retry"
)

// Call is one caller request. A handler fills its fields before it calls the
// next one; after that they are read only.
type Call struct {
	Request  *request.Request
	Counters *request.Counters
	History  *history.Entry // may be nil
	Arrived  time.Time

	Team     string         // calling team
	Endpoint fleet.Endpoint // what is called
	Class    class.Class
	Deadline time.Time // the answer is due by then
	Key      string    // idempotency key, of the caller or minted
	Minted   bool      // the key was made here

	// Resend tells that the caller brought the key of a non-repeatable call, so
	// that an earlier send of it may have run. It is cleared once the claims
	// show that none did.
	Resend bool

	Path      string // path at the endpoint
	RawQuery  string
	Body      []byte
	Stream    bool // the answer is to be streamed
	Delivered int  // output tokens that the caller has from an earlier connection

	Prefixes       []uint64 // chained hashes of the whole pieces of the prompt, for model endpoints
	PromptTokens   int
	MaxTokens      int          // limit of the answer that the caller set; 0 is none
	ExpectedOutput int          // tokens
	Output         atomic.Int64 // tokens passed on so far; added to by the last handler
}

// New returns a Call for a request that has just arrived.
func New(id string, counters *request.Counters) *Call {
	return &Call{Request: request.New(id), Counters: counters, Arrived: time.Now()}
}

// contextKey is the key of the Call in a request's context.
type contextKey struct{}

// With returns a context that carries the call.
func With(ctx context.Context, c *Call) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// From returns the call of a request. Every request has one: the outermost
// handler makes it.
func From(r *http.Request) *Call {
	return r.Context().Value(contextKey{}).(*Call)
}

// Left returns the time until the deadline.
func (c *Call) Left() time.Duration { return time.Until(c.Deadline) }

// Refuse ends the call without its answer and writes the refusal. Nothing may
// have been written before.
func (c *Call) Refuse(w http.ResponseWriter, refusal *request.Refusal) {
	if c.Resend {
		refusal = refusal.OfResend()
	}
	c.End(refusal)
	c.WriteRefusal(w, refusal)
}

// End ends the call without its answer and writes nothing.
func (c *Call) End(refusal *request.Refusal) {
	c.Request.Refuse(refusal)
	c.Counters.Refused(refusal.Code, refusal.Disposition)
}

// Answered ends the call with its whole answer.
func (c *Call) Answered() {
	c.Request.Answer()
	c.Counters.Answered()
}

// WriteRefusal writes a refusal without ending the call.
func (c *Call) WriteRefusal(w http.ResponseWriter, refusal *request.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(engineapi.HeaderRunDisposition, string(refusal.Disposition))
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(refusal.RetryAfter)))
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(c.body(refusal))
}

// RefusalBody is the body of every refusal, and the data of the error event
// that ends a broken stream.
type RefusalBody struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail describes a refusal to the caller.
type RefusalDetail struct {
	Code         request.Code        `json:"code"`
	Type         string              `json:"type"`
	Message      string              `json:"message"`
	Disposition  request.Disposition `json:"disposition"`
	Remedy       string              `json:"remedy"`
	RetryAfterMS int64               `json:"retry_after_ms,omitempty"`
	RequestID    string              `json:"request_id"`
	Key          string              `json:"idempotency_key,omitempty"`
}

// refusalType is the type of all refusals.
const refusalType = "refusal"

func (c *Call) body(refusal *request.Refusal) RefusalBody {
	return RefusalBody{Error: RefusalDetail{
		Code:         refusal.Code,
		Type:         refusalType,
		Message:      refusal.Detail,
		Disposition:  refusal.Disposition,
		Remedy:       refusal.Remedy,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		RequestID:    c.Request.ID(),
		Key:          c.Key,
	}}
}

// RefusalJSON returns the refusal's body as JSON.
func (c *Call) RefusalJSON(refusal *request.Refusal) []byte {
	data, err := json.Marshal(c.body(refusal))
	if err != nil {
		return []byte("{}")
	}
	return data
}

// retryAfterSeconds spreads the return of refused callers and rounds up to
// whole seconds, as the header has them.
func retryAfterSeconds(d time.Duration) int {
	spread := retry.JitterRetryAfter(d, rand.Float64())
	return int((spread + time.Second - 1) / time.Second)
}
