package proxy_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/history"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
	placing "filberthook/internal/engines/scheduler"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/claim"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/middleware"
	"filberthook/internal/serve/proxy"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/routing"
)

// Names used by all tests.
const (
	team     = "desk"
	teamKey  = "secret"
	model    = "chat"
	booking  = "booking"
	pathBook = middleware.PathServices + booking + "/chairs"
)

// config is a Configuration with one model endpoint and one plain service.
type config struct{ snap *fleet.Snapshot }

func (c config) Snapshot() *fleet.Snapshot { return c.snap }

func newConfig() config {
	approved := map[string]uint64{team: 1}
	endpoint := func(s fleet.EndpointSettings) fleet.Endpoint {
		s.DefaultDeadline = 20 * time.Second
		return fleet.Endpoint{EndpointSettings: s, Approved: approved}
	}
	return config{fleet.NewSnapshot(fleet.Configuration{
		Revision: 1,
		Teams: map[string]fleet.Team{
			team:    {Name: team, Keys: []fleet.TeamKey{{ID: "1", Hash: fleet.HashKey(teamKey)}}},
			"other": {Name: "other", Keys: []fleet.TeamKey{{ID: "1", Hash: fleet.HashKey("other")}}},
		},
		Endpoints: map[string]fleet.Endpoint{
			model:   endpoint(fleet.EndpointSettings{Name: model, Kind: engineapi.KindModel, Model: "m", Repeatable: true}),
			booking: endpoint(fleet.EndpointSettings{Name: booking, Kind: engineapi.KindService}),
		},
	})}
}

// scheduler picks the first instance that is not excluded.
type scheduler struct {
	mu        sync.Mutex
	instances []string // addresses; guarded by mu
	underWay  int      // guarded by mu
	draining  []string // guarded by mu
	gone      []string // instances whose lease has expired; guarded by mu
	prefill   string   // address of the engine that runs prefills, empty for none; guarded by mu
}

// Live implements proxy.Scheduler.
func (s *scheduler) Live(instance string, _ uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.Contains(s.gone, instance)
}

func (s *scheduler) Pick(req *routing.Request) (routing.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range s.instances {
		if !slices.Contains(req.Exclude, address) {
			d := routing.Decision{Instance: address, Address: address, Incarnation: 1}
			d.Prefill, d.PrefillAddress, d.PrefillIncarnation = s.prefill, s.prefill, 1
			return d, nil
		}
	}
	return routing.Decision{}, &routing.NoCandidateError{Model: req.Model, Endpoint: req.Endpoint}
}

// Place picks an excluded instance if there is no other.
func (s *scheduler) Place(_ context.Context, _ placing.Placement, req *routing.Request) (routing.Decision, error) {
	d, err := s.Pick(req)
	if err != nil && len(req.Exclude) > 0 {
		req.Exclude = nil
		d, err = s.Pick(req)
	}
	if err == nil {
		s.add(1)
	}
	return d, err
}

func (s *scheduler) PrefillDone(*routing.Decision, *routing.Request) {}
func (s *scheduler) AnswerLength(string, string, int)                {}
func (s *scheduler) Finished(*routing.Decision, *routing.Request)    { s.add(-1) }
func (s *scheduler) ObserveLoad(string, uint64, engineapi.LoadReport) {
}

func (s *scheduler) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay += n
}

func (s *scheduler) Draining(instance string, _ uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = append(s.draining, instance)
}

// memoryLog is an in-memory log with one replica that can be made unavailable.
type memoryLog struct {
	mu      sync.Mutex
	replica claim.Replica
	start   time.Time
	down    bool // guarded by mu
}

func newMemoryLog() *memoryLog {
	return &memoryLog{replica: claim.NewReplica(claim.DefaultLimits()), start: time.Now()}
}

func (l *memoryLog) Propose(_ context.Context, batch json.RawMessage) (json.RawMessage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, &claimlog.NotAppliedError{Err: errors.New("no leader")}
	}
	return l.replica.Apply(time.Since(l.start), batch), nil
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// entry is an entry host.
type entry struct {
	t       *testing.T
	server  *httptest.Server
	chain   *middleware.Chain
	claims  *claimlog.Client
	sched   *scheduler
	metrics *metrics.Set
}

// options change the settings of an entry.
type options struct {
	base       context.Context // parent of all requests; nil for none
	middleware middleware.Settings
	proxy      proxy.Settings
	claims     claimlog.Settings
}

