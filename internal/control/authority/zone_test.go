package authority

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/lease"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// testZone is a zone in virtual time: a lease table, engines and hosts.
type testZone struct {
	start time.Time

	mu      sync.Mutex // guards everything below and the engines
	table   *lease.Table
	engines map[string]*fakeEngine
	hosts   map[string]*host
}

// fakeEngine is a simulated engine.
type fakeEngine struct {
	config enginemodel.Config
	model  *enginemodel.Engine
	past   enginemodel.OrderCounts // of incarnations that crashed
}

func (e *fakeEngine) counts() enginemodel.OrderCounts { return e.past.Add(e.model.OrderCounts()) }

// host is a planner host; the test sets the faults to inject.
type host struct {
	zone    *testZone
	name    string
	holder  *Holder
	manager *Manager
	ended   []OrderResult

	partitioned bool          // from the control group
	delay       time.Duration // of each message to an engine and back
	pause       time.Duration // between the check and the write of an order
	lostAnswers int           // number of answers to orders that still get lost
}

func newTestZone() *testZone {
	return &testZone{start: time.Now(), table: lease.NewTable(), engines: map[string]*fakeEngine{}, hosts: map[string]*host{}}
}

func (w *testZone) now() time.Duration { return time.Since(w.start) }

func (w *testZone) addEngine(name string, checksFence bool) {
	config := enginemodel.DefaultConfig()
	config.ChecksFence = checksFence
	w.engines[name] = &fakeEngine{config: config, model: enginemodel.New(config)}
}

// crash restarts an engine with an empty memory.
func (w *testZone) crash(name string) {
	w.mu.Lock()
	e := w.engines[name]
	e.past = e.counts()
	e.config.Incarnation++
	e.model = enginemodel.New(e.config)
	w.mu.Unlock()
	w.announce()
}

// announce sends the announcements of all engines to all hosts.
func (w *testZone) announce() {
	w.mu.Lock()
	var refs []EngineRef
	for name, e := range w.engines {
		refs = append(refs, EngineRef{Instance: name, Incarnation: e.config.Incarnation, Address: name, ChecksFence: e.config.ChecksFence})
	}
	hosts := maps.Clone(w.hosts)
	w.mu.Unlock()
	for _, h := range hosts {
		h.manager.SetEngines(refs)
	}
}

// addHost starts a planner host.
func (w *testZone) addHost(ctx context.Context, name string) *host {
	return w.addHostWith(ctx, name, func(g Granter) Granter { return g })
}

// addHostWith starts a planner host behind another granter.
func (w *testZone) addHostWith(ctx context.Context, name string, wrap func(Granter) Granter) *host {
	h := &host{zone: w, name: name, delay: time.Millisecond}
	set := metrics.NewSet()
	logger := slog.New(slog.DiscardHandler)
	h.holder = NewHolder(HolderSettings{
		Host: name, Zone: "bio", Session: name, Clock: w.now,
		Random: func() float64 { return 0.5 }, Logger: logger, Metrics: set,
	}, wrap(h))
	onEnded := func(e OrderResult) {
		w.mu.Lock()
		defer w.mu.Unlock()
		h.ended = append(h.ended, e)
	}
	h.manager = NewManager(Settings{Clock: w.now, OnEnded: onEnded, Logger: logger, Metrics: set}, h.holder, h)
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	w.announce()
	go h.holder.Run(ctx)
	go h.manager.Run(ctx)
	return h
}

// set changes the faults of a host.
func (h *host) set(change func(h *host)) {
	h.zone.mu.Lock()
	defer h.zone.mu.Unlock()
	change(h)
}

