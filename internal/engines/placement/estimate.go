package placement

const (
	// estimateWeight is the weight of one prompt in the mean of estimates: a host reads
	// some ten a second, and the load turns within seconds.
	estimateWeight = 0.06
	// minBias and maxBias bound the correction.
	minBias = 0.8
	maxBias = 4.0
	// estimateTokens is how long a prompt must be to tell how good estimates are.
	estimateTokens = 200
)

// estimates compares the times that prompts were expected to take with those that they
// took. Estimates are short under load: parts that were counted on are gone, and other
// hosts place prompts that are not told yet.
type estimates struct {
	expected, took float64 // means, ms
}

func (e *estimates) add(r *InFlight, took float64) {
	if r.tokens < estimateTokens || r.expected <= 0 {
		return
	}
	if e.expected == 0 {
		e.expected, e.took = r.expected, r.expected
	}
	e.expected += estimateWeight * (r.expected - e.expected)
	e.took += estimateWeight * (took - e.took)
}

// bias returns by what an estimate is to be multiplied.
func (e *estimates) bias() float64 {
	if e.expected == 0 {
		return 1
	}
	return min(max(e.took/e.expected, minBias), maxBias)
}
