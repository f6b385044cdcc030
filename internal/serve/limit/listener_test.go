package limit

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/netopt"
)

func TestListenerClosesConnectionsBeyondItsLimit(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := metrics.NewSet().NewCounter("refused")
	l := NewListener(ln, 1, refused)
	accepted := make(chan net.Conn)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			accepted <- conn
		}
		close(accepted)
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	if _, ok := first.(interface{ CloseWrite() error }); !ok {
		t.Error("accepted connection has no CloseWrite, which the HTTP server needs")
	}
	if _, err := dial().Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the second connection read %v, want EOF", err)
	}
	first.Close()
	first.Close()
	dial()
	second := <-accepted
	if l.Open() != 1 || refused.Get() != 1 {
		t.Errorf("%d open and %d refused, want 1 and 1", l.Open(), refused.Get())
	}
	second.Close()
	ln.Close()
	<-accepted
}

func TestListenerShowsThatACallerHasLeft(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	limited := NewListener(ln, 1, metrics.NewSet().NewCounter("refused"))
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if netopt.PeerClosed(accepted) {
		t.Error("a connected caller counts as one that left")
	}
	c.Close()
	time.Sleep(20 * time.Millisecond)
	if !netopt.PeerClosed(accepted) {
		t.Error("a caller that has left counts as connected")
	}
}
