package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/serve/routes"
)

func TestWholeRequests(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("X-Signature")
		io.WriteString(w, "forged")
	}
	foreign := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "other")
		io.WriteString(w, "other's answer")
	}
	encoded := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		io.WriteString(w, "zzz")
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "half")
	}
	tests := []struct {
		name   string
		kind   routes.Kind
		first  http.HandlerFunc
		status int
		body   string
		runs   int // of both instances together
	}{
		{"answered", routes.Unsafe, ok, 200, "done", 1},
		{"safe, failed, sent again", routes.Safe, status(500, false), 200, "done", 2},
		{"unsafe, failed, passed on", routes.Unsafe, status(500, false), 500, "status 500", 1},
		{"unsafe, no room, sent again", routes.Unsafe, status(503, true), 200, "done", 2},
		{"unsafe, misdirected, sent again", routes.Unsafe, status(421, true), 200, "done", 2},
		{"safe, lost, sent again", routes.Safe, hangUp, 200, "done", 2},
		{"unsafe, lost, may have run", routes.Unsafe, hangUp, 502, "", 1},
		{"unsafe, truncated, may have run", routes.Unsafe, truncated, 502, "", 1},
		{"safe, truncated, sent again", routes.Safe, truncated, 200, "done", 2},
		{"unsafe, ran though it says 503", routes.Unsafe, status(503, false), 502, "", 1},
		{"unsafe, ran though it says 429", routes.Unsafe, status(429, false), 502, "", 1},
		{"unsafe, without signature", routes.Unsafe, unsigned, 502, "", 1},
		{"unsafe, encoded", routes.Unsafe, encoded, 502, "", 1},
		{"unsafe, another request's answer, its own never comes", routes.Unsafe, foreign, 504, "", 1},
		{"safe, another request's answer", routes.Safe, foreign, 200, "done", 2},
		{"refusal of the endpoint, passed on", routes.Unsafe, status(409, false), 409, "status 409", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := service("a", tt.first), service("b", ok)
			h := start(t, route(tt.kind, nil), a, b)
			// Placement draws 0, so it picks the first of equal instances.
			code, header, body, err := h.do(t, nil)
			if err != nil || code != tt.status || tt.body != "" && body != tt.body {
				t.Errorf("got %d %q, %v, want %d %q", code, body, err, tt.status, tt.body)
			}
			if n := a.runs() + b.runs(); n != tt.runs {
				t.Errorf("sent %d times, want %d", n, tt.runs)
			}
			if code == 502 && header.Get("X-Signature") != "" {
				t.Error("an error of this host has an endpoint's signature")
			}
		})
	}
}

func TestRequestThatDidNotRunIsRefusedWithRetryAfter(t *testing.T) {
	full := status(503, true)
	h := start(t, route(routes.Unsafe, nil), service("a", full), service("b", full))
	code, header, _, err := h.do(t, nil)
	if err != nil || code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q, %v, want 503 with Retry-After", code, header.Get("Retry-After"), err)
	}
}

func TestUnreachableInstanceCountsAsNotRun(t *testing.T) {
	a, b := service("a", ok), service("b", ok)
	h := start(t, route(routes.Unsafe, nil), a, b)
	a.server.Close()
	if code, _, body, err := h.do(t, nil); err != nil || code != 200 || body != "done" {
		t.Errorf("got %d %q, %v, want the other instance's answer", code, body, err)
	}
	b.server.Close()
	code, header, _, err := h.do(t, nil)
	if err != nil || code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got %d, %v without any instance, want 503", code, err)
	}
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	var got, body string
	a := service("a", func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got, body = r.Method+" "+r.RequestURI+" "+r.Host, string(data)
		ok(w, r)
	})
	h := start(t, route(routes.Unsafe, nil), a)
	if _, _, _, err := h.do(t, func(r *http.Request) {
		r.Header.Set("X-Source", "10.0.0.1:80/stolen")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Own", "kept")
	}); err != nil {
		t.Fatal(err)
	}
	if got != "POST /x/1?q=1 a.example" || body != "body" {
		t.Errorf("the instance got %q with body %q", got, body)
	}
	header := a.last().Header
	if header.Get("X-Hop") != "" || header.Get("X-Source") != "" || header.Get("X-Own") != "kept" {
		t.Errorf("the instance got the header %v", header)
	}
	if header.Get("X-Instance") != "a" {
		t.Error("the request does not name its instance")
	}
	left, err := time.ParseDuration(header.Get("X-Deadline"))
	if err != nil || left <= 0 || left > 3*time.Second {
		t.Errorf("the instance was given %v", left)
	}
}

