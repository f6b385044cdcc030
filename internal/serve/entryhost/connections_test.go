package entryhost

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"filberthook/internal/network/netopt"
)

// connPair returns a connection's server end as a callerConn, and its client end.
func connPair(t *testing.T) (*callerConn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	c, err := (&callerListener{Listener: ln}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*callerConn), caller
}

func TestConnectionWithARequestIsNotClosedAsIdle(t *testing.T) {
	c, caller := connPair(t)
	io.WriteString(caller, "GET")
	if _, err := c.Read(make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	c.closeIfIdle()
	if _, err := io.WriteString(c, "answer"); err != nil {
		t.Errorf("a connection with a request in flight was closed: %v", err)
	}
	c.markIdle()
	c.closeIfIdle()
	if _, err := io.WriteString(c, "answer"); err == nil {
		t.Error("an idle connection was not closed")
	}
}

// A request that arrives while closeIfIdle runs is either read and not closed, or never read.
func TestRequestDuringIdleCloseIsServedOrNotRead(t *testing.T) {
	for range 300 {
		c, caller := connPair(t)
		var wait sync.WaitGroup
		wait.Go(func() { io.WriteString(caller, "GET") })
		wait.Go(func() {
			time.Sleep(20 * time.Microsecond)
			c.closeIfIdle()
		})
		n, _ := c.Read(make([]byte, 3)) // either outcome is valid
		wait.Wait()
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if n > 0 && closed {
			t.Fatal("Read returned bytes of a request and the connection was closed as idle")
		}
	}
}

func TestIdleConnectionIsClosedWhileItIsBeingRead(t *testing.T) {
	c, _ := connPair(t)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	closed := make(chan struct{})
	go func() { c.closeIfIdle(); close(closed) }()
	select {
	case <-closed:
		if err := <-read; err == nil {
			t.Error("the read returned bytes of a closed connection")
		}
	case <-time.After(2 * time.Second):
		t.Fatal("closing an idle connection waits for its next request")
	}
}

func TestConnectionShowsThatItsCallerHasLeft(t *testing.T) {
	c, far := connPair(t)
	if netopt.PeerClosed(c) {
		t.Error("a connected caller counts as one that left")
	}
	far.Close()
	time.Sleep(20 * time.Millisecond)
	if !netopt.PeerClosed(c) {
		t.Error("a caller that has left counts as connected")
	}
}
