package placement

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand average. It is longer than a shift of
// the request mix, so that engine stages follow the mean demand.
const demandWindow = 6 * time.Second

// minCovered is the shortest period that a rate is computed over: the first requests
// would otherwise give too high a rate.
const minCovered = time.Second

// Demand is the work that callers send to an endpoint's engines through this host.
type Demand struct {
	PromptTokens float64 // prompt tokens per second, without shared prefixes (assumed cached)
	OutputTokens float64 // expected output tokens per second
	DecodeSlots  float64 // mean number of this host's requests that run on decode engines
}

// demandMeter sums the demand on an endpoint, with exponential decay.
type demandMeter struct {
	since          time.Time
	prompt, output decaying
	decoding       timeAverage
}

// timeAverage is the average of a count over time, with exponential decay.
type timeAverage struct {
	count   int
	average float64 // over demandWindow until at; 0 before the first change
	at      time.Time
}

// change adds to the count.
func (a *timeAverage) change(by int, now time.Time) {
	a.average = a.value(now)
	a.at = now
	a.count += by
}

func (a *timeAverage) value(now time.Time) float64 {
	if a.at.IsZero() {
		return 0
	}
	weight := math.Exp(-float64(max(0, now.Sub(a.at))) / float64(demandWindow))
	return float64(a.count) + weight*(a.average-float64(a.count))
}

// rate converts a decaying sum to a rate per second.
func (m *demandMeter) rate(d *decaying, now time.Time) float64 {
	return d.value(now) / m.covered(now)
}

// covered returns the seconds of demandWindow that the meter has measured.
func (m *demandMeter) covered(now time.Time) float64 {
	covered := demandWindow.Seconds() * (1 - math.Exp(-float64(now.Sub(m.since))/float64(demandWindow)))
	return max(covered, minCovered.Seconds())
}

// decaying is a sum that decays exponentially.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(v float64, now time.Time) {
	d.sum = d.value(now) + v
	d.at = now
}

func (d *decaying) value(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(demandWindow))
}

// countDemand adds a prompt to the demand on its endpoint, also one that is refused
// afterwards. The caller holds f.mu.
func (f *Fleet) countDemand(p *Prompt, now time.Time) {
	m := f.meter(p.Endpoint, now)
	m.prompt.add(float64(p.uniqueTokens()), now)
	m.output.add(float64(p.OutputTokens), now)
}

// meter returns the meter of an endpoint. The caller holds f.mu.
func (f *Fleet) meter(endpoint string, now time.Time) *demandMeter {
	m := f.meters[endpoint]
	if m == nil {
		m = &demandMeter{since: now}
		f.meters[endpoint] = m
	}
	return m
}

// Demand returns the demand rates by endpoint.
func (f *Fleet) Demand(now time.Time) map[string]Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Demand, len(f.meters))
	for endpoint, m := range f.meters {
		out[endpoint] = Demand{
			PromptTokens: m.rate(&m.prompt, now),
			OutputTokens: m.rate(&m.output, now),
			DecodeSlots:  m.decoding.value(now) * demandWindow.Seconds() / m.covered(now),
		}
	}
	return out
}
