// Package standin provides stand-ins for the endpoints of the system: a model
// engine that drives package enginemodel in real time, and a plain service that
// counts its runs. Both speak the messages of package engineapi over HTTP,
// announce themselves to entry hosts, and support fault injection.
package standin

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/process/saturate"
)

// catchUpLimit is how far the engine may lag behind the clock before it skips the
// missed time.
const catchUpLimit = 50 * time.Millisecond

// minSleep is the shortest sleep of the step loop. Shorter steps run ahead of the
// clock until they add up to it.
const minSleep = 100 * time.Microsecond

// EngineConfig describes one stand-in engine.
type EngineConfig struct {
	Identity
	Model    enginemodel.Config
	Speed    float64 // engine seconds per second; 0 means 1. Load reports are in engine seconds
	MaxQueue int     // longest queue of waiting requests; 0 sets no limit

	// RecordRuns counts the runs of each idempotency key. The counts grow without
	// bound, so this is meant for short runs.
	RecordRuns bool
}

// Engine is a stand-in for one model engine. It is an http.Handler; Run drives
// it.
type Engine struct {
	cfg     EngineConfig
	log     *slog.Logger
	faults  *Faults
	gate    leaveGate
	ann     *announcer
	start   time.Time
	wake    chan struct{} // wakes an idle step loop
	metrics engineMetrics
	mux     *http.ServeMux

	arrivals atomic.Uint64 // callers' requests that reached the engine, also while it was crashed or paused
	prefills atomic.Uint64 // prefill-only requests that reached the engine

	mu            sync.Mutex // guards all fields below
	incarnation   uint64
	model         *enginemodel.Engine
	streams       map[string]*stream // by attempt identifier
	caches        kvStore
	crashedOrders enginemodel.OrderCounts // of earlier, crashed incarnations
	runs          map[string]int          // by idempotency key, when RecordRuns is set
}

// NewEngine returns a stand-in engine. Its metrics are registered in set.
func NewEngine(cfg EngineConfig, set *metrics.Set, log *slog.Logger) (*Engine, error) {
	if err := cfg.Model.Validate(); err != nil {
		return nil, err
	}
	cfg.Identity = cfg.Identity.withDefaults()
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	e := &Engine{
		cfg:         cfg,
		log:         log.With("instance", cfg.Instance),
		faults:      newFaults(),
		start:       time.Now(),
		wake:        make(chan struct{}, 1),
		metrics:     newEngineMetrics(set),
		incarnation: cfg.Incarnation,
		runs:        make(map[string]int),
	}
	e.gate.grace = cfg.LeaveGrace
	e.mux = e.newMux()
	e.reset()
	e.ann = newAnnouncer(cfg.Identity, e.faults, set, e.log, e.announcement)
	return e, nil
}

// reset gives the engine the state of a new process. The caller holds e.mu or has
// not shared the engine yet.
func (e *Engine) reset() {
	cfg := e.cfg.Model
	cfg.Incarnation = e.incarnation
	e.model = enginemodel.New(cfg)
	e.streams = make(map[string]*stream)
	e.caches = newKVStore()
}

// Faults returns the fault injection controls of the engine.
func (e *Engine) Faults() *Faults { return e.faults }

// Crash drops all connections and all state until Restart.
func (e *Engine) Crash() {
	e.faults.crash()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.metrics.crashes.Inc()
	e.crashedOrders = e.crashedOrders.Add(e.model.OrderCounts())
	e.reset()
}

// Restart starts a crashed engine as a new incarnation with the configured models
// and role.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.incarnation++
	e.reset()
	e.mu.Unlock()
	e.faults.restore()
	e.ann.announceNow()
}

// IgnoreFence makes the engine accept orders with old fencing numbers.
func (e *Engine) IgnoreFence(ignore bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetChecksFence(!ignore && e.cfg.Model.ChecksFence)
}

// OrderCounts returns the counts of order effects over all incarnations.
func (e *Engine) OrderCounts() enginemodel.OrderCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashedOrders.Add(e.model.OrderCounts())
}

// Arrivals returns the number of callers' requests that reached the engine,
// also while it was crashed or paused, except prefill-only requests. Those are
// counted by Prefills, as a full request to another engine follows each of them.
func (e *Engine) Arrivals() uint64 { return e.arrivals.Load() }

// Prefills returns the number of prefill-only requests; see Arrivals.
func (e *Engine) Prefills() uint64 { return e.prefills.Load() }

