package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthook/internal/bench/loopback"
	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/routes"
)

// slowFront serves the harness's server at a further address, and returns the gate of its listener.
func (h *harness) slowFront(t *testing.T) (address string, gate *sync.RWMutex) {
	t.Helper()
	front := httptest.NewUnstartedServer(caller.Handler(h.server))
	front.Config.ConnContext = caller.ConnContext
	l := &loopback.SlowListener{Listener: front.Listener}
	front.Listener = l
	front.Start()
	t.Cleanup(front.Close)
	return l.Addr().String(), &l.Gate
}

// arrivalsOf returns how often a request arrived at an instance, prefills included.
func (i *instance) arrivalsOf(id string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, r := range i.requests {
		if r.Header.Get("X-Id") == id && r.Method != http.MethodDelete {
			n++
		}
	}
	return n
}

func dialFront(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// rawRequest returns a request as a caller writes it.
func rawRequest(id, body string) string {
	return fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Model: m\r\nX-Parts: shared,own\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestRequestWhoseCallerLeftBeforeItWasReadIsNotSent(t *testing.T) {
	const callers = 4
	whole := func() []*instance { return []*instance{service("i", ok)} }
	engines := func() []*instance {
		return []*instance{engine("p", instances.Prefill, prefiller), engine("d", instances.Decode, streamer(2))}
	}
	for name, tt := range map[string]struct {
		route routes.Route
		list  []*instance
		body  string
		kept  bool
		reset bool
	}{
		"safe":                        {route: route(routes.Safe, nil), list: whole()},
		"safe, kept, with a body":     {route: route(routes.Safe, nil), list: whole(), kept: true, body: "body"},
		"safe, reset":                 {route: route(routes.Safe, nil), list: whole(), reset: true},
		"unsafe, with a body":         {route: route(routes.Unsafe, nil), list: whole(), body: "body"},
		"unsafe, kept, reset":         {route: route(routes.Unsafe, nil), list: whole(), kept: true, reset: true},
		"stream":                      {route: route(routes.Stream, prompted), list: engines()},
		"stream, kept, with a body":   {route: route(routes.Stream, prompted), list: engines(), kept: true, body: "body"},
		"stream, one engine, a body":  {route: route(routes.Stream, resumable), list: engines()[1:], body: "body"},
		"stream, one engine, reset":   {route: route(routes.Stream, resumable), list: engines()[1:], reset: true},
		"stream, kept, large, reset":  {route: route(routes.Stream, prompted), list: engines(), kept: true, reset: true, body: strings.Repeat("b", 900)},
		"stream, kept, one of engine": {route: route(routes.Stream, resumable), list: engines()[1:], kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := start(t, tt.route, tt.list...)
			address, gate := h.slowFront(t)
			for n := range callers {
				// Leaves a connection to each instance, so that sending needs no pause.
				if status, _, _, err := h.do(t, func(r *http.Request) {
					r.Header.Set("X-Id", fmt.Sprint("served-", n))
					r.Header.Set("X-Parts", "shared,own")
				}); err != nil || status != http.StatusOK {
					t.Fatalf("status %d, %v", status, err)
				}
				c := dialFront(t, address)
				if tt.kept {
					io.WriteString(c, rawRequest(fmt.Sprint("kept-", n), ""))
					answer, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil || answer.StatusCode != http.StatusOK {
						t.Fatalf("first request on the connection: %v", err)
					}
					io.Copy(io.Discard, answer.Body)
				}
				left := fmt.Sprint("left-", n)
				gate.Lock()
				io.WriteString(c, rawRequest(left, tt.body))
				if tt.reset {
					time.Sleep(10 * time.Millisecond) // a reset discards what was not received
					c.SetLinger(0)
				}
				c.Close()
				time.Sleep(10 * time.Millisecond)
				gate.Unlock()
				time.Sleep(30 * time.Millisecond)
				for _, i := range tt.list {
					if got := i.arrivalsOf(left); got != 0 {
						t.Errorf("instance %s got the request of caller %d, which had left before the host read it", i.id, n)
					}
				}
			}
		})
	}
}

func TestRequestEndsWhenItsCallerLeavesAfterBytesOfAFurtherRequest(t *testing.T) {
	for name, further := range map[string]string{"one byte": "G", "a whole request": rawRequest("further", "")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began, ended := make(chan bool, 1), make(chan bool, 1)
			a := service("a", func(_ http.ResponseWriter, r *http.Request) {
				began <- true
				ended <- closed(r.Context(), 2*time.Second)
			})
			h := start(t, route(routes.Unsafe, nil), a)
			address, _ := h.slowFront(t)
			c := dialFront(t, address)
			io.WriteString(c, rawRequest("1", "body"))
			<-began
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, further)
			time.Sleep(20 * time.Millisecond)
			left := time.Now()
			c.Close()
			if !<-ended || time.Since(left) > 500*time.Millisecond {
				t.Errorf("the instance still worked %v after the caller left, 500 ms are allowed", time.Since(left))
			}
			time.Sleep(50 * time.Millisecond)
			if n := a.arrivalsOf("further"); n != 0 {
				t.Errorf("the further request of a caller that had left arrived %d times", n)
			}
		})
	}
}

func TestRequestWhoseCallerLeftBeforeItWasReadTakesNoPlace(t *testing.T) {
	for name, tt := range map[string]struct {
		kind routes.Kind
		i    *instance
	}{
		"plain service": {routes.Unsafe, service("i", ok)}, "engine": {routes.Stream, engine("e", instances.Decode, streamer(2))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := start(t, route(tt.kind, nil), tt.i)
			address, gate := h.slowFront(t)
			c := dialFront(t, address)
			gate.Lock()
			io.WriteString(c, rawRequest("left", "body"))
			c.Close()
			time.Sleep(10 * time.Millisecond)
			gate.Unlock()
			time.Sleep(50 * time.Millisecond)
			if h.log.count(`"outcome":"caller_left"`) != 1 || h.log.count(`"attempts":null`) != 1 {
				t.Errorf("want one line of a caller that left, without an attempt, got %s", h.log.text())
			}
		})
	}
}
