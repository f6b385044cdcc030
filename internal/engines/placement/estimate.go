package placement

const (
	// estimateWeight is the weight of one prompt in the mean of estimates: a host reads
	// some ten a second, and the load turns within seconds.
	estimateWeight = 0.06
	// minBias and maxBias bound the correction.
	minBias = 0.8
	maxBias = 4.0
	// minEstimateTokens is how long a prompt must be to tell how good estimates are.
	minEstimateTokens = 200
)

// latencyEstimates compares the times that prompts were expected to take with those that they
// took. Estimates are short under load: parts that were counted on are gone, and other
// hosts place prompts that are not told yet.
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

// bias returns by what an estimate is to be multiplied.
func (e *latencyEstimates) bias() float64 {
	if e.expected == 0 {
		return 1
	}
	return min(max(e.actual/e.expected, minBias), maxBias)
}
