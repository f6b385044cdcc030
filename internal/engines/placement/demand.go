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
}

// demandMeter sums the demand on an endpoint, with exponential decay.
type demandMeter struct {
	since          time.Time
	prompt, output decaying
}

// rate converts a decaying sum to a rate per second. A meter younger than the window
// covers less time.
func (m *demandMeter) rate(d *decaying, now time.Time) float64 {
	covered := demandWindow.Seconds() * (1 - math.Exp(-float64(now.Sub(m.since))/float64(demandWindow)))
	return d.value(now) / max(covered, minCovered.Seconds())
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
	m := f.meters[p.Endpoint]
	if m == nil {
		m = &demandMeter{since: now}
		f.meters[p.Endpoint] = m
	}
	m.prompt.add(float64(p.uniqueTokens()), now)
	m.output.add(float64(p.OutputTokens), now)
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
		}
	}
	return out
}
