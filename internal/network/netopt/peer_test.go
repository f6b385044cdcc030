package netopt

import (
	"io"
	"net"
	"testing"
	"time"
)

// connected returns both ends of a TCP connection.
func connected(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	a, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	return a.(*net.TCPConn), c.(*net.TCPConn)
}

func TestPeerClosed(t *testing.T) {
	for name, tt := range map[string]struct {
		sent string
		end  func(*net.TCPConn)
		want bool
	}{
		"open":                     {"", func(*net.TCPConn) {}, false},
		"open, bytes to read":      {"GET", func(*net.TCPConn) {}, false},
		"closed":                   {"", func(c *net.TCPConn) { c.Close() }, true},
		"closed, bytes to read":    {"GET", func(c *net.TCPConn) { c.Close() }, true},
		"reset":                    {"", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		"reset, bytes to read":     {"GET", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		"half open":                {"", func(c *net.TCPConn) { c.CloseWrite() }, true},
		"half open, bytes to read": {"GET", func(c *net.TCPConn) { c.CloseWrite() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connected(t)
			io.WriteString(far, tt.sent)
			tt.end(far)
			time.Sleep(20 * time.Millisecond)
			if got := PeerClosed(near); got != tt.want {
				t.Errorf("closed: %v, want %v", got, tt.want)
			}
		})
	}
	pipe, other := net.Pipe()
	other.Close()
	if PeerClosed(pipe) {
		t.Error("a connection without a file descriptor counts as closed")
	}
}

func TestUnacknowledgedBytesAreThoseThatThePeerDoesNotTake(t *testing.T) {
	near, far := connected(t)
	far.SetReadBuffer(4 << 10)
	near.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	written, err := near.Write(make([]byte, 64<<20))
	if err == nil {
		t.Fatal("a peer that reads nothing took 64 MiB")
	}
	if n := Unacknowledged(near); n <= 0 || n > written {
		t.Errorf("%d bytes of %d are unacknowledged", n, written)
	}
}
