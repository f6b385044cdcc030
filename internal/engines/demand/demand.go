// Package demand measures the work that callers send to an entry host and keeps
// the reports of the other hosts of its availability zone, so that the zone's
// planner sees the demand of the whole zone. It has no clock and sends nothing.
package demand

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxAge is how long a host's report is used.
const MaxAge = 15 * time.Second

// The time between two reports of a host grows with the number of hosts in its
// zone, so that the traffic per host stays constant.
const (
	minInterval     = time.Second
	intervalPerHost = 50 * time.Millisecond
)

// Interval returns the time between two reports of a host.
func Interval(hostsInZone int) time.Duration {
	return max(minInterval, time.Duration(hostsInZone)*intervalPerHost)
}

// maxHosts bounds the reports that are kept.
const maxHosts = 1024

// Rates are amounts of work per second.
type Rates struct {
	Requests      float64
	PromptTokens  float64 // to be computed, without prefixes expected in caches
	OutputTokens  float64 // expected
	ContextTokens float64 // prompt and expected output
}

func (r Rates) plus(o Rates) Rates {
	return Rates{
		Requests:      r.Requests + o.Requests,
		PromptTokens:  r.PromptTokens + o.PromptTokens,
		OutputTokens:  r.OutputTokens + o.OutputTokens,
		ContextTokens: r.ContextTokens + o.ContextTokens,
	}
}

// maxRate bounds each rate of a host, so that sums stay numbers.
const maxRate = 1e12

// bounded returns the nearest rates that can be summed; 0 for what is no number.
func (r Rates) bounded() Rates {
	for _, rate := range []*float64{&r.Requests, &r.PromptTokens, &r.OutputTokens, &r.ContextTokens} {
		if !(*rate > 0) {
			*rate = 0
		}
		*rate = min(*rate, maxRate)
	}
	return r
}

// Meter counts the work that this host has accepted. Its methods may be called
// by many goroutines at once.
type Meter struct {
	requests atomic.Int64
	prompt   atomic.Int64
	output   atomic.Int64
	context  atomic.Int64

	lastTake time.Duration // time of the last TakeRates, which alone uses it
}

// Add counts one request; the arguments are in tokens.
func (m *Meter) Add(prompt, cached, output int) {
	m.requests.Add(1)
	m.prompt.Add(int64(max(0, prompt-cached)))
	m.output.Add(int64(output))
	m.context.Add(int64(prompt + output))
}

// TakeRates returns the rates since the last call. It must be called by one
// goroutine only.
func (m *Meter) TakeRates(now time.Duration) Rates {
	seconds := (now - m.lastTake).Seconds()
	m.lastTake = now
	if seconds <= 0 {
		return Rates{}
	}
	return Rates{
		Requests:      float64(m.requests.Swap(0)) / seconds,
		PromptTokens:  float64(m.prompt.Swap(0)) / seconds,
		OutputTokens:  float64(m.output.Swap(0)) / seconds,
		ContextTokens: float64(m.context.Swap(0)) / seconds,
	}
}

// Report is the demand on one host.
type Report struct {
	Host        string
	Incarnation uint64 // of the host
	Sequence    uint64 // grows with every report of an incarnation
	Rates       Rates
	MadeAt      time.Duration // on the local clock
}

func (r *Report) newer(o *Report) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// Aggregator keeps the newest report of each host. Its methods may be called by many
// goroutines at once.
type Aggregator struct {
	mu      sync.Mutex // guards reports
	reports map[string]Report
}

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator { return &Aggregator{reports: make(map[string]Report)} }

// Put stores a report and reports whether it was newer than the stored one.
func (a *Aggregator) Put(now time.Duration, r Report) (accepted bool) {
	if now-r.MadeAt > MaxAge {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old, ok := a.reports[r.Host]
	if ok && !r.newer(&old) || !ok && len(a.reports) >= maxHosts {
		return false
	}
	r.Rates = r.Rates.bounded()
	a.reports[r.Host] = r
	return true
}

// Get returns the newest report of a host.
func (a *Aggregator) Get(host string) (Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.reports[host]
	return r, ok
}

// Total returns the sum of the rates of all hosts with current reports, and
// their number. It deletes expired reports.
func (a *Aggregator) Total(now time.Duration) (Rates, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum Rates
	for host, r := range a.reports {
		if now-r.MadeAt > MaxAge {
			delete(a.reports, host)
			continue
		}
		sum = sum.plus(r.Rates)
	}
	return sum, len(a.reports)
}
