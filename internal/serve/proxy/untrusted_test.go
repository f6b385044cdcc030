package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/middleware"
	"filberthook/internal/serve/request"
)

func TestRefusedBeforeAnythingRuns(t *testing.T) {
	chat := func(rest string) string { return `{"model":"chat"` + rest + `}` }
	large := strings.Repeat("x", 2<<10)
	tests := []struct {
		name         string
		method, path string
		body         string
		header       []string
		want         request.Code
	}{
		{"no key", "POST", pathBook, "", []string{"Authorization", ""}, request.Unauthenticated},
		{"unknown key", "POST", pathBook, "", []string{"Authorization", "Bearer x"}, request.Unauthenticated},
		{"team not approved", "POST", pathBook, "", []string{"Authorization", "Bearer other"}, request.TeamNotApproved},
		{"unknown service", "POST", "/services/none/x", "", nil, request.EndpointNotFound},
		{"no service", "POST", "/services/", "", nil, request.EndpointNotFound},
		{"model called as a service", "POST", "/services/chat/x", "", nil, request.EndpointNotFound},
		{"service called as a model", "POST", engineapi.PathCompletions, `{"model":"booking"}`, nil, request.EndpointNotFound},
		{"unknown path", "GET", "/x", "", nil, request.PathNotFound},
		{"method", "GET", engineapi.PathCompletions, "", nil, request.MethodNotAllowed},
		{"service method", "TRACE", pathBook, "", nil, request.MethodNotAllowed},
		{"no JSON", "POST", engineapi.PathCompletions, "{", nil, request.InvalidRequest},
		{"JSON array", "POST", engineapi.PathCompletions, "[]", nil, request.InvalidRequest},
		{"negative max_tokens", "POST", engineapi.PathCompletions, chat(`,"max_tokens":-1`), nil, request.InvalidRequest},
		{"key too long", "POST", pathBook, "", []string{"Idempotency-Key", strings.Repeat("k", 200)}, request.InvalidRequest},
		{"key with a space", "POST", pathBook, "", []string{"Idempotency-Key", "a b"}, request.InvalidRequest},
		{"old minted key", "POST", pathBook, "", []string{"Idempotency-Key", "fh-1-x"}, request.KeyExpired},
		{"event id without a key", "POST", engineapi.PathCompletions, chat(`,"stream":true`), []string{"Last-Event-ID", "3"}, request.InvalidRequest},
		{"event id is no number", "POST", engineapi.PathCompletions, chat(`,"stream":true`), []string{"Idempotency-Key", "k", "Last-Event-ID", "-3"}, request.InvalidRequest},
		{"event id too large", "POST", engineapi.PathCompletions, chat(`,"stream":true`), []string{"Idempotency-Key", "k", "Last-Event-ID", "4000000000"}, request.InvalidRequest},
		{"event id without a stream", "POST", engineapi.PathCompletions, chat(``), []string{"Idempotency-Key", "k", "Last-Event-ID", "3"}, request.InvalidRequest},
		{"deadline is no number", "POST", pathBook, "", []string{engineapi.HeaderDeadline, "soon"}, request.InvalidRequest},
		{"deadline too far", "POST", pathBook, "", []string{engineapi.HeaderDeadline, "999999999999"}, request.InvalidRequest},
		{"deadline passed", "POST", pathBook, "", []string{engineapi.HeaderDeadline, "0"}, request.DeadlineUnreachable},
		{"unknown class", "POST", pathBook, "", []string{middleware.HeaderPriorityClass, "first"}, request.InvalidRequest},
		{"body too large", "POST", pathBook, large, nil, request.BodyTooLarge},
		{"outcome by a bad path", "GET", middleware.PathRequests + "booking", "", nil, request.InvalidRequest},
		{"outcome by a bad method", "POST", middleware.PathRequests + "booking/k", "", nil, request.MethodNotAllowed},
	}
	s := newService(t, nil)
	e := newEntry(t, newMemoryLog(), []string{s.address()}, func(o *options) { o.middleware.Body.MaxBytes = 1 << 10 })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e.do(tt.method, tt.path, tt.body, tt.header...).want(t, tt.want)
			if name := fmt.Sprintf("filberthook_requests_refused_total{reason=%q", tt.want); !strings.Contains(e.exposed(), name) {
				t.Errorf("no counter %s", name)
			}
		})
	}
	if len(s.runs) != 0 {
		t.Errorf("refused requests reached the service: %v", s.runs)
	}
}

func (e *entry) exposed() string {
	var out strings.Builder
	e.metrics.WritePrometheus(&out)
	return out.String()
}

