package proxy_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

// service is a plain service that counts the requests that reach it.
type service struct {
	server *httptest.Server
	mu     sync.Mutex
	runs   map[string]int // by idempotency key; guarded by mu
	seen   []seenCall     // guarded by mu
}

// seenCall is one request that reached the service.
type seenCall struct{ key, attempt string }

// runsExceptRefused counts the requests with a key, except those that the service
// refused as not run.
func (s *service) runsExceptRefused(key string, refused *sync.Map) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.seen {
		if _, ok := refused.Load(c.attempt); c.key == key && !ok {
			n++
		}
	}
	return n
}

// newService starts a service; act writes the answer after the request is counted. A nil
// act means confirm.
func newService(t *testing.T, act http.HandlerFunc) *service {
	s := &service{runs: map[string]int{}}
	if act == nil {
		act = confirm
	}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		key := r.Header.Get(engineapi.HeaderIdempotencyKey)
		s.runs[key]++
		s.seen = append(s.seen, seenCall{key, r.Header.Get(engineapi.HeaderAttemptID)})
		s.mu.Unlock()
		w.Header().Set(engineapi.HeaderAttemptID, r.Header.Get(engineapi.HeaderAttemptID))
		act(w, r)
	}))
	t.Cleanup(s.server.Close)
	return s
}

func confirm(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Confirmation", "c-"+r.Header.Get(engineapi.HeaderAttemptID))
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "booked %s at %s by %s", body, r.URL.Path, r.Header.Get(engineapi.HeaderAttemptID))
}

// drop closes the connection without an answer.
func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuseNotRun answers that the request did not run.
func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(engineapi.HeaderRunDisposition, string(request.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"error":{"code":"leaving","message":"leaving"}}`)
}

func (s *service) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

func (s *service) ran(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// closedAddress returns an address that refuses connections.
func closedAddress() string {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

// engine streams a fixed number of tokens. Before each event it calls fault, which may
// write, wait or panic.
type engine struct {
	tokens int
	fault  func(w http.ResponseWriter, r *http.Request, token int)
}

func newEngine(t *testing.T, e engine) string {
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// token returns the text of output token i, from 1.
func token(i int) string { return fmt.Sprintf("t%d ", i) }

// endOfTokens is passed to fault before the last chunk, endOfStream after it.
const (
	endOfTokens = -1
	endOfStream = -2
)

// ServeHTTP implements http.Handler.
func (e engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	w.Header().Set(engineapi.HeaderAttemptID, r.Header.Get(engineapi.HeaderAttemptID))
	if e.fault == nil {
		e.fault = func(http.ResponseWriter, *http.Request, int) {}
	}
	from, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderResumeFrom))
	if !req.Stream {
		e.fault(w, r, 1)
		_, _ = io.WriteString(w, `{"model":"`+req.Model+`"}`)
		return
	}
	for i := from + 1; i <= e.tokens; i++ {
		e.fault(w, r, i)
		e.event(w, fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":null}]}`, token(i)))
	}
	e.fault(w, r, endOfTokens)
	e.event(w, `{"choices":[{"text":"","finish_reason":"stop"}]}`)
	e.fault(w, r, endOfStream)
	e.event(w, "[DONE]")
}

func (e engine) event(w http.ResponseWriter, data string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// received is a stream as received by a caller.
type received struct {
	text     string
	lastID   string
	finished int // number of last chunks
	done     int // number of [DONE] events
	failure  request.Code
}

// read reads a stream until its end, or until it has stop tokens if that is not 0.
func read(t *testing.T, body io.Reader, stop int) received {
	t.Helper()
	var got received
	lines := bufio.NewScanner(body)
	for n := 0; (stop == 0 || n < stop) && lines.Scan(); {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			got.done++
			continue
		}
		n += got.add(t, data)
	}
	return got
}

// add adds the data of an event and returns the number of tokens in it.
func (g *received) add(t *testing.T, data string) int {
	t.Helper()
	var refusal call.RefusalBody
	if json.Unmarshal([]byte(data), &refusal) == nil && refusal.Error.Code != "" {
		g.failure = refusal.Error.Code
		return 0
	}
	var chunk engineapi.Completion
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		t.Errorf("chunk %q: %v", data, err)
		return 0
	}
	if chunk.Choices[0].FinishReason != nil {
		g.finished++
		return 0
	}
	g.text += chunk.Choices[0].Text
	return 1
}

// expected returns the text of tokens from+1 to n.
func expected(from, n int) string {
	var b strings.Builder
	for i := from + 1; i <= n; i++ {
		b.WriteString(token(i))
	}
	return b.String()
}
