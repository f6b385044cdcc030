package entryhost

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/serve/connguard"
	"filberthook/internal/serve/membudget"
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

// Guards against a stop that closes a connection as idle while a request is answered that came together with the one before.
func TestPipelinedRequestIsNotClosedAsIdle(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := newCallerConnections(nil)
	connections.stopping = true
	guard := connguard.New(connguard.Settings{
		Port: "callers", MaxConnections: 10, Budget: membudget.New(8 << 20), Limits: func() connguard.Limits { return connguard.Limits{Bytes: 16 << 10, Time: time.Minute} },
	}, slog.New(slog.DiscardHandler), metrics.NewSet())
	begun, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{
		Handler: connections.answering(guard, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/second" {
				close(begun)
				<-finish
			}
			io.WriteString(w, r.URL.Path)
		})),
		ConnContext: connContext, ConnState: connections.track,
	}
	go server.Serve(&callerListener{Listener: ln, guard: guard})
	defer server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	if left := connections.closeUnused(); left != 1 {
		t.Errorf("%d connections expect an answer, want 1", left)
	}
	close(finish)
	answers := bufio.NewReader(c)
	for _, want := range []string{"/first", "/second"} {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("no answer to %s: %v", want, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != want {
			t.Errorf("got %q, %v, want %q", body, err, want)
		}
	}
}
