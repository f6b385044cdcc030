package loadgen

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// CostConfig configures a measurement of the processor time that an entry host
// uses per call.
type CostConfig struct {
	Direct   string // IP:port of a model engine
	Entry    string // IP:port of an entry host that routes to that engine
	TeamKey  string
	Model    string // model that the engine serves
	Endpoint string // endpoint of that model at the entry host; empty means Model
	EntryPID int    // process of the entry host; 0 if it runs in this process
	Calls    int    // in each block
	Blocks   int    // measured blocks of each kind; the kinds alternate
	Workers  int    // concurrent calls
	Prompt   int    // prompt tokens
	Short    int    // output tokens of short answers
	Long     int    // output tokens of long answers
	Timeout  time.Duration
	Seed     uint64
}

// CostReport is the processor time that an entry host uses. If the host runs in
// this process, it is the difference between calls through the host and direct
// calls, and includes the kernel's work for the second connection.
type CostReport struct {
	Calls      int           `json:"calls"` // measured calls through the entry host
	Failed     int           `json:"failed"`
	PerRequest time.Duration `json:"per_request_ns"` // processor time of a call with a short answer
	PerToken   time.Duration `json:"per_token_ns"`   // processor time of each further token
	CallRate   float64       `json:"call_rate"`      // calls with short answers per second
	TokenRate  float64       `json:"token_rate"`     // tokens per second of long answers

	Failures map[string]int `json:"failures,omitempty"` // failed calls by refusal code, or by error if there is none
}

// RequestsPerCore returns the calls with short answers that one core handles per
// second.
func (r CostReport) RequestsPerCore() float64 { return perCore(r.PerRequest) }

// TokensPerCore returns the tokens after the first that one core handles per
// second.
func (r CostReport) TokensPerCore() float64 { return perCore(r.PerToken) }

func perCore(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return float64(time.Second) / float64(d)
}

// Print writes the report as text.
func (r CostReport) Print(w io.Writer) {
	fmt.Fprintf(w, "processor time of the entry host over %d calls, %d failed:\n", r.Calls, r.Failed)
	for reason, n := range r.Failures {
		fmt.Fprintf(w, "  failed: %s %d\n", reason, n)
	}
	if r.Failed > 0 {
		fmt.Fprintln(w, "  not told, because failed calls cost less than whole ones")
		return
	}
	fmt.Fprintf(w, "  per request %s: %.0f requests/s per core; reached %.0f requests/s\n", r.PerRequest, r.RequestsPerCore(), r.CallRate)
	fmt.Fprintf(w, "  per token   %s: %.0f tokens/s per core; reached %.0f tokens/s\n", r.PerToken, r.TokensPerCore(), r.TokenRate)
}

// block is the result of one block of calls, or the sum of several.
type block struct {
	calls, failed, tokens int
	cpu, elapsed          time.Duration
}

func (b *block) add(o block) {
	b.calls += o.calls
	b.failed += o.failed
	b.tokens += o.tokens
	b.cpu += o.cpu
	b.elapsed += o.elapsed
}

// perCall returns the mean processor time of a call.
func (b block) perCall() time.Duration { return b.cpu / time.Duration(max(b.calls, 1)) }

// Cost makes calls as fast as its workers can, in alternating blocks: short and
// long answers, directly and through the entry host.
func Cost(ctx context.Context, cfg CostConfig) (CostReport, error) {
	c := &cost{cfg: cfg, direct: NewCaller(cfg.Direct, ""), entry: NewCaller(cfg.Entry, cfg.TeamKey), failures: make(map[string]int)}
	defer c.direct.Close()
	defer c.entry.Close()
	var sums [2][2]block // by answer length, then by route: direct, through the entry host
	for i := range cfg.Blocks + 1 {
		for length, output := range []int{cfg.Short, cfg.Long} {
			for route, caller := range []*Caller{c.direct, c.entry} {
				b, err := c.runBlock(ctx, caller, output, cfg.Seed+uint64(4*i+2*length+route))
				if err != nil {
					return CostReport{}, err
				}
				if i > 0 { // the first round warms up
					sums[length][route].add(b)
				}
			}
		}
	}
	return c.report(sums[0], sums[1]), ctx.Err()
}

type cost struct {
	cfg    CostConfig
	direct *Caller
	entry  *Caller

	mu       sync.Mutex
	failures map[string]int // guarded by mu
}

// fail counts a failed call by its reason.
func (c *cost) fail(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures[cmp.Or(r.Code, fmt.Sprint(r.Err))]++
}

// report compares the blocks of short and long answers, each indexed by route.
func (c *cost) report(short, long [2]block) CostReport {
	added := func(b [2]block) time.Duration {
		if c.cfg.EntryPID != 0 {
			return b[1].perCall()
		}
		return b[1].perCall() - b[0].perCall()
	}
	r := CostReport{
		Calls:      short[1].calls + long[1].calls,
		Failed:     short[0].failed + short[1].failed + long[0].failed + long[1].failed,
		PerRequest: added(short),
		CallRate:   float64(short[1].calls) / short[1].elapsed.Seconds(),
		TokenRate:  float64(long[1].tokens) / long[1].elapsed.Seconds(),
		Failures:   c.failures,
	}
	r.PerToken = (added(long) - added(short)) / time.Duration(max(c.cfg.Long-c.cfg.Short, 1))
	return r
}

func (c *cost) cpu() (time.Duration, error) {
	if c.cfg.EntryPID != 0 {
		return ProcessCPU(c.cfg.EntryPID)
	}
	return OwnCPU()
}

// runBlock makes the calls of one block and measures their processor time.
func (c *cost) runBlock(ctx context.Context, caller *Caller, output int, seed uint64) (block, error) {
	chats := c.chats(caller == c.entry, output, seed)
	before, err := c.cpu()
	if err != nil {
		return block{}, err
	}
	start := time.Now()
	b := block{calls: len(chats)}
	b.failed, b.tokens = c.runCalls(ctx, caller, chats)
	b.elapsed = time.Since(start)
	after, err := c.cpu()
	b.cpu = after - before
	return b, err
}

func (c *cost) chats(throughEntry bool, output int, seed uint64) []Chat {
	prompts := NewPrompts(seed)
	chats := make([]Chat, c.cfg.Calls)
	for i := range chats {
		chats[i] = Chat{
			Model:     c.cfg.Model,
			Engine:    c.cfg.Model,
			Prompt:    prompts.Prompt(seed, c.cfg.Prompt, output),
			MaxTokens: output,
			Stream:    true,
			Deadline:  ampleDeadline,
		}
		if throughEntry {
			chats[i].Model = cmp.Or(c.cfg.Endpoint, c.cfg.Model)
		}
	}
	return chats
}

// runCalls makes the calls with all workers and counts failures and tokens.
func (c *cost) runCalls(ctx context.Context, caller *Caller, chats []Chat) (failed, tokens int) {
	var next, failures, received atomic.Int64
	var wg sync.WaitGroup
	for range c.cfg.Workers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(chats)) && ctx.Err() == nil; i = next.Add(1) - 1 {
				limited, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
				r := caller.Chat(limited, chats[i])
				cancel()
				received.Add(int64(r.Tokens))
				if r.Outcome != Whole {
					failures.Add(1)
					c.fail(r)
				}
			}
		})
	}
	wg.Wait()
	return int(failures.Load()), int(received.Load())
}
