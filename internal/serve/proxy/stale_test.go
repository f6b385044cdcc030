package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/request"
)

// listenRaw starts an instance that writes its answers to the connection itself.
func listenRaw(t *testing.T, serve func(c net.Conn, next func() *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				serve(c, func() *http.Request {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return nil
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return nil
					}
					return r
				})
			}()
		}
	}()
	return ln.Addr().String()
}

func rawAnswer(status int, attempt, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, engineapi.HeaderAttemptID, attempt, fields, len(body), body)
}

func rawRefusal(attempt string) string {
	return rawAnswer(http.StatusServiceUnavailable, attempt, engineapi.HeaderRunDisposition+": not_run\r\n", "{}")
}

func TestEarlierRefusalIsNotTakenForThatOfTheNextAttempt(t *testing.T) {
	for name, again := range map[string]func(earlier string) string{
		"its own id": rawRefusal,
		"no id": func(string) string {
			return strings.Replace(rawRefusal("x"), engineapi.HeaderAttemptID+": x\r\n", "", 1)
		},
		"body only": func(string) string { return "4\r\nfull\r\n0\r\n\r\n" },
		"hints": func(earlier string) string {
			return "HTTP/1.1 103 Early Hints\r\nX-Run-Disposition: not_run\r\n\r\n" + rawRefusal(earlier)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			instance := listenRaw(t, func(c net.Conn, next func() *http.Request) {
				earlier := ""
				for {
					r := next()
					if r == nil {
						return
					}
					if earlier != "" {
						io.WriteString(c, again(earlier))
						time.Sleep(10 * time.Millisecond)
						return
					}
					earlier = r.Header.Get(engineapi.HeaderAttemptID)
					io.WriteString(c, rawRefusal(earlier))
				}
			})
			e := newEntry(t, newMemoryLog(), []string{instance}, func(o *options) { o.proxy.Retry.MaxAttempts = 1 })
			e.do(http.MethodGet, pathBook, "").want(t, request.InstanceRefused)
			e.do(http.MethodGet, pathBook, "").want(t, request.InstanceFailed) // may have run
			e.book("k", "chair 7").want(t, request.InstanceRefused)            // over a new connection, refused by itself
		})
	}
}

// Two attempts of one read are under way; the connection of the second one brings the refusal of
// the first one, while the second one runs.
func TestRefusalOfAnotherOpenAttemptIsNotTakenForItsOwn(t *testing.T) {
	first, refused := make(chan string, 1), make(chan struct{})
	slow := listenRaw(t, func(c net.Conn, next func() *http.Request) {
		if r := next(); r != nil {
			id := r.Header.Get(engineapi.HeaderAttemptID)
			first <- id
			<-refused
			io.WriteString(c, rawRefusal(id))
		}
	})
	other := listenRaw(t, func(c net.Conn, next func() *http.Request) {
		if r := next(); r != nil {
			io.WriteString(c, rawRefusal(<-first))
			time.Sleep(50 * time.Millisecond)
			close(refused)
			next() // until the connection is closed
		}
	})
	e := newEntry(t, newMemoryLog(), []string{slow, other}, func(o *options) {
		o.proxy.Retry.HedgeAfter, o.proxy.Retry.MaxAttempts = tomltime.Of(10*time.Millisecond), 1
	})
	e.do(http.MethodGet, pathBook, "").want(t, request.InstanceFailed)
}

// A prefill engine writes the answer to the prefill before once more, then the request's own.
func TestHandleOfAnotherPrefillIsNotImported(t *testing.T) {
	var prefills atomic.Int64
	prefill := listenRaw(t, func(c net.Conn, next func() *http.Request) {
		for earlier := ""; ; {
			r := next()
			if r == nil {
				return
			}
			if earlier != "" {
				io.WriteString(c, earlier)
				time.Sleep(10 * time.Millisecond)
			}
			earlier = rawAnswer(http.StatusOK, r.Header.Get(engineapi.HeaderAttemptID), "", fmt.Sprintf(`{"id":"h%d"}`, prefills.Add(1)))
			io.WriteString(c, earlier)
		}
	})
	var mu sync.Mutex
	var used []string // handles that requests started from
	decode := newEngine(t, engine{tokens: 2, fault: atTokens(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		used = append(used, r.Header.Get(engineapi.HeaderKVHandle))
	}, 1, 1, 1)})
	e := newEntry(t, newMemoryLog(), []string{importing(t, decode)})
	e.sched.prefill = prefill
	for range 3 {
		if got, _ := e.stream(); got.text != expected(0, 2) {
			t.Errorf("got %+v", got)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(used) != 3 || used[0] != "h1" || used[1] == "h1" || used[2] == "h1" {
		t.Errorf("requests started from the KV caches %q, each must have its own or none", used)
	}
}

// importing returns the address of an engine that imports all KV caches and passes requests on.
func importing(t *testing.T, engine string) string {
	to := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: engine})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathKVImport {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		to.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
