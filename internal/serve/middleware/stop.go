package middleware

import (
	"context"
	"net/http"
	"sync"

	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

// Stop counts the requests in flight, so that an entry host can wait for them when it
// stops. After Begin it refuses new requests.
type Stop struct {
	next http.Handler

	mu       sync.Mutex    // guards the fields below
	inFlight int           // requests inside next
	stopping bool          // new requests are refused
	idle     chan struct{} // closed once stopping is set and inFlight is 0
	closed   bool          // whether idle is closed
}

// NewStop returns the handler.
func NewStop(next http.Handler) *Stop {
	return &Stop{next: next, idle: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (h *Stop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.enter() {
		w.Header().Set("Connection", "close")
		call.From(r).Refuse(w, request.Refuse(request.Stopping, "this host is stopping"))
		return
	}
	defer h.leave()
	h.next.ServeHTTP(w, r)
}

func (h *Stop) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return false
	}
	h.inFlight++
	return true
}

func (h *Stop) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	h.signal()
}

// signal closes idle if the stop has begun and no request is in flight. The caller holds
// h.mu.
func (h *Stop) signal() {
	if h.stopping && h.inFlight == 0 && !h.closed {
		h.closed = true
		close(h.idle)
	}
}

// Begin starts to refuse new requests.
func (h *Stop) Begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	h.signal()
}

// InFlight returns the number of requests in flight.
func (h *Stop) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

// Wait waits after Begin until no request is in flight or ctx ends. It returns the number
// of requests still in flight.
func (h *Stop) Wait(ctx context.Context) int {
	select {
	case <-h.idle:
		return 0
	case <-ctx.Done():
		return h.InFlight()
	}
}
