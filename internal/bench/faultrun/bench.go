package faultrun

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"filberthook/internal/bench/faultnet"
	"filberthook/internal/process/pause"
)

// changePollInterval is how often crashInChange checks whether an engine is changing.
const changePollInterval = 5 * time.Millisecond

// Limits of restarting an entry host or control replica.
const (
	restartLimit = 20 * time.Second
	restartPause = 100 * time.Millisecond
)

// bench runs the stand-ins and injects faults into the system.
type bench struct {
	sys      System
	log      *slog.Logger
	engines  []*engineWorker
	services []*serviceWorker
	hosts    []*host
	controls []sync.Mutex // each is locked during a fault of its replica
	ledger   *ledger
}

// host is an entry host with its fault state.
type host struct {
	Entry
	busy sync.Mutex // locked during a fault, so that faults of one host do not overlap

	mu       sync.Mutex
	stopping bool // a graceful stop is under way; guarded by mu
	down     bool // killed or stopped; guarded by mu
}

func (h *host) setState(stopping, down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping, h.down = stopping, down
}

// isStopping reports whether a graceful stop is under way.
func (h *host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// newBench starts the stand-ins, spread over the zones of the entry hosts. In
// each zone some engines check fencing numbers and some ignore them.
func newBench(sys System, sizes Sizes, led *ledger, log *slog.Logger) (*bench, error) {
	b := &bench{sys: sys, log: log, ledger: led, controls: make([]sync.Mutex, len(sys.Controls))}
	for _, e := range sys.Entries {
		b.hosts = append(b.hosts, &host{Entry: e})
	}
	for i := range sizes.Engines {
		w, err := newEngineWorker(fmt.Sprintf("engine-%d", i), b.zone(i), i/len(b.hosts)%2 == 0, sys)
		if err != nil {
			return nil, errors.Join(err, b.close())
		}
		b.engines = append(b.engines, w)
	}
	for i := range sizes.Services {
		w, err := newServiceWorker(fmt.Sprintf("service-%d", i), b.zone(i), sys)
		if err != nil {
			return nil, errors.Join(err, b.close())
		}
		b.services = append(b.services, w)
	}
	return b, nil
}

func (b *bench) zone(i int) string { return b.hosts[i%len(b.hosts)].Zone() }

// run drives the stand-ins until ctx ends.
func (b *bench) run(ctx context.Context) {
	var g errgroup.Group
	for _, w := range b.engines {
		g.Go(func() error { return w.engine.Run(ctx) })
	}
	for _, w := range b.services {
		g.Go(func() error { return w.service.Run(ctx) })
	}
	_ = g.Wait()
}

func (b *bench) close() error {
	for _, w := range b.engines {
		w.close()
	}
	for _, w := range b.services {
		w.close()
	}
	return nil
}

// heal ends the faults of all stand-ins, except crashes, at the end of a run.
func (b *bench) heal() {
	for _, w := range b.engines {
		w.heal()
	}
	for _, w := range b.services {
		w.heal()
	}
}

// executePlan injects the faults of a plan and returns when the last one has ended.
func (b *bench) executePlan(ctx context.Context, plan []Fault, seed uint64) {
	start := time.Now()
	var wg sync.WaitGroup
	for i, f := range plan {
		pause.For(ctx, time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		wg.Go(func() { b.injectUnlessBusy(ctx, f, rng) })
	}
	wg.Wait()
}

// injectUnlessBusy injects one fault, unless another one is active on its target.
func (b *bench) injectUnlessBusy(ctx context.Context, f Fault, rng *rand.Rand) {
	if f.Kind == ChangeDeclared {
		b.ledger.fault(f.Kind, b.change(ctx, rng))
		return
	}
	busy := b.targetLock(f)
	if !busy.TryLock() {
		b.ledger.skipped()
		return
	}
	defer busy.Unlock()
	b.log.Info("fault", "kind", f.Kind, "index", f.Index, "length", f.Length)
	b.ledger.fault(f.Kind, b.inject(ctx, f, rng))
}

func (b *bench) targetLock(f Fault) *sync.Mutex {
	switch targetOf(f.Kind) {
	case onEngine:
		return &b.engines[f.Index].busy
	case onService:
		return &b.services[f.Index].busy
	case onEntry:
		return &b.hosts[f.Index].busy
	default:
		return &b.controls[f.Index]
	}
}

func (b *bench) inject(ctx context.Context, f Fault, rng *rand.Rand) error {
	switch targetOf(f.Kind) {
	case onEngine:
		if f.Kind == CrashInChange {
			return b.crashInChange(ctx, b.engines[f.Index], f.Length, rng)
		}
		return b.injectAtWorker(ctx, &b.engines[f.Index].worker, f)
	case onService:
		return b.injectAtWorker(ctx, &b.services[f.Index].worker, f)
	case onEntry:
		return b.injectAtEntry(ctx, b.hosts[f.Index], f)
	default:
		c := b.sys.Controls[f.Index]
		c.Kill()
		pause.For(ctx, f.Length)
		return restart(ctx, c.Start)
	}
}

func (b *bench) injectAtWorker(ctx context.Context, w *worker, f Fault) error {
	faults := w.standin.Faults()
	switch f.Kind {
	case CrashEngine, CrashService:
		w.crash(ctx, f.Length)
		return nil
	case LeaveEngine, LeaveService:
		last, err := w.leave(ctx, f.Length)
		b.ledger.workerLeft(w.name, last)
		return err
	case ResetEngine:
		w.relay.Reset()
		return nil
	case CrossEngine, CrossService:
		faults.CrossAnswers(1)
		return nil
	case CutStreams:
		faults.CutStreams(2, 5)
		return nil
	case LoseService:
		faults.LoseAnswers(1)
		return nil
	case PauseEngine, PauseService:
		faults.Pause()
	case CutEngine:
		w.relay.Cut()
	case CutEngineIn:
		w.relay.CutToTarget()
	case CutEngineOut, CutServiceOut:
		w.relay.CutToCaller()
	case DelayEngine:
		w.relay.Delay(slowNetwork)
	}
	pause.For(ctx, f.Length)
	w.relay.Heal()
	faults.Resume()
	return nil
}

func (b *bench) injectAtEntry(ctx context.Context, h *host, f Fault) error {
	switch f.Kind {
	case StopEntry:
		h.setState(true, false)
		if err := h.Stop(ctx); err != nil {
			b.ledger.cutByStop(err)
		}
		h.setState(false, true)
	case KillEntry:
		h.setState(false, true)
		h.Kill()
	default:
		cutEntry(ctx, h.Network(), f)
		return nil
	}
	pause.For(ctx, f.Length)
	err := restart(ctx, h.Start)
	h.setState(false, false)
	return err
}

// restart starts an entry host or control replica again. It retries, as outgoing
// connections of this process may use its addresses for a moment.
func restart(ctx context.Context, start func() error) error {
	until := time.Now().Add(restartLimit)
	for {
		err := start()
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			return err
		}
		pause.For(ctx, restartPause)
	}
}

// cutEntry cuts an entry host off from callers or from the control replicas for a time.
func cutEntry(ctx context.Context, n EntryNetwork, f Fault) {
	relays := n.Control
	if f.Kind == CutEntryIn || f.Kind == CutEntryOut {
		relays = []*faultnet.Relay{n.Callers}
	}
	for _, r := range relays {
		switch f.Kind {
		case CutControl:
			r.Cut()
		case CutEntryIn:
			r.CutToTarget()
		default:
			r.CutToCaller()
		}
	}
	pause.For(ctx, f.Length)
	for _, r := range relays {
		r.Heal()
	}
}

func (b *bench) change(ctx context.Context, rng *rand.Rand) error {
	if b.sys.ChangeDeclared == nil {
		return nil
	}
	return b.sys.ChangeDeclared(ctx, rng)
}

// crashInChange makes a declared change and crashes the engine once the change has
// an order outstanding there.
func (b *bench) crashInChange(ctx context.Context, w *engineWorker, length time.Duration, rng *rand.Rand) error {
	err := b.change(ctx, rng)
	until := time.Now().Add(longestFault)
	for time.Now().Before(until) && ctx.Err() == nil {
		if w.engine.State().Outstanding.ID != "" {
			w.crash(ctx, length)
			b.ledger.crashedInChange()
			return err
		}
		pause.For(ctx, changePollInterval)
	}
	return err
}
