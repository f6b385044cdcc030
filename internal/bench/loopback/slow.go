package loopback

import (
	"net"
	"sync"
)

// SlowListener is the listener of a host that has no processor time while the gate is locked:
// what its callers send waits, and so does the end of their connections.
type SlowListener struct {
	net.Listener
	Gate sync.RWMutex
}

// Accept implements net.Listener.
func (l *SlowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: c, gate: &l.Gate}, nil
}

type slowConn struct {
	net.Conn
	gate *sync.RWMutex
}

// NetConn returns the connection below.
func (c *slowConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.RLock()
	defer c.gate.RUnlock()
	return n, err
}
