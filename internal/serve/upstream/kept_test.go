package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestHintsDoNotTakeThePlaceOfAnswers(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\nX-Id: other\r\n\r\n"
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		next()
		io.WriteString(c, strings.Repeat(hint, 3)+answer("other", "no")+hint+answer("1", "yes"))
		next()
	})
	if body, err := fetch(t, newPool(t), e.address(), get("1")); err != nil || body != "yes" {
		t.Errorf("got %q, %v, want the answer to the request", body, err)
	}
}

func TestRequestThatIsSentAgainDoesNotUseTheConnectionOfTheFirstSend(t *testing.T) {
	e := listen(t, answerAll)
	p := newPool(t)
	for n, id := range []string{"1", "2", "1", "3", "2", "3", "4"} {
		if body, err := fetch(t, p, e.address(), get(id)); err != nil || body != "ok" {
			t.Fatalf("request %d got %q, %v", n, body, err)
		}
	}
	if n := e.connections.Load(); n != 2 {
		t.Errorf("%d connections, want 2: each of them has carried no request twice", n)
	}
}

func TestConnectionKnowsItsLatestIDs(t *testing.T) {
	c := newConn(nil, "x")
	for n := range 3*maxKnownIDs + 1 {
		c.carry(fmt.Sprint(n))
	}
	for n, known := range map[int]bool{3 * maxKnownIDs: true, 2*maxKnownIDs + 1: true, 2 * maxKnownIDs: false} {
		if c.mayCarry(&Request{ID: fmt.Sprint(n)}) == known {
			t.Errorf("ID %d of %d: known %v, want %v", n, 3*maxKnownIDs, !known, known)
		}
	}
	if len(c.ids) != maxKnownIDs {
		t.Errorf("holds %d IDs, want %d", len(c.ids), maxKnownIDs)
	}
}

func TestRequestWhoseAnswerBearsNoIDHasAConnectionOfItsOwn(t *testing.T) {
	e := listen(t, answerAll)
	p := newPool(t)
	for range 2 {
		if _, err := fetch(t, p, e.address(), get("1")); err != nil {
			t.Fatal(err)
		}
		if _, err := fetch(t, p, e.address(), &Request{Method: http.MethodGet, Target: "/x", Host: "a.example", Alone: true}); err != nil {
			t.Fatal(err)
		}
	}
	if n := e.connections.Load(); n != 4 {
		t.Errorf("%d connections, want 4: two for a request that came twice, one for each that bears no ID", n)
	}
}

// lateConn receives bytes right before the first write after a request.
type lateConn struct {
	net.Conn
	writes int
	late   func()
}

func (c *lateConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 2 {
		c.late()
	}
	return c.Conn.Write(b)
}

func TestAnswerThatComesBetweenTakingAConnectionAndWritingIsSkipped(t *testing.T) {
	for name, late := range map[string]string{"earlier id": answer("1", "late"), "no id": answer("", "late")} {
		near, far := net.Pipe()
		go func() {
			_, _ = io.ReadAtLeast(far, make([]byte, 1<<10), 10)
			_, _ = io.WriteString(far, answer("1", "ok"))
		}()
		p := newPool(t)
		p.dial = func(context.Context, string) (net.Conn, error) {
			return &lateConn{Conn: near, late: func() {
				go func() {
					_, _ = io.WriteString(far, late)
					_, _ = io.WriteString(far, answer("2", "own"))
				}()
				go func() { _, _ = io.Copy(io.Discard, far) }()
			}}, nil
		}
		if body, err := fetch(t, p, "i", get("1")); err != nil || body != "ok" {
			t.Fatalf("%s: first request got %q, %v", name, body, err)
		}
		if body, err := fetch(t, p, "i", get("2")); err != nil || body != "own" {
			t.Errorf("%s: got %q, %v, want the answer to the request", name, body, err)
		}
		if len(p.idle["i"]) != 0 {
			t.Errorf("%s: the connection was kept", name)
		}
		far.Close()
	}
}

func TestConnectionThatWasOpenedForACheckHasCarriedNothing(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		if r, _ := next(); r != nil {
			io.WriteString(c, "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull")
		}
	})
	p := newPool(t)
	if got := p.Check(t.Context(), e.address()); got != Listening {
		t.Fatalf("the process is %v", got)
	}
	r := get("1")
	r.Accept = func(a *http.Response, carried bool) bool { return !carried && a.Header.Get("X-Id") == "" }
	if body, err := fetch(t, p, e.address(), r); err != nil || body != "full" || e.connections.Load() != 1 {
		t.Errorf("got %q, %v over %d connections, want the refusal over the one that was opened", body, err, e.connections.Load())
	}
}

func TestEarlierAnswerIsSkippedWhileTheRequestIsBeingWritten(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		io.WriteString(c, answer("other", "no"))
		time.Sleep(20 * time.Millisecond)
		if r, body := next(); r != nil {
			io.WriteString(c, answer(r.Header.Get("X-Id"), itoa(len(body)>>20)))
		}
		next()
	})
	r := get("1")
	r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	p := newPool(t)
	if body, err := fetch(t, p, e.address(), r); err != nil || body != "8" {
		t.Errorf("got %q, %v, want the answer to the request, of which 8 MiB were read", body, err)
	}
	if p.Connected(e.address()) {
		t.Error("the connection was kept after an answer to another request")
	}
}