// Lease implements Granter.
func (h *host) Lease(ctx context.Context, cmd lease.Command) (lease.Result, error) {
	h.zone.mu.Lock()
	cut := h.partitioned
	h.zone.mu.Unlock()
	if cut {
		<-ctx.Done()
		return lease.Result{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	h.zone.mu.Lock()
	result := h.zone.table.Apply(h.zone.now(), cmd)
	h.zone.mu.Unlock()
	time.Sleep(time.Millisecond)
	return result, nil
}

var errAnswerLost = errors.New("answer lost")

// Order implements Transport. The order arrives even after the sender's timeout,
// as on a network.
func (h *host) Order(ctx context.Context, ref EngineRef, order engineapi.Order, check func() error) (engineapi.OrderStatus, error) {
	if err := check(); err != nil {
		return engineapi.OrderStatus{}, &NotSentError{Err: err}
	}
	h.zone.mu.Lock()
	pause, delay := h.pause, h.delay
	lost := h.lostAnswers > 0
	if lost {
		h.lostAnswers--
	}
	h.zone.mu.Unlock()
	answer := make(chan engineapi.OrderStatus, 1)
	go func() {
		time.Sleep(pause + delay)
		h.zone.mu.Lock()
		status := h.zone.engines[ref.Instance].model.Order(h.zone.now(), order)
		h.zone.mu.Unlock()
		time.Sleep(delay)
		answer <- status
	}()
	select {
	case status := <-answer:
		if lost {
			return engineapi.OrderStatus{}, errAnswerLost
		}
		return status, nil
	case <-ctx.Done():
		return engineapi.OrderStatus{}, ctx.Err()
	}
}

// OrderStatus implements Transport.
func (h *host) OrderStatus(_ context.Context, ref EngineRef, id string) (engineapi.OrderStatus, error) {
	time.Sleep(h.latency())
	h.zone.mu.Lock()
	defer h.zone.mu.Unlock()
	status, ok := h.zone.engines[ref.Instance].model.OrderStatus(h.zone.now(), id)
	if !ok {
		return status, &UnknownOrderError{Order: id}
	}
	return status, nil
}

// State implements Transport.
func (h *host) State(_ context.Context, ref EngineRef) (engineapi.EngineState, uint64, error) {
	time.Sleep(h.latency())
	h.zone.mu.Lock()
	defer h.zone.mu.Unlock()
	e := h.zone.engines[ref.Instance]
	return e.model.State(h.zone.now()), e.config.Incarnation, nil
}

func (h *host) latency() time.Duration {
	h.zone.mu.Lock()
	defer h.zone.mu.Unlock()
	return h.delay
}

// outcomes returns how the host's orders ended so far.
func (h *host) outcomes() []Outcome {
	h.zone.mu.Lock()
	defer h.zone.mu.Unlock()
	var all []Outcome
	for _, e := range h.ended {
		all = append(all, e.Outcome)
	}
	return all
}

// role returns the role of an engine now.
func (w *testZone) role(name string) engineapi.Role {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[name].model.State(w.now()).Role
}

func (w *testZone) counts(name string) enginemodel.OrderCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[name].counts()
}

// holding reports whether a host's lease is valid now.
func (h *host) holding() bool {
	_, ok := h.holder.Grant()
	return ok
}

// advance lets virtual time pass.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// runInZone runs a test in virtual time with hosts a and b, of which a holds a
// settled lease.
func runInZone(t *testing.T, checksFence bool, test func(t *testing.T, w *testZone, a, b *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newTestZone()
		w.addEngine("e1", checksFence)
		a := w.addHost(ctx, "a")
		advance(time.Second)
		b := w.addHost(ctx, "b")
		advance(time.Second)
		if !a.holding() || b.holding() {
			t.Fatalf("a holds %t, b holds %t; want a only", a.holding(), b.holding())
		}
		test(t, w, a, b)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute) // messages in flight arrive
	})
}

func setRole(role engineapi.Role) Change { return Change{Kind: engineapi.OrderSetRole, Role: role} }

// order sends an order and fails the test when it is refused.
func (h *host) order(t *testing.T, change Change) {
	t.Helper()
	if _, err := h.manager.Order(context.Background(), "e1", change); err != nil {
		t.Fatalf("host %s: %v", h.name, err)
	}
}

func caseName(checksFence bool) string { return fmt.Sprintf("checks fence %t", checksFence) }
