package entryhost

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"filberthook/internal/network/netopt"
	"filberthook/internal/serve/forward"
)

// defaultIdleTimeout applies if the configuration sets no idle timeout.
const defaultIdleTimeout = time.Minute

// drainIdleTimeout is how long an idle connection is kept after the stop signal, so that a
// request that the caller has already sent is still served.
const drainIdleTimeout = 1500 * time.Millisecond

// callerConn is a caller's connection that can be closed safely while it is idle.
// Invariant: closeIfIdle does nothing once Read has returned bytes of a request, and Read
// returns no bytes once closeIfIdle has closed the connection. So no request is read and
// then interrupted.
type callerConn struct {
	net.Conn

	mu       sync.Mutex
	accepted time.Time // zero once it has been idle after a request
	idle     bool      // nothing has been read since it became idle
	closed   bool      // set by closeIfIdle
}

// firstRequestTime is how long the first request of a new connection may be on its way.
const firstRequestTime = 500 * time.Millisecond

// SetLinger sets what Close does with unsent bytes; see net.TCPConn.
func (c *callerConn) SetLinger(sec int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(sec)
}

// NetConn returns the connection below, as *tls.Conn does.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

// markIdle records that the connection waits for its next request.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.accepted = true, time.Time{}
}

// closeIfIdle closes the connection unless bytes of a request have arrived.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && netopt.Idle(c.Conn) != netopt.Pending {
		c.closed = true
		c.Conn.Close()
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
		i.timers[c] = time.AfterFunc(i.limit(), c.closeIfIdle)
	}
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
		} else {
			c.closeIfIdle()
		}
	}
	return left
}
