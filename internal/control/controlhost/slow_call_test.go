package controlhost

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestCallThatNeverEndsIsCut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	server := newControlServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		ended <- err
	}), 300*time.Millisecond)
	go func() { _ = server.Serve(ln) }() // ends with Close
	defer server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /-/Instances.Heartbeat/i HTTP/1.1\r\nHost: c\r\nContent-Length: 1000\r\n\r\n")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		io.WriteString(c, "a")
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the body ended without an error")
			}
			return
		default:
		}
	}
	t.Error("a body that sends a byte now and then is still being read after 3 s")
}

// Guards against callers that do not read their answers and keep connections that others need.
func TestAnswerThatIsNotReadIsCut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	server := newControlServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for block := make([]byte, 1<<20); ; {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}), 100*time.Millisecond)
	go func() { _ = server.Serve(ln) }() // ends with Close
	defer server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /-/Config.Read HTTP/1.1\r\nHost: c\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("an answer that is not read is still being written after 5 s")
	}
}
