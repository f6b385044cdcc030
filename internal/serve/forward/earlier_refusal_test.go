package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
)

func rawRefusal(status int, id string) string {
	return strings.Replace(rawAnswer(status, id, "full"), "X-Signature", "X-Not-Run: 1\r\nX-Signature", 1)
}

// refuser returns an instance that refuses its first request. Any other one runs, and before its
// answer comes what again makes of the refusal's ID and the request's own.
func refuser(t *testing.T, answers bool, again func(earlier, own string) string) (*instance, *atomic.Int64) {
	in, runs := service("a", nil), &atomic.Int64{}
	var requests atomic.Int64
	listenRaw(t, in, func(_ int, c net.Conn, next func() *http.Request) {
		earlier := ""
		for {
			r := next()
			if r == nil {
				return
			}
			id := r.Header.Get("X-Id")
			if requests.Add(1) == 1 {
				io.WriteString(c, rawRefusal(503, id))
				earlier = id
				continue
			}
			runs.Add(1)
			if earlier != "" {
				io.WriteString(c, again(earlier, id))
				time.Sleep(10 * time.Millisecond)
			}
			if !answers {
				return
			}
			io.WriteString(c, rawAnswer(200, id, "of "+id))
		}
	})
	return in, runs
}

func TestEarlierRefusalIsNotTakenForThatOfTheNextRequest(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	tests := []struct {
		name     string
		again    func(earlier, own string) string
		readable bool // the answer after it can be told from it
	}{
		{"its own id", func(earlier, _ string) string { return rawRefusal(503, earlier) }, true},
		{"429", func(earlier, _ string) string { return rawRefusal(429, earlier) }, true},
		{"421", func(earlier, _ string) string { return rawRefusal(421, earlier) }, true},
		{"no id", func(string, string) string { return rawRefusal(503, "") }, true},
		{"twice", func(earlier, _ string) string { return strings.Repeat(rawRefusal(503, earlier), 2) }, true},
		{"between hints", func(earlier, _ string) string { return hint + rawRefusal(503, earlier) + hint }, true},
		{"before a hint with the request's id", func(earlier, own string) string {
			return rawRefusal(503, earlier) + "HTTP/1.1 100 Continue\r\nX-Id: " + own + "\r\nX-Not-Run: 1\r\n\r\n"
		}, true},
		{"without length", func(earlier, _ string) string {
			return strings.Replace(rawRefusal(503, earlier), "Content-Length", "X-Length", 1)
		}, false},
		{"without its end", func(earlier, _ string) string { return strings.TrimSuffix(rawRefusal(503, earlier), "ll") }, false},
		{"body only", func(string, string) string { return "4\r\nfull\r\n0\r\n\r\n" }, false},
	}
	for _, tt := range tests {
		for _, answers := range []bool{true, false} {
			t.Run(fmt.Sprint(tt.name, ", answered ", answers), func(t *testing.T) {
				t.Parallel()
				a, runs := refuser(t, answers, tt.again)
				b := service("b", func(w http.ResponseWriter, r *http.Request) {
					if runs.Load() > 0 {
						t.Error("a request that an instance runs was sent to a second one")
					}
					status(http.StatusServiceUnavailable, true)(w, r)
				})
				h := start(t, route(routes.Unsafe, nil), a, b)
				for n := 0; n < 20 && runs.Load() == 0; n++ {
					id := fmt.Sprint("own-", n)
					code, _, body, err := h.do(t, func(r *http.Request) { r.Header.Set("X-Id", id) })
					if runs.Load() == 0 {
						continue
					}
					delivered := code == http.StatusOK && body == "of "+id
					unknown := code == http.StatusBadGateway || code == http.StatusGatewayTimeout
					if err != nil || answers && tt.readable && !delivered || !delivered && !unknown {
						t.Errorf("status %d, %q, error %v for a request that has run", code, body, err)
					}
				}
				if runs.Load() != 1 {
					t.Errorf("%d runs at the instance, want 1", runs.Load())
				}
			})
		}
	}
}

func TestEarlierRefusalIsNotTakenForThatOfARequestWithTheSameID(t *testing.T) {
	for name, id := range map[string]string{"same id": "same", "no id": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, runs := refuser(t, true, func(earlier, _ string) string { return rawRefusal(503, earlier) })
			if id == "" {
				in, runs = refuserOfNobody(t)
			}
			h := start(t, route(routes.Unsafe, nil), in)
			send := func() (int, string) {
				code, _, body, err := h.do(t, func(r *http.Request) { r.Header.Set("X-Id", id) })
				if err != nil {
					t.Fatal(err)
				}
				return code, body
			}
			if code, _ := send(); code != http.StatusServiceUnavailable {
				t.Fatalf("status %d for a refused request", code)
			}
			if code, body := send(); code != http.StatusOK || body != "of "+id || runs.Load() != 1 {
				t.Errorf("status %d, %q for a request that has run %d times", code, body, runs.Load())
			}
		})
	}
}

// refuserOfNobody is a refuser of requests without an ID.
func refuserOfNobody(t *testing.T) (*instance, *atomic.Int64) {
	in, runs := service("a", nil), &atomic.Int64{}
	var requests atomic.Int64
	listenRaw(t, in, func(_ int, c net.Conn, next func() *http.Request) {
		for refused := false; next() != nil; {
			if requests.Add(1) == 1 {
				refused = true
				io.WriteString(c, rawRefusal(503, ""))
				continue
			}
			runs.Add(1)
			if refused {
				io.WriteString(c, rawRefusal(503, ""))
				time.Sleep(10 * time.Millisecond)
			}
			io.WriteString(c, rawAnswer(200, "", "of "))
		}
	})
	return in, runs
}

func TestEarlierHandleIsNotTakenForThatOfASecondPrefill(t *testing.T) {
	t.Parallel()
	p := engine("p", instances.Prefill, nil)
	var prefills atomic.Int64
	handleAnswer := func(id string, n int64) string {
		return rawAnswer(200, id, fmt.Sprintf(`{"ID":"h%d","Tokens":8000}`, n))
	}
	listenRaw(t, p, func(_ int, c net.Conn, next func() *http.Request) {
		earlier := int64(0)
		for {
			r := next()
			switch {
			case r == nil:
				return
			case r.Method == http.MethodDelete:
				io.WriteString(c, rawAnswer(200, "", ""))
				continue
			}
			n := prefills.Add(1)
			if earlier > 0 {
				io.WriteString(c, handleAnswer(r.Header.Get("X-Id"), earlier))
				time.Sleep(10 * time.Millisecond)
			}
			io.WriteString(c, handleAnswer(r.Header.Get("X-Id"), n))
			earlier = n
		}
	})
	a, b := engine("a", instances.Decode, status(503, true)), engine("b", instances.Decode, status(503, true))
	c := engine("c", instances.Decode, streamer(2))
	h := start(t, route(routes.Stream, prompted), p, a, b, c)
	if _, _, body, err := h.do(t, withPrefixBlocks); err != nil || len(events(body)) != 2 {
		t.Fatalf("got %q, %v", body, err)
	}
	last := dialect.KVHandle{ID: fmt.Sprint("h", prefills.Load())}
	if got, want := c.last().Header.Get("X-Source"), (testDialect{}).KVSource(p.raw.Addr().String(), last); prefills.Load() > 1 && got != want {
		t.Errorf("the decode engine got the KV source %q, want that of the last prefill, %q", got, want)
	}
}
