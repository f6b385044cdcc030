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

// Class is a kind of call in a load.
type Class string

// Classes of calls.
const (
	ClassSummary Class = "summary" // long prompt, long answer
	ClassCheck   Class = "check"   // short prompt, short answer
	ClassLookup  Class = "lookup"  // medium prompt, latency-tolerant
	ClassBooking Class = "booking" // plain service call that runs at most once
	ClassStatus  Class = "status"  // plain service read
)

// Classes returns all classes in the order in which reports list them.
func Classes() []Class {
	return []Class{ClassSummary, ClassCheck, ClassLookup, ClassBooking, ClassStatus}
}

// shape is the range of prompt and output tokens of a model class.
type shape struct {
	promptLow, promptHigh int
	outputLow, outputHigh int
}

// shapeOf returns the shape of a class; model is false for service classes.
func shapeOf(c Class) (s shape, model bool) {
	switch c {
	case ClassSummary:
		return shape{3000, 9000, 150, 300}, true
	case ClassCheck:
		return shape{40, 200, 8, 30}, true
	case ClassLookup:
		return shape{400, 1500, 60, 150}, true
	}
	return shape{}, false
}

// Mix is the relative weight of each class in a load.
type Mix struct {
	Summary, Check, Lookup, Booking, Status float64
}

func (m Mix) share(c Class) float64 {
	switch c {
	case ClassSummary:
		return m.Summary
	case ClassCheck:
		return m.Check
	case ClassLookup:
		return m.Lookup
	case ClassBooking:
		return m.Booking
	default:
		return m.Status
	}
}

// pick returns the class that a point in [0, 1) selects by weight.
func (m Mix) pick(point float64) Class {
	sum := m.Summary + m.Check + m.Lookup + m.Booking + m.Status
	point *= sum
	for _, c := range Classes() {
		if point < m.share(c) {
			return c
		}
		point -= m.share(c)
	}
	return ClassCheck
}

// RunConfig configures a load with a fixed number of calls.
type RunConfig struct {
	Entries        []string // IP:port of entry hosts, used round-robin
	TeamKey        string
	Endpoint       string // endpoint of the model
	Model          string // model that answers
	Service        string // path prefix of the plain service, such as /services/bookings
	Mix            Mix
	Rate           float64 // calls per second
	Calls          int
	SharedPrefixes int // number of prefixes that prompts share
	Timeout        time.Duration
	Seed           uint64
}

// ClassReport holds the outcomes and latencies of the calls of one class.
type ClassReport struct {
	Class      Class           `json:"class"`
	Outcomes   map[Outcome]int `json:"outcomes"`
	Codes      map[string]int  `json:"codes,omitempty"` // number of refusals by code
	FirstToken Quantiles       `json:"first_token"`
	Total      Quantiles       `json:"total"`
}

