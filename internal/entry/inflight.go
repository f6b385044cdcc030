package entry

import (
	"net/http"
	"sync/atomic"
)

// inFlight counts the requests under way.
type inFlight struct {
	next  http.Handler
	count atomic.Int64
}

// ServeHTTP implements http.Handler.
func (h *inFlight) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.count.Add(1)
	defer h.count.Add(-1)
	h.next.ServeHTTP(w, r)
}
