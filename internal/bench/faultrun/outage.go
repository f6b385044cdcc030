package faultrun

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"filberthook/internal/bench/loadgen"
	"filberthook/internal/process/pause"
)

// Outage is one kind of engine failure.
type Outage string

// Outages.
const (
	NoOutage    Outage = "none"
	HalfCrashed Outage = "half crashed" // every second engine drops all connections
	AllCrashed  Outage = "all crashed"
	HalfPaused  Outage = "half paused" // every second engine stops answering
	AllPaused   Outage = "all paused"
)

// Outages lists all outages in the order of reports.
func Outages() []Outage { return []Outage{NoOutage, HalfCrashed, AllCrashed, HalfPaused, AllPaused} }

// StormConfig describes a measurement of the extra requests that outages cause.
type StormConfig struct {
	Engines int
	Rate    float64 // calls per second, each sent once
	Calls   int     // per outage
	Timeout time.Duration
	Seed    uint64
}

// Storm is the result of the calls during one outage.
type Storm struct {
	Outage   Outage
	Calls    int
	Arrivals uint64 // requests that reached engines, without prefill-only ones
	Prefills uint64 // prefill-only requests that reached engines
	Outcomes map[loadgen.Outcome]int
	Total    loadgen.Quantiles // of the calls with a complete answer
}

// Amplification returns the requests that reached engines per call.
func (s Storm) Amplification() float64 { return float64(s.Arrivals) / float64(max(s.Calls, 1)) }

// Print writes the storm as text.
func (s Storm) Print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %d calls, %d reached engines: %.3f per call, and %d prefills;", s.Outage, s.Calls, s.Arrivals, s.Amplification(), s.Prefills)
	for _, o := range loadgen.Outcomes() {
		fmt.Fprintf(w, " %s %d", o, s.Outcomes[o])
	}
	fmt.Fprintf(w, "; whole answers %s\n", s.Total)
}

// MeasureStorms injects each outage in turn while callers send calls, and counts the
// requests that reach engines. Callers never resend.
func MeasureStorms(ctx context.Context, cfg StormConfig, sys System) ([]Storm, error) {
	b, err := newBench(sys, Sizes{Engines: cfg.Engines, Services: 1}, newLedger(), discard())
	if err != nil {
		return nil, err
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
		return nil, err
	}
	var out []Storm
	for i, outage := range Outages() {
		b.beginOutage(outage)
		out = append(out, b.storm(ctx, cfg, outage, cfg.Seed+uint64(i)))
		b.endOutage(outage)
		pause.For(ctx, settleAfterOutage)
	}
	return out, ctx.Err()
}

// settleAfterOutage is the pause between two outages, for entry hosts to detect that
// the engines are back.
const settleAfterOutage = 5 * time.Second

// affects reports whether an outage affects an engine.
func (o Outage) affects(engine int) bool {
	switch o {
	case AllCrashed, AllPaused:
		return true
	case HalfCrashed, HalfPaused:
		return engine%2 == 0
	default:
		return false
	}
}

func (o Outage) pauses() bool { return o == HalfPaused || o == AllPaused }

func (b *bench) beginOutage(o Outage) {
	for i, w := range b.engines {
		switch {
		case !o.affects(i):
		case o.pauses():
			w.engine.Faults().Pause()
		default:
			w.engine.Crash()
		}
	}
}

func (b *bench) endOutage(o Outage) {
	for i, w := range b.engines {
		switch {
		case !o.affects(i):
		case o.pauses():
			w.engine.Faults().Resume()
		default:
			w.engine.Restart()
		}
	}
}

func (b *bench) arrivals() (whole, prefills uint64) {
	for _, w := range b.engines {
		whole += w.engine.Arrivals()
		prefills += w.engine.Prefills()
	}
	return whole, prefills
}

// storm sends the calls of one outage.
func (b *bench) storm(ctx context.Context, cfg StormConfig, o Outage, seed uint64) Storm {
	var entries []string
	for _, h := range b.hosts {
		entries = append(entries, h.Callers())
	}
	whole, prefills := b.arrivals()
	report := loadgen.Run(ctx, loadgen.RunConfig{
		Entries:  entries,
		TeamKey:  b.sys.TeamKey,
		Endpoint: b.sys.Endpoint,
		Model:    b.sys.Model,
		Mix:      loadgen.Mix{Check: 1},
		Rate:     cfg.Rate,
		Calls:    cfg.Calls,
		Timeout:  cfg.Timeout,
		Seed:     seed,
	})
	wholeAfter, prefillsAfter := b.arrivals()
	s := Storm{
		Outage:   o,
		Calls:    cfg.Calls,
		Arrivals: wholeAfter - whole,
		Prefills: prefillsAfter - prefills,
		Outcomes: make(map[loadgen.Outcome]int),
	}
	for _, outcome := range loadgen.Outcomes() {
		s.Outcomes[outcome] = report.Count(outcome)
	}
	if len(report.Classes) > 0 {
		s.Total = report.Classes[0].Total
	}
	return s
}