// RunReport is the result of a load.
type RunReport struct {
	Classes  []ClassReport `json:"classes"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	Tokens   int           `json:"tokens"`
	Examples []string      `json:"examples,omitempty"` // the first few failures
}

// maxExamples limits the failures that a report quotes.
const maxExamples = 5

// Count returns the number of calls with an outcome.
func (r RunReport) Count(o Outcome) int {
	n := 0
	for _, c := range r.Classes {
		n += c.Outcomes[o]
	}
	return n
}

// Print writes the report as text.
func (r RunReport) Print(w io.Writer) {
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-8s", c.Class)
		for _, o := range Outcomes() {
			fmt.Fprintf(w, " %s %d", o, c.Outcomes[o])
		}
		fmt.Fprintf(w, "\n         first token %s\n         whole       %s\n", c.FirstToken, c.Total)
		for code, n := range c.Codes {
			fmt.Fprintf(w, "         refused %s: %d\n", code, n)
		}
	}
	fmt.Fprintf(w, "%d tokens in %.1f s, %.0f tokens/s\n", r.Tokens, r.Elapsed.Seconds(), float64(r.Tokens)/r.Elapsed.Seconds())
	for _, e := range r.Examples {
		fmt.Fprintln(w, "example:", e)
	}
}

// Run sends a load at a fixed rate and verifies each answer.
func Run(ctx context.Context, cfg RunConfig) RunReport {
	l := newLoad(cfg)
	defer l.close()
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	prompts := NewPrompts(cfg.Seed)
	pacer := newPacer(cfg.Rate)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range cfg.Calls {
		call := l.newCall(i, cfg.Mix.pick(rng.Float64()), prompts)
		if !pacer.wait(ctx) {
			break
		}
		wg.Go(func() { l.send(ctx, call) })
	}
	wg.Wait()
	return l.report(time.Since(start))
}

// call is one randomly chosen call of a load.
type call struct {
	class  Class
	caller *Caller
	chat   Chat
	key    string
}

// load is a running load.
type load struct {
	cfg     RunConfig
	callers []*Caller

	mu       sync.Mutex // guards all fields below
	classes  map[Class]*classStats
	tokens   int
	examples []string
}

type classStats struct {
	outcomes   map[Outcome]int
	codes      map[string]int
	firstToken *Latencies
	total      *Latencies
}

func newLoad(cfg RunConfig) *load {
	l := &load{cfg: cfg, classes: make(map[Class]*classStats)}
	for _, e := range cfg.Entries {
		l.callers = append(l.callers, NewCaller(e, cfg.TeamKey))
	}
	for _, c := range Classes() {
		l.classes[c] = &classStats{outcomes: make(map[Outcome]int), codes: make(map[string]int), firstToken: NewLatencies(), total: NewLatencies()}
	}
	return l
}

func (l *load) close() {
	for _, c := range l.callers {
		c.Close()
	}
}

func (l *load) newCall(i int, class Class, prompts *Prompts) call {
	c := call{class: class, caller: l.callers[i%len(l.callers)], key: fmt.Sprintf("load-%d-%d", l.cfg.Seed, i)}
	s, model := shapeOf(class)
	if !model {
		return c
	}
	prompt, output := prompts.Between(s.promptLow, s.promptHigh), prompts.Between(s.outputLow, s.outputHigh)
	prefix := uint64(prompts.Between(1, max(l.cfg.SharedPrefixes, 1)))
	c.chat = Chat{Model: cmp.Or(l.cfg.Endpoint, l.cfg.Model), Engine: l.cfg.Model, Prompt: prompts.Prompt(prefix, prompt, output), Stream: i%4 != 0, Class: string(class), Deadline: l.cfg.Timeout}
	return c
}

func (l *load) send(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	switch c.class {
	case ClassBooking:
		l.record(c.class, c.caller.CallThrough(ctx, l.cfg.Service, "/bookings", c.key, []byte(`{"passenger":"`+c.key+`"}`)))
	case ClassStatus:
		l.record(c.class, c.caller.Status(ctx, l.cfg.Service, "/cases/"+c.key))
	default:
		l.record(c.class, c.caller.Chat(ctx, c.chat))
	}
}

func (l *load) record(class Class, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.classes[class]
	c.outcomes[r.Outcome]++
	l.tokens += r.Tokens
	if r.Code != "" {
		c.codes[r.Code]++
	}
	if r.Outcome == Whole {
		c.firstToken.Add(r.FirstToken)
		c.total.Add(r.Total)
		return
	}
	if len(l.examples) < maxExamples {
		l.examples = append(l.examples, fmt.Sprintf("%s: %v", class, r.Err))
	}
}

func (l *load) report(elapsed time.Duration) RunReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := RunReport{Elapsed: elapsed, Tokens: l.tokens, Examples: l.examples}
	for _, class := range Classes() {
		c := l.classes[class]
		if len(c.outcomes) == 0 {
			continue
		}
		report.Classes = append(report.Classes, ClassReport{
			Class: class, Outcomes: c.outcomes, Codes: c.codes,
			FirstToken: c.firstToken.Quantiles(), Total: c.total.Quantiles(),
		})
	}
	return report
}