func TestTimeoutEndsARequestAtOnce(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { closed(r.Context(), 3*time.Second) }
	h := start(t, route(routes.Unsafe, func(r *routes.Route) { r.Timeout = 150 * time.Millisecond }), service("a", hang))
	begin := time.Now()
	code, _, _, err := h.do(t, nil)
	if elapsed := time.Since(begin); err != nil || code != http.StatusGatewayTimeout || elapsed > 600*time.Millisecond {
		t.Errorf("got %d after %v, %v, want 504 after 150 ms", code, elapsed, err)
	}
}

func TestCallersDeadlineIsPassedOn(t *testing.T) {
	a := service("a", ok)
	h := start(t, route(routes.Unsafe, nil), a)
	if _, _, _, err := h.do(t, func(r *http.Request) { r.Header.Set("X-Deadline", "400ms") }); err != nil {
		t.Fatal(err)
	}
	if left, _ := time.ParseDuration(a.last().Header.Get("X-Deadline")); left <= 0 || left > 400*time.Millisecond {
		t.Errorf("the instance was given %v of 400 ms", left)
	}
}

func TestCallerDisconnectCancelsTheRequest(t *testing.T) {
	ended := make(chan bool, 1)
	a := service("a", func(_ http.ResponseWriter, r *http.Request) { ended <- closed(r.Context(), 500*time.Millisecond) })
	h := start(t, route(routes.Unsafe, nil), a)
	client := &http.Client{Timeout: 100 * time.Millisecond}
	if _, err := client.Do(h.request(t, nil)); err == nil {
		t.Fatal("got an answer from an instance that does not answer")
	}
	if !<-ended {
		t.Error("the instance still works half a second after the caller disconnected")
	}
}

func TestHostWithoutConfigurationRefuses(t *testing.T) {
	h := start(t, route(routes.Unsafe, nil), service("a", ok))
	h.server.table.Store(nil)
	code, header, _, err := h.do(t, nil)
	if err != nil || code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got %d, %v, want 503 with Retry-After, not 404", code, err)
	}
}

func TestRequestsOutsideTheConfiguration(t *testing.T) {
	a := service("a", ok)
	h := start(t, route(routes.Unsafe, nil), a)
	tests := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{"no route", func(r *http.Request) { r.URL.Path = "/y/1" }, 404},
		{"other host", func(r *http.Request) { r.Host = "b.example" }, 404},
		{"body too large", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, 413},
		{"chunked body too large", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), -1
		}, 413},
		{"header too large", func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", 5000)) }, 431},
	}
	for _, tt := range tests {
		if code, _, _, err := h.do(t, tt.change); err != nil || code != tt.status {
			t.Errorf("%s: got %d, %v, want %d", tt.name, code, err, tt.status)
		}
	}
	if n := a.runs(); n != 0 {
		t.Errorf("%d refused requests reached an instance", n)
	}
}

// A request smuggled in the body of another one, by conflicting lengths or malformed chunks,
// must not run.
func TestSmuggledRequestsDoNotRun(t *testing.T) {
	inner := "POST /x/smuggled HTTP/1.1\r\nHost: a.example\r\nX-Id: inner\r\nContent-Length: 0\r\n\r\n"
	head := "POST /x/outer HTTP/1.1\r\nHost: a.example\r\nX-Id: outer\r\n"
	tests := []struct{ name, bytes string }{
		{"both lengths", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner},
		{"two lengths", head + "Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + inner},
		{"odd encoding", head + "Transfer-Encoding: xchunked\r\nContent-Length: 90\r\n\r\n" + inner},
		{"odd chunk size", head + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n" + inner},
		{"space before the colon", head + "Content-Length : 90\r\n\r\n" + inner},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := service("a", ok)
			h := start(t, route(routes.Unsafe, nil), a)
			h.rawExchange(t, tt.bytes)
			a.mu.Lock()
			defer a.mu.Unlock()
			for _, r := range a.requests {
				// Chunked encoding overrides Content-Length, so with both lengths the inner
				// bytes are a separate request. The outer request must then not be passed on
				// with both.
				if r.Header.Get("X-Id") == "inner" && tt.name != "both lengths" {
					t.Error("the inner request reached an instance")
				}
				if r.Header.Get("Content-Length") != "" && r.Header.Get("Transfer-Encoding") != "" {
					t.Error("a request with both lengths was passed on")
				}
			}
		})
	}
}

func TestStopEndsConnectionsAfterTheirAnswer(t *testing.T) {
	h := start(t, route(routes.Unsafe, nil), service("a", ok))
	h.server.Stop(time.Now().Add(time.Minute))
	resp, err := http.DefaultClient.Do(h.request(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if !resp.Close || resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, closes %v: a stopping host serves and ends the connection", resp.StatusCode, resp.Close)
	}
}
