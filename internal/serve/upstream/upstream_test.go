package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/loopback"
)

// endpoint is a scripted instance that counts its connections and requests.
type endpoint struct {
	ln          net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

// listen starts an endpoint. serve is called once for each connection with a function
// that reads the next request and its body.
func listen(t *testing.T, serve func(c net.Conn, next func() (*http.Request, string))) *endpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := &endpoint{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			reader := bufio.NewReader(c)
			go func() {
				defer c.Close()
				serve(c, func() (*http.Request, string) {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return nil, ""
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return nil, ""
					}
					e.requests.Add(1)
					return r, string(body)
				})
			}()
		}
	}()
	return e
}

// answerAll answers every request of a connection.
func answerAll(c net.Conn, next func() (*http.Request, string)) {
	for {
		r, _ := next()
		if r == nil {
			return
		}
		io.WriteString(c, answer(r.Header.Get("X-Id"), "ok"))
	}
}

func (e *endpoint) address() string { return e.ln.Addr().String() }

func get(id string) *Request {
	h := http.Header{}
	h.Set("X-Id", id)
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "a.example", Header: h, ID: id,
		Accept: func(r *http.Response, _ bool) bool { return r.Header.Get("X-Id") == id },
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

// fetch sends a request and reads its whole answer.
func fetch(t *testing.T, p *Pool, address string, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.Send(ctx, address, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll(100)
	return string(body), err
}

func newPool(t *testing.T) *Pool {
	p := NewPool(metrics.NewSet())
	t.Cleanup(p.Close)
	return p
}

func TestConnectionIsKeptBetweenRequests(t *testing.T) {
	e := listen(t, answerAll)
	p := newPool(t)
	for _, id := range []string{"1", "2", "3"} {
		if body, err := fetch(t, p, e.address(), get(id)); err != nil || body != "ok" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if n := e.connections.Load(); n != 1 {
		t.Errorf("%d connections for three requests, want 1", n)
	}
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		r, _ := next()
		id := r.Header.Get("X-Id")
		io.WriteString(c, answer("other", "no")+answer(id, "yes"))
		next()
	})
	p := newPool(t)
	if body, err := fetch(t, p, e.address(), get("1")); err != nil || body != "yes" {
		t.Fatalf("got %q, %v, want the answer to the request", body, err)
	}
	if _, err := fetch(t, p, e.address(), get("2")); err != nil {
		t.Fatal(err)
	}
	if n := e.connections.Load(); n != 2 {
		t.Errorf("%d connections, want a new one after a stray answer", n)
	}
}

func TestExtraAnswerOnAnIdleConnectionEndsIt(t *testing.T) {
	sent := make(chan struct{})
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		r, _ := next()
		if r == nil {
			return
		}
		io.WriteString(c, answer(r.Header.Get("X-Id"), "ok"))
		time.Sleep(20 * time.Millisecond)
		io.WriteString(c, answer("late", "no"))
		close(sent)
		next()
	})
	p := newPool(t)
	if _, err := fetch(t, p, e.address(), get("1")); err != nil {
		t.Fatal(err)
	}
	<-sent
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	kept := p.idle[e.address()][0]
	p.mu.Unlock()
	if kept.healthy() {
		t.Error("a connection with stray bytes counts as healthy")
	}
}

func TestTruncatedAnswersAreNotWhole(t *testing.T) {
	tests := []struct{ name, bytes string }{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nshort"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort"},
		{"header", "HTTP/1.1 200 OK\r\nX-Id"},
		{"not HTTP", "\x00\x01\x02 garbage\r\n\r\n"},
		{"nothing", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
				next()
				io.WriteString(c, tt.bytes)
			})
			_, err := fetch(t, newPool(t), e.address(), get("1"))
			var lost *LostError
			if !errors.As(err, &lost) {
				t.Errorf("got %v, want a LostError: the request may have run", err)
			}
			if n := e.requests.Load(); n != 1 {
				t.Errorf("the request was sent %d times, want once", n)
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		next()
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
	})
	if body, err := fetch(t, newPool(t), e.address(), get("1")); err != nil || body != "all of it" {
		t.Errorf("got %q, %v", body, err)
	}
}

func TestResetAnswerWithoutLengthIsNotWhole(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		next()
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	})
	if body, err := fetch(t, newPool(t), e.address(), get("1")); err == nil {
		t.Errorf("a reset answer counts as complete: %q", body)
	}
}

func TestUnreachableInstanceGivesNotSentError(t *testing.T) {
	_, err := fetch(t, newPool(t), loopback.String(), get("1")) // nothing listens there
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("got %v, want a NotSentError", err)
	}
}

// An idle connection that the instance has closed is detected before a request is sent.
func TestClosedIdleConnectionLosesNoRequest(t *testing.T) {
	closed := make(chan struct{}, 10)
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		r, _ := next()
		if r == nil {
			return
		}
		io.WriteString(c, answer(r.Header.Get("X-Id"), "ok"))
		c.Close()
		closed <- struct{}{}
	})
	p := newPool(t)
	for _, id := range []string{"1", "2", "3"} {
		r := get(id)
		r.AtMostOnce = true
		if _, err := fetch(t, p, e.address(), r); err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		<-closed
		time.Sleep(10 * time.Millisecond)
	}
}

