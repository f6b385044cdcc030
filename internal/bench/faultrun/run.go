package faultrun

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/process/pause"
)

// Time limits of a run, and the shares of callers.
const (
	startLimit   = 30 * time.Second // for the first calls to be answered
	settleLimit  = 60 * time.Second // for calls in progress when the faults have ended
	callerPause  = 5 * time.Millisecond
	statusEvery  = 4 // every n-th caller reads statuses
	bookingEvery = 3 // every n-th of the others books
)

// Config describes a run.
type Config struct {
	Seed     uint64
	Length   time.Duration // time in which faults start
	Engines  int
	Services int
	Callers  int
}

// ErrNotReady means that an entry host answered no call before any fault.
var ErrNotReady = errors.New("the system answered no call before the faults: look at its logs, and check that the team is approved")

// Run runs calls against a system under faults and audits the results. The system must
// be running and its team approved.
func Run(ctx context.Context, cfg Config, sys System, log *slog.Logger) (Report, error) {
	return runPlan(ctx, cfg, sys, Plan(cfg.Seed, cfg.Length, cfg.sizes(sys)), log)
}

func (c Config) sizes(sys System) Sizes {
	return Sizes{Engines: c.Engines, Services: c.Services, Entries: len(sys.Entries), Controls: len(sys.Controls)}
}

func runPlan(ctx context.Context, cfg Config, sys System, plan []Fault, log *slog.Logger) (Report, error) {
	led := newLedger()
	sizes := cfg.sizes(sys)
	b, err := newBench(sys, sizes, led, log)
	if err != nil {
		return Report{}, err
	}
	defer b.close()
	standins, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { b.run(standins) })
	defer running.Wait()
	defer stop()
	s := newSessions(b, cfg.Seed)
	defer s.close()
	if err := s.warmUp(ctx); err != nil {
		return Report{}, err
	}
	s.underFaults(ctx, cfg, plan)
	s.askUnknownBookings(ctx)
	return b.audit(), ctx.Err()
}

// warmUp waits until each entry host answers a chat and a status read.
func (s *sessions) warmUp(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	trial := &sessions{bench: s.bench, ledger: newLedger(), seed: s.seed}
	for _, caller := range s.callers {
		trial.callers = append(trial.callers[:0], caller)
		c := trial.newCaller(0)
		for _, call := range []func(context.Context){c.chat, c.status} {
			for before := trial.whole(); trial.whole() == before; {
				if limited.Err() != nil {
					return ErrNotReady
				}
				call(limited)
			}
		}
	}
	return nil
}

func (s *sessions) whole() int {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	return s.ledger.report.Chats.Whole + s.ledger.report.Status.Whole
}

// underFaults lets the callers work while the plan is executed, heals all faults and
// waits until each call in progress has ended.
func (s *sessions) underFaults(ctx context.Context, cfg Config, plan []Fault) {
	working, stopNew := context.WithCancel(ctx)
	defer stopNew()
	ending, cut := context.WithCancel(ctx)
	defer cut()
	var callers sync.WaitGroup
	for id := range cfg.Callers {
		callers.Go(func() { s.newCaller(id+1).work(working, ending) })
	}
	s.bench.executePlan(ctx, plan, cfg.Seed)
	s.bench.heal()
	pause.For(ctx, time.Second)
	stopNew()
	limit := time.AfterFunc(settleLimit, cut)
	defer limit.Stop()
	callers.Wait()
}

// work makes calls of one kind until working ends. A call in progress continues until
// it completes or ending ends.
func (c *caller) work(working, ending context.Context) {
	call := c.chat
	switch {
	case c.id%statusEvery == 0:
		call = c.status
	case c.id%bookingEvery == 0:
		call = c.book
	}
	for working.Err() == nil {
		call(ending)
		pause.For(working, callerPause)
	}
}

// audit checks the results against the recorded runs and orders of all stand-ins.
func (b *bench) audit() Report {
	bookings, chats := make(map[string]int), make(map[string]int)
	var orders enginemodel.OrderCounts
	for _, w := range b.engines {
		addRuns(chats, w.engine.Runs())
		orders = orders.Add(w.engine.OrderCounts())
	}
	for _, w := range b.services {
		addRuns(bookings, w.service.Runs())
	}
	return b.ledger.audit(bookings, chats, orders)
}

// ran reports whether a booking has run at any service.
func (b *bench) ran(key string) bool {
	for _, w := range b.services {
		if w.service.Ran(key) {
			return true
		}
	}
	return false
}

func addRuns(to, runs map[string]int) {
	for key, n := range runs {
		to[key] += n
	}
}
