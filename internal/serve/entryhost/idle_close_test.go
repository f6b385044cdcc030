package entryhost

import (
	"net"
	"testing"
	"time"
)

// readConn is a connection whose Read has taken bytes and returns them only after the rest of the
// process has run.
type readConn struct {
	net.Conn
	taken   chan struct{} // closed once Read has the bytes
	resume  chan struct{} // Read returns once this is closed
	closed  bool
	pending string
}

func (c *readConn) Read(p []byte) (int, error) {
	n := copy(p, c.pending)
	close(c.taken)
	<-c.resume
	return n, nil
}

func (c *readConn) Close() error { c.closed = true; return nil }

func (c *readConn) SetReadDeadline(time.Time) error { return nil }

// Guards against an idle timeout that drops a request which was read from the socket just before it.
func TestRequestReadBeforeAnIdleTimeoutIsNotDropped(t *testing.T) {
	raw := &readConn{taken: make(chan struct{}), resume: make(chan struct{}), pending: "GET"}
	c := &callerConn{Conn: raw, idle: true, accepted: time.Now()}
	go func() {
		<-raw.taken
		c.closeIfIdle()
		close(raw.resume)
	}()
	n, err := c.Read(make([]byte, 3))
	if n != 3 || err != nil || raw.closed {
		t.Errorf("read %d bytes, error %v, closed %v, want the request and an open connection", n, err, raw.closed)
	}
}
