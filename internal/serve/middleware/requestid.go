package middleware

import (
	"net/http"
	"strings"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/ident"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

// maxIDBytes is the maximum length of a caller's request identifier or idempotency key.
const maxIDBytes = 128

// RequestID creates the Call of each request, with the caller's request identifier if it
// is well formed, or a new one.
type RequestID struct {
	counters *request.Counters
	next     http.Handler
}

// NewRequestID returns the handler.
func NewRequestID(counters *request.Counters, next http.Handler) *RequestID {
	return &RequestID{counters: counters, next: next}
}

// ServeHTTP implements http.Handler.
func (h *RequestID) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(engineapi.HeaderRequestID)
	if !wellFormedID(id) {
		id = ident.New()
	}
	w.Header().Set(engineapi.HeaderRequestID, id)
	c := call.New(id, h.counters)
	c.Resend = mayBeResend(r)
	h.next.ServeHTTP(w, r.WithContext(call.With(r.Context(), c)))
}

// mayBeResend reports whether an earlier send of the same call to a plain service may
// have run. Target clears Resend if the call turns out to be repeatable.
func mayBeResend(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, PathServices) && !safe(r.Method) &&
		wellFormedID(r.Header.Get(engineapi.HeaderIdempotencyKey))
}

// safe reports whether a method only reads.
func safe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// wellFormedID reports whether an identifier can be logged and forwarded unchanged: it is
// visible ASCII of at most maxIDBytes.
func wellFormedID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}
