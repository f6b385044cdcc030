package placement

import (
	"filberthook/internal/engines/instances"
)

const (
	// rateSamples is how many observations tell an engine's rate. Most of them contain
	// time in which other prompts were read, so the highest counts.
	rateSamples = 8
	// minRateTokens is how long a prompt must be to tell a rate.
	minRateTokens = 2500
	// maxRateFactor bounds an observation against the assumed rate: a prompt whose
	// parts were held unexpectedly seems to be read faster than any engine does.
	maxRateFactor = 1.3
	// minRateFactor bounds the rate of an engine that is slow for other reasons.
	minRateFactor = 0.3
)

// rateHistory are the last observations of the rate at which an engine reads, in tokens in a
// millisecond.
type rateHistory struct {
	samples [rateSamples]float64
	count   int
}

func (r *rateHistory) add(v float64) {
	r.samples[r.count%rateSamples] = v
	r.count++
}

// highest returns the highest of the last observations, and whether there are enough.
func (r *rateHistory) highest() (float64, bool) {
	best := 0.0
	for _, v := range r.samples {
		best = max(best, v)
	}
	return best, r.count >= rateSamples
}

// prefillRate returns the prompt tokens that an engine reads in a millisecond.
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

// recordPrefillRate takes the time in which an engine read a prompt. The caller holds f.mu.
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
