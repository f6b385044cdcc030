package faultrun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/engineapi"
)

const (
	testModel   = "m"
	testService = "desk"
)

// fakeEntry forwards calls to the instances that announced themselves. It can break
// guarantees, so that tests can check that the audit detects it.
type fakeEntry struct {
	server      *httptest.Server
	client      *http.Client
	resends     bool // resends calls to plain services whose answer is lost
	falseNotRun bool // answers not run although the call may have run

	mu        sync.Mutex
	instances map[string]engineapi.Announcement // guarded by mu
}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{client: &http.Client{Transport: &http.Transport{}}, instances: make(map[string]engineapi.Announcement)}
	e.server = httptest.NewServer(e)
	t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
		e.client.CloseIdleConnections()
	})
	return e
}

func (e *fakeEntry) Zone() string               { return "bio" }
func (e *fakeEntry) Callers() string            { return e.server.Listener.Addr().String() }
func (e *fakeEntry) Announce() string           { return e.Callers() }
func (e *fakeEntry) Network() EntryNetwork      { return EntryNetwork{} }
func (e *fakeEntry) Kill()                      {}
func (e *fakeEntry) Stop(context.Context) error { return nil }
func (e *fakeEntry) Start() error               { return nil }

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == engineapi.PathAnnounce {
		e.acceptAnnouncement(w, body)
		return
	}
	path, kind := r.URL.Path, engineapi.KindModel
	if rest, ok := strings.CutPrefix(path, "/services/"+testService); ok {
		path, kind = rest, engineapi.KindService
	}
	resp, err := e.send(r, path, kind, body)
	if err != nil && e.resends {
		resp, err = e.send(r, path, kind, body)
	}
	if err != nil {
		e.fail(w)
		return
	}
	defer resp.Body.Close()
	w.Header().Set(engineapi.HeaderRunDisposition, resp.Header.Get(engineapi.HeaderRunDisposition))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

func (e *fakeEntry) acceptAnnouncement(w http.ResponseWriter, body []byte) {
	var a engineapi.Announcement
	_ = json.Unmarshal(body, &a)
	e.mu.Lock()
	e.instances[a.Instance] = a
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(engineapi.AnnounceReply{Accepted: true})
}

func (e *fakeEntry) send(r *http.Request, path string, kind engineapi.Kind, body []byte) (*http.Response, error) {
	e.mu.Lock()
	var address string
	for _, a := range e.instances {
		if a.Kind == kind {
			address = a.Address
		}
	}
	e.mu.Unlock()
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	return e.client.Do(req)
}

func (e *fakeEntry) fail(w http.ResponseWriter) {
	if e.falseNotRun {
		w.Header().Set(engineapi.HeaderRunDisposition, "not_run")
	}
	w.WriteHeader(http.StatusBadGateway)
}

// repeated returns a plan that injects one kind of fault into the first target many times.
func repeated(kind Kind, times int) []Fault {
	var plan []Fault
	for i := range times {
		plan = append(plan, Fault{At: time.Duration(i) * 20 * time.Millisecond, Kind: kind, Length: time.Millisecond})
	}
	return plan
}

func TestAuditCountsViolations(t *testing.T) {
	tests := []struct {
		name  string
		entry func(*fakeEntry)
		plan  []Fault
		count func(Violations) int
	}{
		{"repeated bookings", func(e *fakeEntry) { e.resends = true }, repeated(LoseService, 10), func(v Violations) int { return v.Doubled }},
		{"false not run", func(e *fakeEntry) { e.falseNotRun = true }, repeated(LoseService, 20), func(v Violations) int { return v.FalseNotRun }},
		{"crossed answers", func(*fakeEntry) {}, repeated(CrossEngine, 10), func(v Violations) int { return v.Wrong }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEntry(t)
			tt.entry(e)
			sys := System{Entries: []Entry{e}, Endpoint: testModel, Model: testModel, Service: testService}
			report, err := runPlan(t.Context(), Config{Seed: 1, Engines: 1, Services: 1, Callers: 12}, sys, tt.plan, discard())
			if err != nil || tt.count(report.Violations) == 0 {
				t.Errorf("violations = %+v, %v; want some of this kind", report.Violations, err)
			}
		})
	}
}

func TestRunWithoutFaultsIsClean(t *testing.T) {
	sys := System{Entries: []Entry{newFakeEntry(t)}, Endpoint: testModel, Model: testModel, Service: testService}
	report, err := runPlan(t.Context(), Config{Seed: 1, Engines: 2, Services: 2, Callers: 12}, sys, nil, discard())
	if err != nil || report.Violations.Sum() != 0 || report.Bookings.Whole == 0 || report.Chats.Whole == 0 {
		t.Errorf("report = %+v, %v; want whole calls and no violation", report, err)
	}
}

func TestPlannedChangesOfStandinsAreRecorded(t *testing.T) {
	sys := System{Entries: []Entry{newFakeEntry(t)}, Endpoint: testModel, Model: testModel, Service: testService}
	b, err := newBench(sys, Sizes{Engines: 1}, newLedger(), discard())
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	for i, id := range []string{"a", "b"} {
		order := engineapi.Order{ID: id, Kind: engineapi.OrderSetRole, Role: engineapi.RoleDecode, Incarnation: b.engines[0].engine.Incarnation()}
		body, _ := json.Marshal(order)
		resp, err := http.Post("http://"+b.engines[0].relay.Address()+engineapi.PathOrders, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatalf("order %d: %v", i, err)
		}
		resp.Body.Close()
	}
	if got := b.audit().Violations.Conflicts; got != 1 {
		t.Errorf("conflicts = %d, want 1", got)
	}
}

func TestPlanIsDeterministicAndFits(t *testing.T) {
	sizes := Sizes{Engines: 3, Services: 2, Entries: 4, Controls: 0}
	plan := Plan(7, time.Minute, sizes)
	if diff := cmp.Diff(plan, Plan(7, time.Minute, sizes)); diff != "" {
		t.Errorf("two plans of one seed differ:\n%s", diff)
	}
	if cmp.Equal(plan, Plan(8, time.Minute, sizes)) {
		t.Error("plans of two seeds agree")
	}
	seen := make(map[Kind]bool)
	for _, f := range plan {
		seen[f.Kind] = true
		if f.Kind == KillControl || f.At >= time.Minute || f.Index >= sizes.of(targetOf(f.Kind)) {
			t.Errorf("fault %v does not fit the run", f)
		}
	}
	if want := len(faultKinds) - 1; len(seen) != want {
		t.Errorf("plan has %d kinds, want all %d: %v", len(seen), want, fmt.Sprint(seen))
	}
}

func TestFaultsHealByThemselves(t *testing.T) {
	sys := System{Entries: []Entry{newFakeEntry(t)}, Endpoint: testModel, Model: testModel, Service: testService}
	b, err := newBench(sys, Sizes{Engines: 1, Services: 1}, newLedger(), discard())
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	rng := rand.New(rand.NewPCG(1, 1))
	for _, k := range faultKinds {
		planned := k.kind == LeaveEngine || k.kind == LeaveService || k.kind == CrashInChange
		if planned || (k.target != onEngine && k.target != onService) {
			continue
		}
		b.injectUnlessBusy(t.Context(), Fault{Kind: k.kind, Length: time.Millisecond}, rng)
		address := b.engines[0].relay.Address() + engineapi.PathState
		if k.target == onService {
			address = b.services[0].relay.Address() + "/cases/1"
		}
		resp, err := http.Get("http://" + address)
		if err != nil {
			t.Errorf("after %s: %v", k.kind, err)
			continue
		}
		resp.Body.Close()
	}
}
