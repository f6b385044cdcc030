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
	"filberthook/internal/process/saturate"
)

// Range of the pauses that a soak injects.
const (
	minPause = 500 * time.Millisecond
	maxPause = 6 * time.Second
)

// Config configures a soak.
type Config struct {
	Load          loadgen.RunConfig // Calls is set per window
	Duration      time.Duration
	Window        time.Duration // each window runs one load, then samples each process
	Processes     []Process
	FaultTargets  []Process     // processes to pause and kill; a supervisor must restart them
	FaultInterval time.Duration // 0 injects no faults
	Seed          uint64
}

// Report is the result of a soak.
type Report struct {
	Windows  int
	Outcomes map[loadgen.Outcome]int
	Examples []string
	Pauses   int
	Kills    int
	Growth   []Growth
}

// Err returns an error if an answer was wrong, no call succeeded or a process
// grows. Without faults, every call must succeed.
func (r Report) Err() error {
	var errs []error
	if n := r.Outcomes[loadgen.Wrong]; n > 0 {
		errs = append(errs, fmt.Errorf("%d answers were wrong", n))
	}
	if r.Outcomes[loadgen.Whole] == 0 {
		errs = append(errs, errors.New("no call succeeded: check the team key and the endpoints"))
	}
	if n := r.calls() - r.Outcomes[loadgen.Whole]; n > 0 && r.Pauses+r.Kills == 0 {
		errs = append(errs, fmt.Errorf("%d calls failed although no fault was injected", n))
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

// Print writes the report as text.
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

// run is the state of a soak.
type run struct {
	cfg     Config
	samples map[string]map[int][]Sample // by process name and process ID

	mu     sync.Mutex // guards the fields below
	pauses int
	kills  int
}

// maxExamples limits the failures that a report quotes.
const maxExamples = 10

// Run puts load on the system, injects faults, and samples its processes.
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

// runWindow runs one load, then samples each process.
func (r *run) runWindow(ctx context.Context, report *Report) {
	load := r.cfg.Load
	load.Calls = saturate.Int(load.Rate * r.cfg.Window.Seconds())
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

// sample records a sample; it skips a process that cannot be read, such as one
// that is being restarted.
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

// injectFaults pauses or kills a random process at each interval until ctx ends.
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

// pause stops a process for a time and resumes it, even if ctx ends.
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