// Runs returns how often the engine started to run each idempotency key. It is
// empty unless RecordRuns is set.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// State returns the models, the role and the orders of the engine.
func (e *Engine) State() engineapi.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.State(e.now())
}

// now returns the engine time: the time since the start, scaled by Speed.
func (e *Engine) now() time.Duration {
	return saturate.Nanoseconds(float64(time.Since(e.start)) * e.cfg.Speed)
}

// real converts a duration in engine time to wall-clock time.
func (e *Engine) real(d time.Duration) time.Duration {
	return saturate.Nanoseconds(float64(d) / e.cfg.Speed)
}

// Run drives the engine and announces it until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		e.drive(ctx)
		return nil
	})
	g.Go(func() error {
		e.ann.run(ctx)
		return nil
	})
	return g.Wait()
}

// Leave announces that the engine leaves and waits until its work is done. The
// caller then ends Run.
func (e *Engine) Leave(ctx context.Context) error {
	e.gate.leave()
	e.ann.announceNow()
	return e.gate.wait(ctx, e.idle)
}

// CancelLeave reverts Leave.
func (e *Engine) CancelLeave() {
	e.gate.cancel()
	e.ann.announceNow()
}

// LeaveReport reports the new work that reached the engine after Leave.
func (e *Engine) LeaveReport() LeaveReport { return e.gate.arrivals() }

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Idle() && len(e.streams) == 0
}

func (e *Engine) announcement() engineapi.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	return engineapi.Announcement{
		Instance:     e.cfg.Instance,
		Incarnation:  e.incarnation,
		Endpoint:     e.cfg.Endpoint,
		Kind:         engineapi.KindModel,
		Zone:         e.cfg.Zone,
		Address:      e.cfg.Address,
		KVBlocks:     e.cfg.Model.KVBlocks,
		ChecksFence:  e.cfg.Model.ChecksFence,
		Draining:     e.gate.leaving(),
		LeaseSeconds: e.cfg.Lease.Seconds(),
		State:        e.model.State(now),
		Load:         e.model.Load(now),
	}
}

// drive runs batch steps until ctx ends.
func (e *Engine) drive(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	at := e.now()
	for ctx.Err() == nil {
		if !e.faults.waitRunning(ctx) {
			e.sleep(ctx, timer, DefaultAnnounceEvery)
			continue
		}
		at = e.stepStart(at)
		events, end, busy, model := e.step(at)
		if busy {
			e.sleepUntil(ctx, timer, end, false)
		}
		e.deliver(model, events)
		at = end
		if !busy {
			e.sleepUntil(ctx, timer, end, true)
			at = e.now()
		}
	}
}

// stepStart returns when the next step starts: at the end of the last one, unless
// the engine lags behind the clock by more than catchUpLimit.
func (e *Engine) stepStart(last time.Duration) time.Duration {
	now := e.now()
	if e.real(now-last) > catchUpLimit {
		return now
	}
	return last
}

func (e *Engine) step(at time.Duration) ([]enginemodel.Event, time.Duration, bool, *enginemodel.Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events, end, busy := e.model.Step(at)
	if !busy {
		end = max(end, e.now())
	}
	return events, end, busy, e.model
}

// deliver queues events for their streams. Events of a model that a crash has
// replaced are dropped.
func (e *Engine) deliver(model *enginemodel.Engine, events []enginemodel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model != model {
		return
	}
	for _, ev := range events {
		s := e.streams[ev.Request]
		if s == nil {
			continue
		}
		s.deliver(ev)
		e.countRun(s, ev.Kind)
	}
}

// countRun counts a run when its prefill is done or it is aborted; the caller holds e.mu.
func (e *Engine) countRun(s *stream, kind enginemodel.EventKind) {
	began := kind == enginemodel.EventPrefillDone || kind == enginemodel.EventAborted
	if !began || s.runCounted || s.key == "" || !e.cfg.RecordRuns {
		return
	}
	s.runCounted = true
	e.runs[s.key]++
}

// sleepUntil waits until an engine time. An idle engine waits until woken, or
// until its next known change if there is one.
func (e *Engine) sleepUntil(ctx context.Context, timer *time.Timer, end time.Duration, idle bool) {
	d := e.real(end - e.now())
	if !idle {
		e.sleep(ctx, timer, d)
		return
	}
	if d <= 0 {
		d = time.Hour
	}
	timer.Reset(d)
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
	}
}

func (e *Engine) sleep(ctx context.Context, timer *time.Timer, d time.Duration) {
	if d < minSleep {
		return
	}
	timer.Reset(d)
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// wakeUp ends the wait of an idle step loop.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
