package stagereconciler

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/staging"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
)

// fakeGroup is a Group whose leadership the test sets.
type fakeGroup struct {
	mu     sync.Mutex
	term   uint64
	leads  bool
	quorum bool
}

func (g *fakeGroup) set(term uint64, leads, quorum bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term, g.leads, g.quorum = term, leads, quorum
}

func (g *fakeGroup) Leads() (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term, g.leads
}

func (g *fakeGroup) Confirm(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.quorum {
		return errors.New("no quorum")
	}
	return nil
}

// fakeEngines records orders.
type fakeEngines struct {
	mu     sync.Mutex
	orders []Order
	times  []time.Time
	err    error
	said   notice.Notice // in all answers
}

func (e *fakeEngines) SetStage(_ context.Context, o Order) (bool, notice.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	e.times = append(e.times, time.Now())
	return e.err == nil, e.said, e.err
}

func (e *fakeEngines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// noLoad is a Load without requests.
type noLoad struct{}

func (noLoad) Demand() (map[string]staging.Demand, bool) { return nil, false }

func (noLoad) Leaving(instances.Instance) bool { return false }

func (noLoad) Hear(instances.Instance, notice.Notice) {}

// leavingLoad is a Load of which some instances have said that they leave.
type leavingLoad struct {
	noLoad
	mu      sync.Mutex
	leaving map[string]bool
}

func (l *leavingLoad) Leaving(in instances.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[in.ID]
}

func (l *leavingLoad) Hear(in instances.Instance, said notice.Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if said.Leaving {
		l.leaving[in.ID] = true
	}
}

func newReconciler(host string, g Group, e Engines, lease time.Duration) *Reconciler {
	list := []instances.Instance{
		{ID: "a", Stage: instances.Decode, Zone: "1"}, {ID: "b", Stage: instances.Decode, Zone: "1"},
		{ID: "c", Stage: instances.Decode, Zone: "1"}, {ID: "d", Stage: instances.Decode, Zone: "1"},
	}
	return &Reconciler{
		Host: host, Lease: lease, Settings: staging.DefaultSettings(),
		Expected: staging.Demand{PromptTokens: 50_000, OutputTokens: 100},
		Group:    g, Engines: e, Load: noLoad{},
		Instances: func() *instances.Snapshot {
			return &instances.Snapshot{ByEndpoint: map[string][]instances.Instance{"lm": list}}
		},
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	}
}

// run runs a reconciler until the test ends.
func run(t *testing.T, r *Reconciler) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

func TestNewLeaderWaitsForOrdersOfThePreviousLeader(t *testing.T) {
	const lease = 500 * time.Millisecond
	g, e := &fakeGroup{}, &fakeEngines{}
	begin := time.Now()
	g.set(7, true, true)
	run(t, newReconciler("h", g, e, lease))
	eventually(t, 5*time.Second, "an order", func() bool { return e.count() > 0 })
	e.mu.Lock()
	defer e.mu.Unlock()
	if waited := e.times[0].Sub(begin); waited < lease+orderFlightTime {
		t.Errorf("first order %v after the start of leadership, want at least %v", waited, lease+orderFlightTime)
	}
	for _, o := range e.orders {
		if o.Fence != 7 || o.Holder != "h" {
			t.Errorf("order with fencing number %d of %q, want the term 7 of h", o.Fence, o.Holder)
		}
	}
}

func TestNoOrderWithoutAQuorum(t *testing.T) {
	g, e := &fakeGroup{}, &fakeEngines{}
	g.set(7, true, false)
	run(t, newReconciler("h", g, e, 10*time.Millisecond))
	time.Sleep(orderFlightTime + 1500*time.Millisecond)
	if n := e.count(); n != 0 {
		t.Errorf("%d orders from a leader that reaches no quorum", n)
	}
	g.set(7, true, true)
	eventually(t, 3*time.Second, "an order once there is a quorum", func() bool { return e.count() > 0 })
}

func TestNewTermRestartsTheWait(t *testing.T) {
	g, e := &fakeGroup{}, &fakeEngines{}
	g.set(7, false, true)
	run(t, newReconciler("h", g, e, 10*time.Millisecond))
	time.Sleep(300 * time.Millisecond)
	if e.count() != 0 {
		t.Fatal("a follower gave an order")
	}
	began := time.Now()
	g.set(9, true, true)
	eventually(t, 5*time.Second, "an order", func() bool { return e.count() > 0 })
	if waited := time.Since(began); waited < orderFlightTime {
		t.Errorf("first order after %v", waited)
	}
}

// An unanswered order may be executed seconds later, so the engine gets neither a repeat
// nor another order in the meantime.
func TestUnansweredOrderIsNotRepeated(t *testing.T) {
	g, e := &fakeGroup{}, &fakeEngines{err: errors.New("no answer")}
	g.set(7, true, true)
	run(t, newReconciler("h", g, e, 10*time.Millisecond))
	eventually(t, 4*time.Second, "orders", func() bool { return e.count() > 0 })
	time.Sleep(1500 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := map[string]int{}
	for _, o := range e.orders {
		seen[o.Engine.ID]++
		if seen[o.Engine.ID] > 1 {
			t.Errorf("engine %s got %d orders", o.Engine.ID, seen[o.Engine.ID])
		}
	}
}

// fixedLoad is a constant load on one endpoint.
type fixedLoad struct {
	noLoad
	demand staging.Demand
}

func (l fixedLoad) Demand() (map[string]staging.Demand, bool) {
	return map[string]staging.Demand{"lm": l.demand}, true
}

// All decode engines are lost under load. No request can be answered until another engine
// has changed, so the order must not wait as long as for a load swing.
func TestLostDecodeEnginesAreReplacedWithoutDelay(t *testing.T) {
	g, e := &fakeGroup{}, &fakeEngines{}
	g.set(7, true, true)
	r := newReconciler("h", g, e, 10*time.Millisecond)
	r.Load = fixedLoad{demand: staging.Demand{PromptTokens: 100_000, OutputTokens: 2_000}}
	r.Instances = func() *instances.Snapshot {
		var list []instances.Instance
		for _, id := range []string{"a", "b", "c", "d"} {
			list = append(list, instances.Instance{ID: id, Stage: instances.Prefill, Zone: "1"})
		}
		return &instances.Snapshot{ByEndpoint: map[string][]instances.Instance{"lm": list}}
	}
	begin := time.Now()
	run(t, r)
	eventually(t, 8*time.Second, "an order", func() bool { return e.count() > 0 })
	if waited := time.Since(begin); waited > orderFlightTime+minDueShort+3*reconcileInterval {
		t.Errorf("first order after %v", waited)
	}
}

func TestEnginesThatSayTheyLeaveGetNoOrders(t *testing.T) {
	g, e := &fakeGroup{}, &fakeEngines{}
	g.set(7, true, true)
	r := newReconciler("h", g, e, 10*time.Millisecond)
	r.Load = &leavingLoad{leaving: map[string]bool{"a": true, "b": true, "c": true}}
	run(t, r)
	time.Sleep(orderFlightTime + 1500*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.orders {
		if o.Engine.ID != "d" {
			t.Errorf("%s got an order after it has said that it leaves", o.Engine.ID)
		}
	}
}

func TestAnswerToAnOrderTellsThatTheEngineLeaves(t *testing.T) {
	g, e := &fakeGroup{}, &fakeEngines{said: notice.Notice{Leaving: true}}
	g.set(7, true, true)
	r := newReconciler("h", g, e, 10*time.Millisecond)
	load := &leavingLoad{leaving: map[string]bool{}}
	r.Load = load
	run(t, r)
	eventually(t, 5*time.Second, "an order", func() bool { return e.count() > 0 })
	eventually(t, time.Second, "the answer is heard", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return load.Leaving(e.orders[0].Engine)
	})
}
