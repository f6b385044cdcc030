package placement

import (
	"math"
	"time"
)

const (
	// estimateWeight is the weight of one prompt in the means: a host places about ten
	// prompts a second, and the load changes within seconds.
	estimateWeight = 0.06
	// estimateHalfLife bounds how long prompts count at a host that places few: the load of
	// seconds ago says little.
	estimateHalfLife = 5 * time.Second
	// minBias and maxBias bound the correction factor.
	minBias = 0.8
	maxBias = 4.0
	// minEstimateTokens is the shortest prefill that is used to judge estimates.
	minEstimateTokens = 200
)

// latencyEstimates compares expected with actual prefill latencies. Estimates are too low
// under load: blocks assumed to be cached have been evicted, and other hosts have placed
// prompts that they have not reported yet. The expectation is without any correction, so
// that no correction enters the comparison that it is learned from.
type latencyEstimates struct {
	expected, actual float64 // means, ms
	at               time.Time
}

func (e *latencyEstimates) add(r *InFlight, actual float64, now time.Time) {
	if r.tokens < minEstimateTokens || r.expectedMs <= 0 {
		return
	}
	if e.expected == 0 {
		e.expected, e.actual, e.at = r.expectedMs, r.expectedMs, now
	}
	weight := max(estimateWeight, 1-math.Exp2(-float64(now.Sub(e.at))/float64(estimateHalfLife)))
	e.at = now
	e.expected += weight * (r.expectedMs - e.expected)
	e.actual += weight * (actual - e.actual)
	// What the factor can't express is not remembered: it would have to be unlearned.
	e.actual = min(max(e.actual, minBias*e.expected), maxBias*e.expected)
}

// bias returns the factor that corrects an estimate.
func (e *latencyEstimates) bias() float64 {
	if e.expected == 0 {
		return 1
	}
	return e.actual / e.expected
}
