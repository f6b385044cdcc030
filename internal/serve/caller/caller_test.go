package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// serve serves requests with Handler in front of h.
func serve(t *testing.T, h http.HandlerFunc) (address string) {
	t.Helper()
	s := httptest.NewUnstartedServer(Handler(h))
	s.Config.ConnContext = ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// ask opens a connection and sends a request on it.
func ask(t *testing.T, address, further string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"+further)
	return c
}

func TestDetachedWorkGoesOnWhenItsCallerLeaves(t *testing.T) {
	began, left, checked := make(chan bool), make(chan bool), make(chan [2]error, 1)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-left
		checked <- [2]error{Check(r.Context()), Check(Detach(r.Context()))}
	})
	c := ask(t, address, "")
	<-began
	c.Close()
	time.Sleep(20 * time.Millisecond)
	close(left)
	got := <-checked
	if got[0] == nil || got[1] != nil {
		t.Errorf("check of the request: %v, of detached work: %v", got[0], got[1])
	}
}

func TestConnectedCallersContextDoesNotEnd(t *testing.T) {
	for name, further := range map[string]string{"alone": "", "with bytes of a further request": "GET"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checked := make(chan error, 1)
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
				case <-time.After(3 * checkInterval):
				}
				checked <- Check(r.Context())
				io.WriteString(w, "done")
			})
			ask(t, address, further)
			if err := <-checked; err != nil {
				t.Errorf("the request of a connected caller ended: %v", err)
			}
		})
	}
}

func TestContextEndsForEveryWayToLeave(t *testing.T) {
	for name, tt := range map[string]struct {
		further string // sent while the request is in progress
		leave   func(*net.TCPConn)
	}{
		"close":                          {"", func(c *net.TCPConn) { c.Close() }},
		"reset":                          {"", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"close behind a further request": {"GET", func(c *net.TCPConn) { c.Close() }},
		"reset behind a further request": {"GET", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began, ended := make(chan bool), make(chan error, 1)
			address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
				close(began)
				select {
				case <-r.Context().Done():
				case <-time.After(2 * time.Second):
				}
				ended <- r.Context().Err()
			})
			c := ask(t, address, "")
			<-began
			time.Sleep(10 * time.Millisecond)
			io.WriteString(c, tt.further)
			time.Sleep(10 * time.Millisecond)
			left := time.Now()
			tt.leave(c.(*net.TCPConn))
			if err := <-ended; err == nil || time.Since(left) > 500*time.Millisecond {
				t.Errorf("the context ended with %v after %v, 500 ms are allowed", err, time.Since(left))
			}
		})
	}
}

func TestCheckOfAContextWithoutACallerTellsItsEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if err := Check(ctx); err != nil {
		t.Error(err)
	}
	cancel()
	if err := Check(ctx); err == nil {
		t.Error("a context that has ended passes")
	}
}
