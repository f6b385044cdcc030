package middleware

import (
	"net/http"
	"strings"

	"filberthook/internal/serve/call"
	"filberthook/internal/serve/claim"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/request"
)

// PathRequests is the path prefix under which callers ask for the outcome of a
// non-repeatable call: GET PathRequests{endpoint}/{idempotency key}.
const PathRequests = "/v1/requests/"

// Outcome serves lookups of a call by its idempotency key, with the stored answer or a
// refusal that gives the state of the call. A team whose access was withdrawn can still
// look up its calls.
type Outcome struct {
	log  *claimlog.Client
	next http.Handler
}

// NewOutcome returns the handler.
func NewOutcome(log *claimlog.Client, next http.Handler) *Outcome {
	return &Outcome{log: log, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Outcome) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, PathRequests)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c := call.From(r)
	endpoint, key, _ := strings.Cut(rest, "/")
	switch {
	case r.Method != http.MethodGet:
		c.Refuse(w, request.Refuse(request.MethodNotAllowed, "method %s", r.Method))
	case endpoint == "" || !wellFormedID(key):
		c.Refuse(w, request.Refuse(request.InvalidRequest, "the path must be %s{endpoint}/{idempotency key}", PathRequests))
	default:
		c.Key = key
		h.answer(w, r, c, claim.Key{Team: c.Team, Endpoint: endpoint, Idempotency: key})
	}
}

func (h *Outcome) answer(w http.ResponseWriter, r *http.Request, c *call.Call, key claim.Key) {
	res, err := h.log.Lookup(r.Context(), key)
	if err != nil {
		c.Refuse(w, request.Refuse(request.LookupUnavailable, "the claims are out of reach").WithCause(err))
		return
	}
	answerFromClaim(w, c, res)
}
