package limit

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Listener is a net.Listener that closes connections beyond a number of open
// ones at once, so that idle or slow callers cannot take up all memory.
type Listener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused *metrics.Counter
}

// NewListener returns a Listener over ln that keeps up to limit connections
// open and counts those that it closes.
func NewListener(ln net.Listener, limit int, refused *metrics.Counter) *Listener {
	return &Listener{Listener: ln, limit: int64(limit), refused: refused}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Inc()
		conn.Close()
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int { return int(l.open.Load()) }

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server end its side first, so that a caller that is
// still sending reads the refusal of its request.
func (c *countedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
