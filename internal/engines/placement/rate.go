package placement

import (
	"filberthook/internal/engines/instances"
)

const (
	// rateSamples is the number of recent observations that determine an engine's rate.
	// Most include the prefill of other prompts, so the highest one is used.
	rateSamples = 8
	// minRateTokens is the shortest prefill that is used as an observation.
	minRateTokens = 2500
	// maxRateFactor bounds an observation relative to the default rate: a prompt with
	// unexpectedly cached blocks seems faster than any engine can be.
	maxRateFactor = 1.3
	// minRateFactor is the lower bound relative to the default rate, for engines that are
	// slow for other reasons.
	minRateFactor = 0.3
)

// rateHistory holds the last observed prefill rates of an engine, in tokens per millisecond.
type rateHistory struct {
	samples [rateSamples]float64
	count   int
}

func (r *rateHistory) add(v float64) {
	r.samples[r.count%rateSamples] = v
	r.count++
}

// highest returns the highest recent observation, and whether there are enough of them.
func (r *rateHistory) highest() (float64, bool) {
	best := 0.0
	for _, v := range r.samples {
		best = max(best, v)
	}
	return best, r.count >= rateSamples
}

// prefillRate returns an engine's prefill rate in tokens per millisecond.
func (f *Fleet) prefillRate(in *instance) float64 {
	assumed := f.defaultPrefillRate(in)
	observed, enough := in.prefillRates.highest()
	if !enough {
		return assumed
	}
	return max(observed, minRateFactor*assumed)
}

func (f *Fleet) defaultPrefillRate(in *instance) float64 {
	if in.Stage == instances.Prefill {
		return f.settings.PrefillRate
	}
	return f.settings.PrefillRate * f.settings.DecodeShare
}

// recordPrefillRate records how long an engine took for a prefill. The caller holds f.mu.
func (f *Fleet) recordPrefillRate(in *instance, tokens, ms float64) {
	if in.Stage != instances.Prefill || tokens < minRateTokens || ms <= 0 {
		return
	}
	rate := tokens / ms
	if rate > maxRateFactor*f.defaultPrefillRate(in) {
		return
	}
	in.prefillRates.add(rate)
	u := f.updateFor(in.ID)
	u.PrefillRate = max(u.PrefillRate, rate)
}
