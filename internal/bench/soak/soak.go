package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"filberthook/internal/bench/loadgen"
	"filberthook/internal/process/pause"
)

// Lengths of pauses that a soak makes.
const (
	minPause = 500 * time.Millisecond
	maxPause = 6 * time.Second
)

// Config describes a soak.
type Config struct {
	Load          loadgen.RunConfig // Calls is set per window
	Duration      time.Duration
	Window        time.Duration // one load and one sample of each process
	Processes     []Process
	FaultTargets  []Process     // processes that are paused and killed; a supervisor starts them again
	FaultInterval time.Duration // 0 makes no faults
	Seed          uint64
}

// Report is what became of a soak.
type Report struct {
	Windows  int
	Outcomes map[loadgen.Outcome]int
	Examples []string
	Pauses   int
	Kills    int
	Growth   []Growth
}

// Err returns an error when a promise was broken or a process grows. Without
// faults each call must get its whole answer.
func (r Report) Err() error {
	var errs []error
	if n := r.Outcomes[loadgen.Wrong]; n > 0 {
		errs = append(errs, fmt.Errorf("%d answers were wrong", n))
	}
	if r.Outcomes[loadgen.Whole] == 0 {
		errs = append(errs, errors.New("no call got its whole answer: check the team key and the endpoints"))
	}
	if n := r.calls() - r.Outcomes[loadgen.Whole]; n > 0 && r.Pauses+r.Kills == 0 {
		errs = append(errs, fmt.Errorf("%d calls got no whole answer although there was no fault", n))
	}
	for _, g := range r.Growth {
		if !g.Flat {
			errs = append(errs, errors.New(g.String()))
		}
	}
	return errors.Join(errs...)
}

func (r Report) calls() int {
	n := 0
	for _, o := range loadgen.Outcomes() {
		n += r.Outcomes[o]
	}
	return n
}

// Print writes the report for people.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d windows, %d pauses, %d kills\n", r.Windows, r.Pauses, r.Kills)
	for _, o := range loadgen.Outcomes() {
		fmt.Fprintf(w, "  %s %d\n", o, r.Outcomes[o])
	}
	for _, g := range r.Growth {
		fmt.Fprintln(w, " ", g)
	}
	for _, e := range r.Examples {
		fmt.Fprintln(w, "  example:", e)
	}
}

// run is a soak under way.
type run struct {
	cfg     Config
	samples map[string]map[int][]Sample // by process and process identifier

	mu     sync.Mutex // guards the fields below
	pauses int
	kills  int
}

// maxExamples bounds the failures that a report quotes.
const maxExamples = 10

// Run puts load on the system, strikes it, and samples its processes.
func Run(ctx context.Context, cfg Config) (Report, error) {
	r := &run{cfg: cfg, samples: make(map[string]map[int][]Sample)}
	report := Report{Outcomes: make(map[loadgen.Outcome]int)}
	faultCtx, stop := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(faultCtx) })
	until := time.Now().Add(cfg.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		r.runWindow(ctx, &report)
	}
	stop()
	faults.Wait()
	report.Pauses, report.Kills = r.pauses, r.kills
	for _, p := range cfg.Processes {
		for _, samples := range r.samples[p.Name] {
			report.Growth = append(report.Growth, AssessGrowth(p.Name, samples)...)
		}
	}
	return report, ctx.Err()
}

// runWindow runs one load and takes one sample of each process.
func (r *run) runWindow(ctx context.Context, report *Report) {
	load := r.cfg.Load
	load.Calls = int(load.Rate * r.cfg.Window.Seconds())
	load.Seed = r.cfg.Seed<<20 + uint64(report.Windows)
	result := loadgen.Run(ctx, load)
	report.Windows++
	for _, o := range loadgen.Outcomes() {
		report.Outcomes[o] += result.Count(o)
	}
	if room := maxExamples - len(report.Examples); room > 0 {
		report.Examples = append(report.Examples, result.Examples[:min(room, len(result.Examples))]...)
	}
	for _, p := range r.cfg.Processes {
		r.sample(ctx, p)
	}
}

// sample takes a sample; a process that is being started again gives none.
func (r *run) sample(ctx context.Context, p Process) {
	s, err := p.Sample(ctx)
	if err != nil {
		return
	}
	if r.samples[p.Name] == nil {
		r.samples[p.Name] = make(map[int][]Sample)
	}
	r.samples[p.Name][s.PID] = append(r.samples[p.Name][s.PID], s)
}

// injectFaults pauses or kills one process after the other until ctx ends.
func (r *run) injectFaults(ctx context.Context) {
	if r.cfg.FaultInterval <= 0 || len(r.cfg.FaultTargets) == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 9))
	for pause.For(ctx, r.cfg.FaultInterval) {
		p := r.cfg.FaultTargets[rng.IntN(len(r.cfg.FaultTargets))]
		length := minPause + time.Duration(rng.Int64N(int64(maxPause-minPause)))
		if rng.IntN(2) == 0 {
			r.kill(p)
			continue
		}
		r.pause(ctx, p, length)
	}
}

func (r *run) kill(p Process) {
	if signal(p, syscall.SIGKILL) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills++
}

// pause stops a process for a time and always lets it go on.
func (r *run) pause(ctx context.Context, p Process, length time.Duration) {
	if signal(p, syscall.SIGSTOP) != nil {
		return
	}
	pause.For(ctx, length)
	_ = signal(p, syscall.SIGCONT)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauses++
}

func signal(p Process, s os.Signal) error {
	pid, err := p.PID()
	if err != nil {
		return err
	}
	process, err := os.FindProcess(pid)
	if err != nil {
		return err
	}
	return process.Signal(s)
}
