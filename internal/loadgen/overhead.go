package loadgen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// OverheadConfig describes a paired comparison of an entry host with direct
// calls to an endpoint.
type OverheadConfig struct {
	Direct   string        // IP:port of a model engine
	Entry    string        // IP:port of an entry host that reaches that engine
	TeamKey  string        // key of an approved team
	Model    string        // model that the engine carries
	Pairs    int           // measured pairs
	Warmup   int           // pairs before the measured ones
	Rate     float64       // pairs per second
	Prompt   int           // prompt tokens
	Output   int           // output tokens
	Timeout  time.Duration // of one call
	EntryPID int           // process of the entry host; 0 estimates its processor time from this process
	Seed     uint64
}

// OverheadReport is what an entry host adds to a call.
type OverheadReport struct {
	Pairs            int           `json:"pairs"`
	Failed           int           `json:"failed"` // pairs in which a call got no whole right answer
	FirstFailure     string        `json:"first_failure,omitempty"`
	DirectFirstToken Quantiles     `json:"direct_first_token"`
	EntryFirstToken  Quantiles     `json:"entry_first_token"`
	AddedFirstToken  Quantiles     `json:"added_first_token"` // of the differences within pairs
	AddedPerToken    Quantiles     `json:"added_per_token"`   // of the differences within pairs
	Elapsed          time.Duration `json:"elapsed_ns"`
	EntryTokens      int           `json:"entry_tokens"`
	EntryCPU         time.Duration `json:"entry_cpu_ns"` // of the measured pairs; 0 without EntryPID
}

// RequestsPerCore returns the requests that one core of the entry host carries
// in a second; 0 when its processor time was not measured.
func (r OverheadReport) RequestsPerCore() float64 {
	if r.EntryCPU <= 0 {
		return 0
	}
	return float64(r.Pairs-r.Failed) / r.EntryCPU.Seconds()
}

// TokensPerCore returns the output tokens that one core of the entry host
// carries in a second; 0 when its processor time was not measured.
func (r OverheadReport) TokensPerCore() float64 {
	if r.EntryCPU <= 0 {
		return 0
	}
	return float64(r.EntryTokens) / r.EntryCPU.Seconds()
}

// Print writes the report for people.
func (r OverheadReport) Print(w io.Writer) {
	fmt.Fprintf(w, "pairs              %d in %.1f s, %d failed\n", r.Pairs, r.Elapsed.Seconds(), r.Failed)
	if r.FirstFailure != "" {
		fmt.Fprintf(w, "first failure      %s\n", r.FirstFailure)
	}
	fmt.Fprintf(w, "first token direct %s\n", r.DirectFirstToken)
	fmt.Fprintf(w, "first token entry  %s\n", r.EntryFirstToken)
	fmt.Fprintf(w, "added first token  %s\n", r.AddedFirstToken)
	fmt.Fprintf(w, "added per token    %s\n", r.AddedPerToken)
	if r.EntryCPU > 0 {
		fmt.Fprintf(w, "entry processor    %.3f s: %.0f requests/s and %.0f tokens/s per core\n",
			r.EntryCPU.Seconds(), r.RequestsPerCore(), r.TokensPerCore())
	}
}

// pair is one direct call and the same call through the entry.
type pair struct{ direct, entry Result }

// Overhead runs the comparison. Both calls of a pair follow each other in
// random order; pairs start at a fixed rate whether or not earlier ones ended.
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
	order := rand.New(rand.NewPCG(seed, 1))
	pairs := make([]pair, n)
	pacer := newPacer(o.cfg.Rate)
	var wg sync.WaitGroup
	for i := range pairs {
		chat := Chat{
			Model:  o.cfg.Model,
			Prompt: prompts.Prompt(uint64(i), o.cfg.Prompt, o.cfg.Output),
			Stream: true,
		}
		directFirst := order.IntN(2) == 0
		if !pacer.wait(ctx) {
			break
		}
		wg.Go(func() { pairs[i] = o.one(ctx, chat, directFirst) })
	}
	wg.Wait()
	return pairs
}

func (o *overhead) one(ctx context.Context, chat Chat, directFirst bool) pair {
	ctx, cancel := context.WithTimeout(ctx, 2*o.cfg.Timeout)
	defer cancel()
	var p pair
	if directFirst {
		p.direct = o.direct.Chat(ctx, chat)
	}
	p.entry = o.entry.Chat(ctx, chat)
	if !directFirst {
		p.direct = o.direct.Chat(ctx, chat)
	}
	return p
}

func summarise(pairs []pair) OverheadReport {
	report := OverheadReport{Pairs: len(pairs)}
	direct, entry := NewLatencies(), NewLatencies()
	var first, token []time.Duration
	for _, p := range pairs {
		if p.direct.Outcome != Whole || p.entry.Outcome != Whole {
			report.fail(p)
			continue
		}
		direct.Add(p.direct.FirstToken)
		entry.Add(p.entry.FirstToken)
		first = append(first, p.entry.FirstToken-p.direct.FirstToken)
		token = append(token, p.entry.PerToken()-p.direct.PerToken())
		report.EntryTokens += p.entry.Tokens
	}
	report.DirectFirstToken = direct.Quantiles()
	report.EntryFirstToken = entry.Quantiles()
	report.AddedFirstToken = exactQuantiles(first)
	report.AddedPerToken = exactQuantiles(token)
	return report
}

func (r *OverheadReport) fail(p pair) {
	r.Failed++
	if r.FirstFailure != "" {
		return
	}
	r.FirstFailure = fmt.Sprintf("direct %s (%v), entry %s (%v)", p.direct.Outcome, p.direct.Err, p.entry.Outcome, p.entry.Err)
}
