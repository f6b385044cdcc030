package placement

import (
	"math"
	"time"
)

// demandWindow is over how long callers' demand is averaged: longer than a turn of
// the mix, so that stages follow its mean.
const demandWindow = 6 * time.Second

// minCovered keeps the first requests of a meter from standing for a high rate.
const minCovered = time.Second

// Demand is what callers ask of an endpoint's engines through this host.
type Demand struct {
	PromptTokens float64 // to be read in a second, what engines hold left out
	OutputTokens float64 // to be generated in a second
}

// demandMeter sums demand, and forgets it with time.
type demandMeter struct {
	since          time.Time
	prompt, output decaying
}

// rate returns a sum as a rate. A meter that has just begun covers less than a window.
func (m *demandMeter) rate(d *decaying, now time.Time) float64 {
	covered := demandWindow.Seconds() * (1 - math.Exp(-float64(now.Sub(m.since))/float64(demandWindow)))
	return d.value(now) / max(covered, minCovered.Seconds())
}

// decaying is a sum whose parts lose weight with time.
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

// countDemand counts a prompt that was placed. The caller holds f.mu.
func (f *Fleet) countDemand(p *Prompt, now time.Time) {
	m := f.meters[p.Endpoint]
	if m == nil {
		m = &demandMeter{since: now}
		f.meters[p.Endpoint] = m
	}
	m.prompt.add(float64(p.uniqueTokens()), now)
	m.output.add(float64(p.OutputTokens), now)
}

// Demand returns the rates of callers' demand, by endpoint.
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
