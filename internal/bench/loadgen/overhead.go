package loadgen

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// OverheadConfig configures a paired comparison of calls through an entry host
// with direct calls to an engine.
type OverheadConfig struct {
	Direct   string        // IP:port of a model engine
	Entry    string        // IP:port of an entry host that routes to that engine
	TeamKey  string        // key of an approved team
	Model    string        // model that the engine serves
	Endpoint string        // endpoint of that model at the entry host; empty means Model
	Pairs    int           // measured pairs
	Warmup   int           // unmeasured pairs at the start
	Rate     float64       // pairs per second
	Prompt   int           // prompt tokens
	Output   int           // output tokens
	Timeout  time.Duration // of one call
	EntryPID int           // process of the entry host; 0 leaves its processor time unmeasured
	Seed     uint64
}

// OverheadReport is the latency that an entry host adds to a call.
type OverheadReport struct {
	Pairs            int           `json:"pairs"`
	Failed           int           `json:"failed"` // pairs in which a call got no complete, correct answer
	FirstFailure     string        `json:"first_failure,omitempty"`
	DirectFirstToken Quantiles     `json:"direct_first_token"`
	EntryFirstToken  Quantiles     `json:"entry_first_token"`
	AddedFirstToken  Quantiles     `json:"added_first_token"`   // of the differences within pairs, entry minus direct
	AddedPerToken    Quantiles     `json:"added_per_token"`     // of the differences within pairs, entry minus direct
	ControlFirst     Quantiles     `json:"control_first_token"` // of the differences between two direct calls of a pair
	ControlPerToken  Quantiles     `json:"control_per_token"`   // of the differences between two direct calls of a pair
	Elapsed          time.Duration `json:"elapsed_ns"`
	EntryTokens      int           `json:"entry_tokens"`
	EntryCPU         time.Duration `json:"entry_cpu_ns"` // during the measured pairs; 0 without EntryPID
}

// RequestsPerCore returns the requests that one core of the entry host handles
// per second; 0 if its processor time was not measured.
func (r OverheadReport) RequestsPerCore() float64 {
	if r.EntryCPU <= 0 {
		return 0
	}
	return float64(r.Pairs-r.Failed) / r.EntryCPU.Seconds()
}

// TokensPerCore returns the output tokens that one core of the entry host
// handles per second; 0 if its processor time was not measured.
func (r OverheadReport) TokensPerCore() float64 {
	if r.EntryCPU <= 0 {
		return 0
	}
	return float64(r.EntryTokens) / r.EntryCPU.Seconds()
}

// Print writes the report as text.
func (r OverheadReport) Print(w io.Writer) {
	fmt.Fprintf(w, "pairs              %d in %.1f s, %d failed\n", r.Pairs, r.Elapsed.Seconds(), r.Failed)
	if r.FirstFailure != "" {
		fmt.Fprintf(w, "first failure      %s\n", r.FirstFailure)
	}
	fmt.Fprintf(w, "first token direct %s\n", r.DirectFirstToken)
	fmt.Fprintf(w, "first token entry  %s\n", r.EntryFirstToken)
	fmt.Fprintf(w, "added first token  %s\n", r.AddedFirstToken)
	fmt.Fprintf(w, "control            %s\n", r.ControlFirst)
	fmt.Fprintf(w, "added per token    %s\n", r.AddedPerToken)
	fmt.Fprintf(w, "control            %s\n", r.ControlPerToken)
	if r.EntryCPU > 0 {
		fmt.Fprintf(w, "entry processor    %.3f s: %.0f requests/s and %.0f tokens/s per core\n",
			r.EntryCPU.Seconds(), r.RequestsPerCore(), r.TokensPerCore())
	}
}

// pair holds the results of one call made directly, through the entry host, and
// directly again as a control.
type pair struct{ direct, entry, control Result }

// complete reports whether all calls got complete, correct answers.
func (p pair) complete() bool {
	return p.direct.Outcome == Whole && p.entry.Outcome == Whole && p.control.Outcome == Whole
}