func TestAnnouncedIdleLimitIsRespected(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name  string
		limit time.Duration
		idle  time.Duration
		once  bool
		want  bool
	}{
		{"well within", 5 * time.Second, time.Second, true, true},
		{"near the end", 5 * time.Second, 4500 * time.Millisecond, false, false},
		{"not announced, may repeat", 0, 3 * time.Second, false, true},
		{"not announced, once", 0, 3 * time.Second, true, false},
	}
	for _, tt := range tests {
		a, b := net.Pipe()
		c := newConn(a, "x")
		c.idleLimit, c.idleSince = tt.limit, now.Add(-tt.idle)
		if got := c.usable(tt.once, now); got != tt.want {
			t.Errorf("%s: usable %v, want %v", tt.name, got, tt.want)
		}
		a.Close()
		b.Close()
	}
	h := http.Header{"Keep-Alive": {"max=3, timeout=7"}}
	if got := keepAliveTimeout(h); got != 7*time.Second {
		t.Errorf("read a limit of %v, want 7s", got)
	}
}

// When an instance answers before it has read the whole body, the connection must not be
// reused: the next request would be read as the rest of that body.
func TestEarlyAnswerDoesNotKeepTheConnection(t *testing.T) {
	e := listen(t, func(c net.Conn, _ func() (*http.Request, string)) {
		io.WriteString(c, answer("1", "no"))
		time.Sleep(300 * time.Millisecond)
		io.Copy(io.Discard, c)
	})
	r := get("1")
	r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 16<<20))
	p := newPool(t)
	if _, err := fetch(t, p, e.address(), r); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle[e.address()]); n != 0 {
		t.Errorf("%d idle connections though the body was not written", n)
	}
}

func TestCancelledContextClosesTheInstancesConnection(t *testing.T) {
	gone := make(chan struct{})
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		next()
		if r, _ := next(); r == nil {
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := newPool(t).Send(ctx, e.address(), get("1")); err == nil {
		t.Fatal("got an answer from an instance that does not answer")
	}
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Error("the instance's connection is still open a second after the context ended")
	}
}

// An instance that drops idle connections before the limit, without closing them, gets a
// shorter limit.
func TestDroppedIdleConnectionsShortenTheLimit(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		r, _ := next()
		if r == nil {
			return
		}
		io.WriteString(c, answer(r.Header.Get("X-Id"), "ok"))
		next() // the second request on the connection is reset
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	})
	p := newPool(t)
	if _, err := fetch(t, p, e.address(), get("1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	var lost *LostError
	if _, err := fetch(t, p, e.address(), get("2")); !errors.As(err, &lost) {
		t.Fatalf("got %v, want a LostError", err)
	}
	if limit, known := p.learnedLimit(e.address()); !known || limit > 200*time.Millisecond {
		t.Errorf("learned a limit of %v after a connection idle for 300 ms was reset", limit)
	}
	for _, id := range []string{"3", "4"} {
		if _, err := fetch(t, p, e.address(), get(id)); err != nil {
			t.Errorf("request %s: %v", id, err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func TestConnectedTellsWhetherTheNextRequestNeedsANewConnection(t *testing.T) {
	e := listen(t, answerAll)
	p := newPool(t)
	if p.Connected(e.address()) {
		t.Error("connected before the first request")
	}
	if _, err := fetch(t, p, e.address(), get("1")); err != nil {
		t.Fatal(err)
	}
	if !p.Connected(e.address()) {
		t.Error("not connected after a request")
	}
	p.idle[e.address()][0].idleSince = time.Now().Add(-defaultIdleLimit)
	if p.Connected(e.address()) {
		t.Error("connected though the only connection was idle for too long")
	}
	c := p.pop(e.address(), get("2"))
	p.put(c)
	p.learnedLimits[e.address()] = time.Minute
	if !p.Connected(e.address()) {
		t.Error("not connected though the learned limit is long")
	}
	c.idleSince = time.Now().Add(-time.Second)
	p.learnedLimits[e.address()] = 500 * time.Millisecond
	if p.Connected(e.address()) {
		t.Error("connected though idle connections to the address were dropped sooner")
	}
}

// thawedContext is a context whose deadline has passed while the process was frozen: its timer
// has not fired yet.
type thawedContext struct{ context.Context }

func (thawedContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

func TestRequestWhoseDeadlinePassedInAFreezeIsNotSent(t *testing.T) {
	e := listen(t, answerAll)
	pool := newPool(t)
	if _, err := fetch(t, pool, e.address(), get("0")); err != nil { // leaves a connection
		t.Fatal(err)
	}
	_, err := pool.Send(thawedContext{context.Background()}, e.address(), get("1"))
	var notSent *NotSentError
	if !errors.As(err, &notSent) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want that the request was not sent as its deadline has passed", err)
	}
	time.Sleep(50 * time.Millisecond)
	if n := e.requests.Load(); n > 1 {
		t.Error("the request reached the instance after its deadline")
	}
}