// TestIncompleteBodiesAreRefused sends requests with incomplete or oversized bodies.
func TestIncompleteBodiesAreRefused(t *testing.T) {
	tests := []struct {
		name, head, body string
		want             string
	}{
		{"part of a body", "Content-Length: 100\r\n", "abc", "408"},
		{"part of a body without a team key", "Content-Length: 100\r\nAuthorization: Bearer x\r\n", "abc", "401"},
		{"part of a chunked body", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n", "408"},
		{"chunked body without an end", "Transfer-Encoding: chunked\r\n", "1000\r\n" + strings.Repeat("x", 0x1000), "413"},
		{"more declared than allowed", "Content-Length: 1000000\r\n", "", "413"},
	}
	e := newEntry(t, newMemoryLog(), nil, func(o *options) {
		o.middleware.Body.MaxBytes = 2 << 10
		o.middleware.Pace.ReadTimeout = tomltime.Of(100 * time.Millisecond)
		o.middleware.Body.MaxHeld = 4 << 10
	})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%sAuthorization: Bearer %s\r\n\r\n%s", pathBook, tt.head, teamKey, tt.body)
			head := make([]byte, 12)
			if _, err := io.ReadFull(conn, head); err != nil || string(head) != "HTTP/1.1 "+tt.want {
				t.Errorf("answered %q, %v, want status %s", head, err, tt.want)
			}
		})
	}
	// All memory was returned: a body of the largest size still fits.
	e.do(http.MethodPost, pathBook, strings.Repeat("x", 2<<10)).want(t, request.NoInstance)
}

func TestBodiesBeyondTheMemoryLimitAreRefused(t *testing.T) {
	e := newEntry(t, newMemoryLog(), nil, func(o *options) { o.middleware.Body.MaxHeld = 10 })
	e.do(http.MethodPost, pathBook, "more than ten bytes").want(t, request.BodyMemoryFull)
}

// TestSlowReaderIsCut sends an endless stream to a caller that does not read.
func TestSlowReaderIsCut(t *testing.T) {
	ended := make(chan struct{})
	large := fmt.Appendf(nil, "data: {\"choices\":[{\"text\":%q,\"finish_reason\":null}]}\n\n", strings.Repeat("x", 64<<10))
	instance := newEngine(t, engine{tokens: 1 << 20, fault: func(w http.ResponseWriter, r *http.Request, token int) {
		if token == 1 {
			context.AfterFunc(r.Context(), func() { close(ended) })
		}
		_, _ = w.Write(large)
	}})
	e := newEntry(t, newMemoryLog(), []string{instance}, func(o *options) { o.middleware.Pace.WriteTimeout = tomltime.Of(100 * time.Millisecond) })
	conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		engineapi.PathCompletions, teamKey, len(streamBody), streamBody)
	<-ended
	e.chain.Stop.Begin()
	e.chain.Stop.Wait(t.Context())
	if e.metric(`filberthook_requests_refused_total{reason="slow_reader",disposition="ran"}`) != 1 {
		t.Error("the slow reader was not counted")
	}
}

// TestAttemptIsCancelledWhenItsCallerLeaves checks that the request of a disconnected caller is
// cancelled at the engine, and that its connection is not reused.
func TestAttemptIsCancelledWhenItsCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	instance := newEngine(t, engine{tokens: tokens, fault: atTokens(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	}, 5)})
	e := newEntry(t, newMemoryLog(), []string{instance})
	ctx, leave := context.WithCancel(t.Context())
	resp, err := e.send(ctx, http.MethodPost, engineapi.PathCompletions, streamBody)
	if err != nil {
		t.Fatal(err)
	}
	read(t, resp.Body, 4)
	leave()
	resp.Body.Close()
	<-ended
	if got, _ := e.stream(); got.text != expected(0, tokens) {
		t.Errorf("the next caller got %+v", got)
	}
}

// FuzzCaller sends arbitrary requests with a valid team key, without a network.
func FuzzCaller(f *testing.F) {
	f.Add("POST", "/v1/completions", streamBody, "k", "3", "100", "check")
	f.Add("POST", "/services/booking/chairs?x=%zz", "x", "", "", "", "")
	f.Add("GET", "/services/booking/%2e%2e/..//a", "", "k", "", "-1", "status")
	f.Add("GET", "/v1/requests/booking/k", "", "", "", "", "")
	f.Add("POST", "/v1/chat/completions", `{"model":"chat","Model":"x","messages":[{"content":"a"}],"max_tokens":1e9}`, "\x00", "x", "9e9", "lookup")
	instance := httptest.NewServer(engine{tokens: 2})
	f.Cleanup(instance.Close)
	e := fuzzEntry(f, strings.TrimPrefix(instance.URL, "http://"))
	f.Fuzz(func(t *testing.T, method, path, body, key, last, deadline, class string) {
		req, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
		if err != nil || strings.ContainsAny(path, "\r\n ") {
			t.Skip()
		}
		for name, value := range map[string]string{
			"Authorization": "Bearer " + teamKey, "Idempotency-Key": key, "Last-Event-ID": last,
			engineapi.HeaderDeadline: deadline, middleware.HeaderPriorityClass: class,
		} {
			req.Header.Set(name, value)
		}
		rec := httptest.NewRecorder()
		e.ServeHTTP(rec, req)
		checkAnswer(t, rec)
	})
}

// checkAnswer checks that an answer is a success or a refusal with a code and disposition.
func checkAnswer(t *testing.T, rec *httptest.ResponseRecorder) {
	t.Helper()
	disposition := rec.Header().Get(engineapi.HeaderRunDisposition)
	if rec.Code < 400 {
		if disposition != "" {
			t.Errorf("status %d with disposition %q", rec.Code, disposition)
		}
		return
	}
	if disposition == "" || !strings.Contains(rec.Body.String(), `"code":"`) {
		t.Errorf("status %d without a reason: %q", rec.Code, rec.Body)
	}
}
