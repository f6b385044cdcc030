package placement

const (
	// estimateWeight is the weight of one prompt in the means: a host places about ten
	// prompts a second, and the load changes within seconds.
	estimateWeight = 0.06
	// minBias and maxBias bound the correction factor.
	minBias = 0.8
	maxBias = 4.0
	// minEstimateTokens is the shortest prefill that is used to judge estimates.
	minEstimateTokens = 200
)

// latencyEstimates compares expected with actual prefill latencies. Estimates are too low
// under load: blocks assumed to be cached have been evicted, and other hosts have placed
// prompts that they have not reported yet.
type latencyEstimates struct {
	expected, actual float64 // means, ms
}

func (e *latencyEstimates) add(r *InFlight, actual float64) {
	if r.tokens < minEstimateTokens || r.expectedMs <= 0 {
		return
	}
	if e.expected == 0 {
		e.expected, e.actual = r.expectedMs, r.expectedMs
	}
	e.expected += estimateWeight * (r.expectedMs - e.expected)
	e.actual += estimateWeight * (actual - e.actual)
}

// bias returns the factor that corrects an estimate.
func (e *latencyEstimates) bias() float64 {
	if e.expected == 0 {
		return 1
	}
	return min(max(e.actual/e.expected, minBias), maxBias)
}
