package controlapi

import (
	"filberthook/internal/engines/placement"
)

// Bounds of the values of a report. Sums of those of many hosts stay finite.
const (
	// MaxTokens bounds the prompt tokens that await prefill at one instance.
	MaxTokens = 1 << 40
	// MaxRate bounds rates per second, and prefill rates per millisecond.
	MaxRate = 1e9
)

// Bound limits the values of a report to those that can be summed and placed by, in place. One
// report that is out of bounds, as by a caller's prompt of any length, leaves those of the others.
func (r *LoadReport) Bound() {
	for id, tokens := range r.Tokens {
		tokens = tokens[:min(len(tokens), len(placement.Backlog{}))]
		for i, v := range tokens {
			tokens[i] = min(max(v, 0), MaxTokens)
		}
		r.Tokens[id] = tokens
	}
	for endpoint, v := range r.Requests {
		r.Requests[endpoint] = boundRate(v)
	}
	for endpoint, d := range r.Demand {
		r.Demand[endpoint] = Demand{
			PromptTokens: boundRate(d.PromptTokens), OutputTokens: boundRate(d.OutputTokens),
			DecodeSlots: boundRate(d.DecodeSlots), PrefillEngines: boundRate(d.PrefillEngines),
		}
	}
	for i := range r.Updates {
		if rate := r.Updates[i].PrefillRate; boundRate(rate) != rate {
			r.Updates[i].PrefillRate = 0
		}
	}
}

// boundRate returns the nearest rate, 0 for what is no number.
func boundRate(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, MaxRate)
}