// Overhead runs the comparison. The calls of a pair run one after another in
// random order; pairs start at a fixed rate whether or not earlier ones ended.
// The difference between the two direct calls of a pair shows the measurement noise.
func Overhead(ctx context.Context, cfg OverheadConfig) (OverheadReport, error) {
	o := &overhead{cfg: cfg, direct: NewCaller(cfg.Direct, ""), entry: NewCaller(cfg.Entry, cfg.TeamKey)}
	defer o.direct.Close()
	defer o.entry.Close()
	o.run(ctx, cfg.Warmup, cfg.Seed+1)
	before, err := o.entryCPU()
	if err != nil {
		return OverheadReport{}, err
	}
	start := time.Now()
	pairs := o.run(ctx, cfg.Pairs, cfg.Seed)
	report := summarise(pairs)
	report.Elapsed = time.Since(start)
	after, err := o.entryCPU()
	report.EntryCPU = after - before
	if err == nil {
		err = ctx.Err()
	}
	return report, err
}

type overhead struct {
	cfg    OverheadConfig
	direct *Caller
	entry  *Caller
}

func (o *overhead) entryCPU() (time.Duration, error) {
	if o.cfg.EntryPID == 0 {
		return 0, nil
	}
	return ProcessCPU(o.cfg.EntryPID)
}

func (o *overhead) run(ctx context.Context, n int, seed uint64) []pair {
	prompts := NewPrompts(seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	pairs := make([]pair, n)
	pacer := newPacer(o.cfg.Rate)
	var wg sync.WaitGroup
	for i := range pairs {
		chat := Chat{
			Model:  o.cfg.Model,
			Prompt: prompts.Prompt(uint64(i), o.cfg.Prompt, o.cfg.Output),
			Stream: true,

			MaxTokens: o.cfg.Output,
			Deadline:  ampleDeadline,
		}
		order := rng.Perm(callsPerPair)
		if !pacer.wait(ctx) {
			break
		}
		wg.Go(func() { pairs[i] = o.runPair(ctx, chat, order) })
	}
	wg.Wait()
	return pairs
}

// ampleDeadline keeps entry hosts from refusing measured calls: they estimate the
// latency of an ordinary engine, which is slower than a sped-up stand-in.
const ampleDeadline = 10 * time.Minute

// callsPerPair is the number of calls in a pair, including the control.
const callsPerPair = 3

func (o *overhead) runPair(ctx context.Context, chat Chat, order []int) pair {
	ctx, cancel := context.WithTimeout(ctx, callsPerPair*o.cfg.Timeout)
	defer cancel()
	callers := [callsPerPair]*Caller{o.direct, o.entry, o.direct}
	var results [callsPerPair]Result
	for _, i := range order {
		sent := chat
		if callers[i] == o.entry {
			sent.Model = cmp.Or(o.cfg.Endpoint, chat.Model)
			sent.Engine = chat.Model
		}
		results[i] = callers[i].Chat(ctx, sent)
	}
	return pair{direct: results[0], entry: results[1], control: results[2]}
}

func summarise(pairs []pair) OverheadReport {
	report := OverheadReport{Pairs: len(pairs)}
	direct, entry := NewLatencies(), NewLatencies()
	var first, token, controlFirst, controlToken []time.Duration
	for _, p := range pairs {
		if !p.complete() {
			report.fail(p)
			continue
		}
		direct.Add(p.direct.FirstToken)
		entry.Add(p.entry.FirstToken)
		first = append(first, p.entry.FirstToken-p.direct.FirstToken)
		token = append(token, p.entry.PerToken()-p.direct.PerToken())
		controlFirst = append(controlFirst, p.control.FirstToken-p.direct.FirstToken)
		controlToken = append(controlToken, p.control.PerToken()-p.direct.PerToken())
		report.EntryTokens += p.entry.Tokens
	}
	report.DirectFirstToken = direct.Quantiles()
	report.EntryFirstToken = entry.Quantiles()
	report.AddedFirstToken = exactQuantiles(first)
	report.AddedPerToken = exactQuantiles(token)
	report.ControlFirst = exactQuantiles(controlFirst)
	report.ControlPerToken = exactQuantiles(controlToken)
	return report
}

func (r *OverheadReport) fail(p pair) {
	r.Failed++
	if r.FirstFailure != "" {
		return
	}
	r.FirstFailure = fmt.Sprintf("direct %s (%v), entry %s (%v)", p.direct.Outcome, p.direct.Err, p.entry.Outcome, p.entry.Err)
}