// fuzzEntry returns the handlers of an entry without a server.
func fuzzEntry(f *testing.F, instance string) http.Handler {
	set := metrics.NewSet()
	counters := request.NewCounters(set)
	claims := claimlog.New(newMemoryLog(), claimlog.DefaultSettings(), counters, set)
	f.Cleanup(claims.Close)
	return benchChain(claims, counters, set, instance)
}

// benchChain returns the handlers of an entry that knows one instance.
func benchChain(claims *claimlog.Client, counters *request.Counters, set *metrics.Set, instance string) http.Handler {
	last := proxy.New(proxy.DefaultSettings(), &scheduler{instances: []string{instance}}, set)
	return middleware.NewChain(middleware.DefaultSettings(), newConfig(), claims, counters, history.NewLog(), last)
}

// countTokens counts the events with an id.
func countTokens(body io.Reader) int {
	n := 0
	for lines := bufio.NewScanner(body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id: ") {
			n++
		}
	}
	return n
}

func newEntry(t *testing.T, log claimlog.Log, instances []string, change ...func(*options)) *entry {
	o := options{middleware: middleware.DefaultSettings(), proxy: proxy.DefaultSettings(), claims: claimlog.DefaultSettings()}
	o.claims.ClaimTimeout = tomltime.Of(time.Minute)
	for _, f := range change {
		f(&o)
	}
	set := metrics.NewSet()
	counters := request.NewCounters(set)
	e := &entry{t: t, sched: &scheduler{instances: instances}, metrics: set}
	e.claims = claimlog.New(log, o.claims, counters, set)
	last := proxy.New(o.proxy, e.sched, set)
	e.chain = middleware.NewChain(o.middleware, newConfig(), e.claims, counters, history.NewLog(), last)
	e.server = httptest.NewUnstartedServer(e.chain)
	e.server.Config.ConnContext = caller.ConnContext
	if o.base != nil {
		e.server.Config.BaseContext = func(net.Listener) context.Context { return o.base }
	}
	e.server.Start()
	t.Cleanup(func() {
		e.server.Close()
		e.claims.Close()
	})
	return e
}

// metric returns the value of a counter.
func (e *entry) metric(name string) int {
	var out strings.Builder
	e.metrics.WritePrometheus(&out)
	for line := range strings.Lines(out.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(rest))
			return n
		}
	}
	e.t.Fatalf("no counter %s", name)
	return 0
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	code   request.Code // of a refusal
}

// send sends a request of the team; header alternates names and values.
func (e *entry) send(ctx context.Context, method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.server.URL+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return e.server.Client().Do(req)
}

func (e *entry) do(method, path, body string, header ...string) reply {
	e.t.Helper()
	resp, err := e.send(e.t.Context(), method, path, body, header...)
	if err != nil {
		e.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		e.t.Fatal(err)
	}
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(data)}
	var refusal call.RefusalBody
	if json.Unmarshal(data, &refusal) == nil {
		r.code = refusal.Error.Code
	}
	return r
}

// book sends one chair booking.
func (e *entry) book(key, body string, header ...string) reply {
	e.t.Helper()
	return e.do(http.MethodPost, pathBook, body, append(header, engineapi.HeaderIdempotencyKey, key)...)
}

// want checks a refusal with the default disposition of its reason.
func (r reply) want(t *testing.T, code request.Code) {
	t.Helper()
	reason, _ := request.Lookup(code)
	r.wantAs(t, code, reason.Disposition)
}

// wantAs checks a refusal with the given disposition.
func (r reply) wantAs(t *testing.T, code request.Code, d request.Disposition) {
	t.Helper()
	reason, _ := request.Lookup(code)
	got := r.header.Get(engineapi.HeaderRunDisposition)
	if r.code != code || r.status != reason.Status || got != string(d) {
		t.Errorf("status %d, code %q, disposition %q, want %d, %q, %q (%s)",
			r.status, r.code, got, reason.Status, code, d, r.body)
	}
	if reason.RetryAfter > 0 && r.header.Get("Retry-After") == "" {
		t.Errorf("%s has no Retry-After", code)
	}
}

const streamBody = `{"model":"chat","prompt":"hello","stream":true}`

// stream requests a stream and reads it to its end.
func (e *entry) stream(header ...string) (received, *http.Response) {
	e.t.Helper()
	resp, err := e.send(e.t.Context(), http.MethodPost, engineapi.PathCompletions, streamBody, header...)
	if err != nil {
		e.t.Fatal(err)
	}
	defer resp.Body.Close()
	return read(e.t, resp.Body, 0), resp
}
