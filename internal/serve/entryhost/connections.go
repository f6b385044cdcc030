package entryhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/netopt"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/connguard"
	"filberthook/internal/serve/forward"
)

// defaultIdleTimeout applies if the configuration sets no idle timeout.
const defaultIdleTimeout = time.Minute

// drainIdleTimeout is how long an idle connection is kept after the stop signal, so that a
// request that the caller has already sent is still served.
const drainIdleTimeout = 1500 * time.Millisecond

// callerConn is a caller's connection that can be closed safely while it is idle.
// Invariant: closeIfIdle closes no connection of which Read has taken bytes of a request from the
// socket. While a Read is under way only that Read decides, as nothing else knows what it has taken.
type callerConn struct {
	net.Conn
	raced *metrics.Counter // requests that came as the connection was closed as idle; may be nil

	mu       sync.Mutex
	accepted time.Time // zero once it has been idle after a request
	deadline time.Time // of reads, as set by the server
	idle     bool      // nothing has been read since it became idle
	reading  bool      // a Read is under way
	closing  bool      // the Read under way was woken to close the connection
	closed   bool      // set when it was closed as idle
}

// firstRequestTime is how long the first request of a new connection may be on its way.
const firstRequestTime = 500 * time.Millisecond

// SetLinger sets what Close does with unsent bytes; see net.TCPConn.
func (c *callerConn) SetLinger(sec int) error {
	l, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(sec)
}

// NetConn returns the connection below, as *tls.Conn does.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if !c.beginRead() {
			return 0, net.ErrClosed
		}
		n, err := c.Conn.Read(p)
		if again := c.endRead(n, err); !again {
			if c.isClosed() {
				return 0, net.ErrClosed
			}
			return n, err
		}
	}
}

// beginRead reports whether the connection is open.
func (c *callerConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closed
	return c.reading
}

// endRead records what a Read has taken. If the Read was woken to close the connection, it closes it,
// unless bytes of a request have arrived; it reports whether these are still to be read.
func (c *callerConn) endRead(n int, err error) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	woken := c.closing
	c.closing = false
	switch {
	case n > 0:
		c.idle = false
	case !woken || !errors.Is(err, os.ErrDeadlineExceeded):
		return false
	case netopt.Idle(c.Conn) == netopt.Pending:
		again = true
	default:
		c.closed = true
		c.Conn.Close()
		return false
	}
	if woken {
		// Ignore the error: the connection has ended.
		_ = c.Conn.SetReadDeadline(c.deadline)
		if c.raced != nil {
			c.raced.Inc()
		}
	}
	return again
}

func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing {
		return nil // endRead sets it if the connection stays open
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// markIdle records that the connection waits for its next request.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.accepted = true, time.Time{}
}

// markActive records that a request is being answered. Read does not see one that came together with
// the request before it.
func (c *callerConn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// closeIfIdle closes the connection unless bytes of a request have arrived. It reports whether it has;
// a Read that is under way closes it, soon after.
func (c *callerConn) closeIfIdle() (closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return true
	case !c.idle || netopt.Idle(c.Conn) == netopt.Pending:
		return false
	case c.reading:
		c.closing = true
		// Ignore the error: the Read fails as well, and the server closes the connection.
		_ = c.Conn.SetReadDeadline(longAgo)
		return false
	default:
		c.closed = true
		c.Conn.Close()
		return true
	}
}

// expectsRequest reports whether a request is being read or answered, or is on its way.
func (c *callerConn) expectsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (!c.idle || time.Since(c.accepted) < firstRequestTime || netopt.Idle(c.Conn) == netopt.Pending)
}

// callerConnections knows the open connections of callers. It closes those that have been
// idle for too long and, at the end of a stop, those that no request is using. The limit
// is that of the configuration in force when the connection was opened or became idle.
type callerConnections struct {
	server *forward.Server

	mu       sync.Mutex
	open     map[*callerConn]bool
	timers   map[*callerConn]*time.Timer
	stopping bool
}

func newCallerConnections(server *forward.Server) *callerConnections {
	return &callerConnections{server: server, open: map[*callerConn]bool{}, timers: map[*callerConn]*time.Timer{}}
}

// track is the ConnState hook of http.Server.
func (i *callerConnections) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[c]; ok {
		timer.Stop()
		delete(i.timers, c)
	}
	switch state {
	case http.StateNew:
		i.open[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(i.open, c)
	}
	if state == http.StateIdle {
		c.markIdle()
		// Ignore the error: the connection has ended.
		_ = c.SetWriteDeadline(time.Time{}) // set by the request that has ended
	}
	if state == http.StateIdle || state == http.StateNew {
		i.timers[c] = time.AfterFunc(i.limit(), func() { c.closeIfIdle() })
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connContext is the hook of that name of http.Server; answering needs it.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(caller.ConnContext(ctx, c), connKey{}, c)
}

// answering keeps a connection from being closed as idle while next answers a request. The server does not
// report a connection as active for a request that it had read together with the one before.
func (i *callerConnections) answering(guard *connguard.Guard, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			i.mu.Lock()
			if timer, ok := i.timers[c]; ok {
				timer.Stop()
				delete(i.timers, c)
			}
			i.mu.Unlock()
			c.markActive()
			guard.Answering(c)
		}
		next.ServeHTTP(w, r)
	})
}

// limit returns the idle timeout in force. The caller holds i.mu.
func (i *callerConnections) limit() time.Duration {
	if i.stopping {
		return drainIdleTimeout
	}
	if t := i.server.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// stop shortens the idle timeout, also for connections that are idle now.
func (i *callerConnections) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = true
	for _, timer := range i.timers {
		if timer.Stop() {
			timer.Reset(drainIdleTimeout)
		}
	}
}

// closeUnused closes the connections on which no request is being read or answered or on
// its way, and returns how many there are left.
func (i *callerConnections) closeUnused() (left int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.open {
		if c.expectsRequest() {
			left++
		} else if !c.closeIfIdle() {
			left++ // a Read may have taken bytes of a request
		}
	}
	return left
}
