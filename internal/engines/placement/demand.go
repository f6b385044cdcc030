package placement

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand average. It is longer than a shift of
// the request mix, so that engine stages follow the mean demand.
const demandWindow = 6 * time.Second

// minEndedTokens is the number of output tokens from which the pace of decode engines is
// known: those of a few answers.
const minEndedTokens = 500

// minCovered is the shortest period that a rate is computed over: the first requests
// would otherwise give too high a rate.
const minCovered = time.Second

// Demand is the work that callers send to an endpoint's engines through this host.
type Demand struct {
	PromptTokens float64 // prompt tokens per second, without shared prefixes (assumed cached)
	OutputTokens float64 // expected output tokens per second
	DecodeSlots  float64 // decode slots that OutputTokens take at the observed pace; 0 if unknown
	// PrefillEngines is how many engines PromptTokens keep busy at the observed rate.
	PrefillEngines float64
}

// demandMeter sums the demand on an endpoint, with exponential decay.
type demandMeter struct {
	since          time.Time
	prompt, output decaying
	// Requests that have ended on decode engines: their seconds there, and their expected
	// output tokens.
	endedSeconds, endedTokens decaying
}

// slots returns how many decode slots a rate of output tokens takes at the pace of recent
// requests; 0 if there were none.
func (m *demandMeter) slots(outputTokens float64, now time.Time) float64 {
	tokens := m.endedTokens.value(now)
	if tokens < minEndedTokens {
		return 0
	}
	return outputTokens * m.endedSeconds.value(now) / tokens
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
	f.countRequest(p.Endpoint, now)
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
		prompt, output := m.rate(&m.prompt, now), m.rate(&m.output, now)
		out[endpoint] = Demand{
			PromptTokens: prompt, OutputTokens: output, DecodeSlots: m.slots(output, now),
			PrefillEngines: prompt / 1000 / f.typicalRate(endpoint),
		}
	}
	return out
}
