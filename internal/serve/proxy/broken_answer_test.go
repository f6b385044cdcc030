package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"filberthook/internal/bench/brokenanswer"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/request"
)

// brokenInstance starts an instance that gives a broken answer to all requests. It returns their count.
func brokenInstance(t *testing.T, b brokenanswer.Answer, body string) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	ln, err := brokenanswer.Listen(func(c *net.TCPConn, r *http.Request) {
		requests.Add(1)
		b.Send(c, r, engineapi.HeaderAttemptID+": "+r.Header.Get(engineapi.HeaderAttemptID)+"\r\n", body)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), requests
}

func allowLargeBodies(o *options) {
	o.middleware.Body.MaxBytes, o.middleware.Body.MaxHeld = 16<<20, 64<<20
}

func TestBrokenAnswerToABookingLeavesItsOutcomeUnknown(t *testing.T) {
	for _, b := range brokenanswer.All() {
		for n := range 3 {
			t.Run(fmt.Sprint(b.Name, ", ", n), func(t *testing.T) {
				t.Parallel()
				address, requests := brokenInstance(t, b, "part of a confirmation")
				e := newEntry(t, newMemoryLog(), []string{address}, allowLargeBodies)
				e.book("k", b.RequestBody()).want(t, request.OutcomeUnknown)
				if requests.Load() != 1 {
					t.Errorf("the booking was sent %d times", requests.Load())
				}
			})
			if !b.Early {
				break
			}
		}
	}
}

func TestCompletionIsAnsweredElsewhereAfterABrokenAnswer(t *testing.T) {
	const whole = `{"model":"chat","prompt":"hello"}`
	for _, b := range brokenanswer.All() {
		if b.Early {
			continue // prompts of that size are refused
		}
		t.Run(b.Name, func(t *testing.T) {
			t.Parallel()
			sound := newEngine(t, engine{tokens: tokens})
			address, _ := brokenInstance(t, b, `{"model":"forged"}`)
			e := newEntry(t, newMemoryLog(), []string{address, sound})
			if r := e.do(http.MethodPost, engineapi.PathCompletions, whole); r.status != http.StatusOK || r.body != `{"model":"m"}` {
				t.Errorf("status %d, body %q, want the answer of the other engine", r.status, r.body)
			}
			address, _ = brokenInstance(t, b, "data: {\"choices\":[{\"text\":\"forged\",\"finish_reason\":\"stop\"}]}\n\n")
			e = newEntry(t, newMemoryLog(), []string{address, sound})
			if got, _ := e.stream(); got.text != expected(0, tokens) || got.finished != 1 {
				t.Errorf("streamed %+v, want the tokens of the other engine", got)
			}
		})
	}
}

func TestHandleInABrokenAnswerIsNotImported(t *testing.T) {
	for _, b := range brokenanswer.All() {
		if b.Early {
			continue
		}
		t.Run(b.Name, func(t *testing.T) {
			t.Parallel()
			var imports atomic.Int64
			sound := listenRaw(t, func(c net.Conn, next func() *http.Request) {
				for r := next(); r != nil; r = next() {
					if r.URL.Path == engineapi.PathKVImport {
						imports.Add(1)
						io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
						continue
					}
					io.WriteString(c, rawAnswer(http.StatusOK, r.Header.Get(engineapi.HeaderAttemptID), "", "{}"))
				}
			})
			prefill, requests := brokenInstance(t, b, `{"id":"h1"}`)
			e := newEntry(t, newMemoryLog(), []string{sound})
			e.sched.prefill = prefill
			r := e.do(http.MethodPost, engineapi.PathCompletions, `{"model":"chat","prompt":"hello"}`)
			if r.status != http.StatusOK || imports.Load() != 0 || requests.Load() == 0 {
				t.Errorf("status %d, %d imports after %d prefills, want none", r.status, imports.Load(), requests.Load())
			}
		})
	}
}

func TestCacheIsNotUsedAfterABrokenAnswerToItsImport(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 204 No Content\r\nX Other: a\r\n", "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 204 No Content\r\n"} {
		var used atomic.Int64
		sound := listenRaw(t, func(c net.Conn, next func() *http.Request) {
			for r := next(); r != nil; r = next() {
				if r.URL.Path == engineapi.PathKVImport {
					io.WriteString(c, head+"\r\n")
					continue
				}
				if r.Header.Get(engineapi.HeaderKVHandle) != "" {
					used.Add(1)
				}
				io.WriteString(c, rawAnswer(http.StatusOK, r.Header.Get(engineapi.HeaderAttemptID), "", "{}"))
			}
		})
		prefill := listenRaw(t, func(c net.Conn, next func() *http.Request) {
			if r := next(); r != nil {
				io.WriteString(c, rawAnswer(http.StatusOK, r.Header.Get(engineapi.HeaderAttemptID), "", `{"id":"h1"}`))
			}
		})
		e := newEntry(t, newMemoryLog(), []string{sound})
		e.sched.prefill = prefill
		if r := e.do(http.MethodPost, engineapi.PathCompletions, `{"model":"chat","prompt":"hello"}`); r.status != http.StatusOK || used.Load() != 0 {
			t.Errorf("%.30q: status %d, the cache was used %d times", head, r.status, used.Load())
		}
	}
}

func TestAnswerWithoutLengthOfASoundServiceReachesTheCaller(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		sound := listenRaw(t, func(c net.Conn, next func() *http.Request) {
			if r := next(); r != nil {
				io.WriteString(c, strings.Replace(strings.Replace(rawAnswer(http.StatusCreated, r.Header.Get(engineapi.HeaderAttemptID), "", "booked"), "HTTP/1.1", proto, 1), "Content-Length: 6\r\n", "", 1))
			}
		})
		e := newEntry(t, newMemoryLog(), []string{sound}, allowLargeBodies)
		for _, body := range []string{"chair 7", strings.Repeat("x", 8<<20)} {
			if r := e.book(fmt.Sprint(proto, len(body)), body); r.status != http.StatusCreated || r.body != "booked" {
				t.Errorf("%s: status %d, body %q, want the whole answer", proto, r.status, r.body)
			}
		}
	}
}

func TestEarlyAnswerOfKnownLengthReachesTheCaller(t *testing.T) {
	for n := range 20 {
		ln, err := brokenanswer.Listen(func(c *net.TCPConn, r *http.Request) {
			io.WriteString(c, rawAnswer(http.StatusRequestEntityTooLarge, r.Header.Get(engineapi.HeaderAttemptID), "Connection: close\r\n", "too long"))
		})
		if err != nil {
			t.Fatal(err)
		}
		e := newEntry(t, newMemoryLog(), []string{ln.Addr().String()}, allowLargeBodies)
		if r := e.book("k", brokenanswer.Answer{Early: true}.RequestBody()); r.status != http.StatusRequestEntityTooLarge || r.body != "too long" {
			t.Errorf("%d: status %d, body %q, want the 413", n, r.status, r.body)
		}
		ln.Close()
	}
}
