package limit

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Listener is a net.Listener that limits open connections and closes further
// ones immediately, so that idle or slow callers cannot exhaust memory.
type Listener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused *metrics.Counter
}

// NewListener returns a Listener over ln that allows limit open connections and
// counts those that it closes in refused.
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

// countedConn is counted as open until it is closed.
type countedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// NetConn returns the connection below, as *tls.Conn does.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server close its side of the connection first, so that
// a caller that is still sending can read the refusal of its request.
func (c *countedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
