// Package caller tells whether the caller of a request is still connected, and ends the request's
// context once it is not.
//
// The context that net/http gives a request is not enough: it ends when a read that runs beside the
// handler finds the connection closed. That read begins after the body was read, so a close that
// arrived before is found only once the handler pauses; and it ends with the first byte of a further
// request, so a close after that is not found at all.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"filberthook/internal/network/netopt"
)

// checkInterval is how often the connection of a request in progress is checked. Work for a caller
// that left ends within half a second.
const checkInterval = 200 * time.Millisecond

type connKey struct{}

type requestKey struct{}

// request is a request in progress.
type request struct {
	conn   net.Conn
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool // the handler has returned
}

// ConnContext is the hook of that name of http.Server. Handler needs it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler ends the context of each request whose caller has closed its connection.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(net.Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		q := &request{conn: c, cancel: cancel}
		q.schedule()
		defer q.end()
		next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, requestKey{}, q)))
	})
}

// Check returns an error if ctx has ended or the caller of its request has left, which it asks the
// connection. Whoever begins work for a caller asks it right before, after each wait. A caller that
// has closed only its sending side counts as one that left, as it does with net/http.
func Check(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if q, ok := ctx.Value(requestKey{}).(*request); ok && netopt.PeerClosed(q.conn) {
		q.cancel()
		return context.Canceled
	}
	return nil
}

// Closed reports whether the caller of a request has closed its connection, or whether that is
// unknown because the context is not of a request of Handler.
func Closed(ctx context.Context) bool {
	q, ok := ctx.Value(requestKey{}).(*request)
	return !ok || netopt.PeerClosed(q.conn)
}

// Detach returns a context for work that goes on when the caller leaves.
func Detach(ctx context.Context) context.Context {
	return context.WithValue(context.WithoutCancel(ctx), requestKey{}, nil)
}

func (q *request) schedule() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.ended {
		q.timer = time.AfterFunc(checkInterval, q.check)
	}
}

// check ends the request's context if the caller has left, else checks again later.
func (q *request) check() {
	if netopt.PeerClosed(q.conn) {
		q.cancel()
		return
	}
	q.schedule()
}

// end stops the checks.
func (q *request) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
	q.timer.Stop()
}
