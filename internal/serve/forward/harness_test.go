package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

// testDialect is a Dialect with its own header names.
type testDialect struct{}

func (testDialect) DecodeRequest(h http.Header) dialect.Meta {
	m := dialect.Meta{ID: h.Get("X-Id"), Model: h.Get("X-Model"), Caller: h.Get("X-Caller"), LastEventID: h.Get("Last-Event-Id")}
	if d, err := time.ParseDuration(h.Get("X-Deadline")); err == nil {
		m.Deadline = d
	}
	if parts := h.Get("X-Parts"); parts != "" {
		for p := range strings.SplitSeq(parts, ",") {
			m.PrefixBlocks = append(m.PrefixBlocks, dialect.PrefixBlock{ID: p, Tokens: 4000})
			m.PromptTokens += 4000
		}
	}
	return m
}

func (testDialect) EncodeRequest(caller http.Header, s dialect.SendOptions) http.Header {
	h := caller.Clone()
	h.Del("X-Source")
	h.Set("X-Instance", s.Instance)
	h.Set("X-Deadline", s.Deadline.String())
	if s.PrefillOnly {
		h.Set("X-Stage", "prefill")
	}
	if s.KVSource != "" {
		h.Set("X-Source", s.KVSource)
	}
	if s.LastEventID != "" {
		h.Set("Last-Event-Id", s.LastEventID)
	}
	return h
}

func (testDialect) DecodeAnswer(status int, h http.Header) dialect.Answer {
	return dialect.Answer{
		RequestID: h.Get("X-Id"), Signed: h.Get("X-Signature") != "",
		NotRun: h.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
		Notice: testNotice(h),
	}
}

func testNotice(h http.Header) notice.Notice {
	limit, err := strconv.ParseFloat(h.Get("X-Limit"), 64)
	pause, _ := time.ParseDuration(h.Get("X-Pause")) // 0 if absent
	return notice.Notice{
		Limit: limit, LimitUnreadable: err != nil && h.Get("X-Limit") != "", Leaving: h.Get("X-Leaving") != "", Pause: pause,
	}
}

func (testDialect) DecodeHandle(body []byte) (dialect.KVHandle, error) {
	var h dialect.KVHandle
	err := json.Unmarshal(body, &h)
	return h, err
}

func (testDialect) KVSource(address string, h dialect.KVHandle) string { return address + "/" + h.ID }

func (testDialect) Free(h dialect.KVHandle) (method, path string) { return "DELETE", "/free/" + h.ID }

// instance is a scripted endpoint instance.
type instance struct {
	id    string
	stage instances.Stage
	serve http.HandlerFunc

	mu       sync.Mutex
	requests []*http.Request
	server   *httptest.Server
	raw      net.Listener // replaces server, if set
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http detects that the caller disconnected only after the body is read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	i.mu.Lock()
	i.requests = append(i.requests, r)
	i.mu.Unlock()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", i.id)
	i.serve(w, r)
}

// runs returns the number of requests that arrived, except prefills and frees of handles.
func (i *instance) runs() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, r := range i.requests {
		if r.Header.Get("X-Stage") == "" && r.Method != http.MethodDelete {
			n++
		}
	}
	return n
}

func (i *instance) last() *http.Request {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.requests) == 0 {
		return nil
	}
	return i.requests[len(i.requests)-1]
}

// harness is an entry host's Server in front of scripted instances.
type harness struct {
	server *Server
	front  *httptest.Server
	log    *lockedBuffer
}

// lockedBuffer is a concurrency-safe buffer of log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.data.String(), text)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// route returns a route of the harness's only endpoint.
func route(kind routes.Kind, change func(*routes.Route)) routes.Route {
	r := routes.Route{
		Name: "r", Host: "a.example", Prefix: "/x/", Kind: kind, Timeout: 3 * time.Second, Goal: 200 * time.Millisecond,
		Shares: []routes.Share{{Endpoint: "e", Weight: 1}}, MaxAttempts: 2,
	}
	if change != nil {
		change(&r)
	}
	return r
}

func start(t *testing.T, r routes.Route, list ...*instance) *harness {
	t.Helper()
	var changes []instances.Change
	for n, i := range list {
		address := ""
		if i.raw != nil {
			address = i.raw.Addr().String()
		} else {
			i.server = httptest.NewServer(i)
			t.Cleanup(i.server.Close)
			address = i.server.Listener.Addr().String()
		}
		changes = append(changes, instances.Change{Instance: instances.Instance{
			ID: i.id, Born: int64(n + 1), Sequence: 1, Endpoint: "e", Address: address,
			Zone: "z", Slots: 8, Stage: i.stage,
		}})
	}
	view := instances.NewView(time.Hour)
	view.Update("control", "1", 1, changes, time.Now())
	set := metrics.NewSet()
	pool := upstream.NewPool(set)
	t.Cleanup(pool.Close)
	fleet := placement.New(placement.DefaultSettings(), func() float64 { return 0 }, pool.Connected)
	fleet.Update(view.Snapshot())
	fleet.SetPeers(1)
	budgets := NewRetryBudgets(RetryBudgetSettings{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, func() int { return 1 })
	lines := &lockedBuffer{}
	s := New(Settings{Zone: "z", ReadTimeout: time.Second}, testDialect{}, fleet, view, pool, budgets, quarantine.New(func() float64 { return 0 }),
		slog.New(slog.NewJSONHandler(lines, nil)), set)
	s.SetTable(routes.NewTable(&routes.Config{
		Version: 1, Routes: []routes.Route{r}, Endpoints: map[string]routes.Endpoint{"e": {Name: "e"}},
		Limits: routes.Limits{HeaderBytes: 4096, BodyBytes: 1000},
	}))
	h := &harness{server: s, front: httptest.NewUnstartedServer(caller.Handler(s)), log: lines}
	h.front.Config.ConnContext = caller.ConnContext
	h.front.Start()
	t.Cleanup(h.front.Close)
	return h
}

// request returns a caller's request.
func (h *harness) request(t *testing.T, change func(*http.Request)) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, h.front.URL+"/x/1?q=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("X-Id", "id-1")
	if change != nil {
		change(r)
	}
	return r
}

// do sends a request and reads the whole answer; err is set if the answer is truncated.
func (h *harness) do(t *testing.T, change func(*http.Request)) (status int, header http.Header, body string, err error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(h.request(t, change))
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

func service(id string, serve http.HandlerFunc) *instance { return &instance{id: id, serve: serve} }

func ok(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }

// status answers with a status, and with notRun that the request did not run.
func status(code int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("X-Not-Run", "1")
		}
		w.WriteHeader(code)
		fmt.Fprintf(w, "status %d", code)
	}
}

// hangUp reads the request and closes the connection.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// writeEvent writes one event of a stream.
func writeEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
	_ = http.NewResponseController(w).Flush()
}

// closed reports whether a context ends within a time.
func closed(ctx context.Context, within time.Duration) bool {
	select {
	case <-ctx.Done():
		return true
	case <-time.After(within):
		return false
	}
}

// rawExchange sends bytes on a new connection and returns what comes back.
func (h *harness) rawExchange(t *testing.T, bytes string) string {
	t.Helper()
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, bytes); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	data, _ := io.ReadAll(c) // the deadline ends it
	return string(data)
}
