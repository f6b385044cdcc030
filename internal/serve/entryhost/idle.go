package entryhost

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

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

	mu     sync.Mutex
	idle   bool // nothing has been read since it became idle
	closed bool // set by closeIfIdle
}

// SetLinger sets what Close does with unsent bytes; see net.TCPConn.
func (c *callerConn) SetLinger(sec int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(sec)
}

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
	c.idle = true
}

// closeIfIdle closes the connection unless bytes of a request have been read.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.closed = true
		c.Conn.Close()
	}
}

// callerListener wraps accepted connections in callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, idle: true}, nil
}

// idleConnections closes callers' connections that have been idle for too long. The limit
// is that of the configuration in force when the connection was opened or became idle.
type idleConnections struct {
	server *forward.Server

	mu       sync.Mutex
	timers   map[*callerConn]*time.Timer
	stopping bool
}

func newIdleConnections(server *forward.Server) *idleConnections {
	return &idleConnections{server: server, timers: map[*callerConn]*time.Timer{}}
}

// track is the ConnState hook of http.Server.
func (i *idleConnections) track(conn net.Conn, state http.ConnState) {
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
func (i *idleConnections) limit() time.Duration {
	if i.stopping {
		return drainIdleTimeout
	}
	if t := i.server.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// stop shortens the idle timeout, also for connections that are idle now.
func (i *idleConnections) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = true
	for _, timer := range i.timers {
		if timer.Stop() {
			timer.Reset(drainIdleTimeout)
		}
	}
}

// closeAll closes all idle connections, at the end of a stop.
func (i *idleConnections) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.timers {
		c.closeIfIdle()
	}
}
