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

// rates are the last observations of the rate at which an engine reads, in tokens in a
// millisecond.
type rates struct {
	samples [rateSamples]float64
	count   int
}

func (r *rates) add(v float64) {
	r.samples[r.count%rateSamples] = v
	r.count++
}

// highest returns the highest of the last observations, and whether there are enough.
func (r *rates) highest() (float64, bool) {
	best := 0.0
	for _, v := range r.samples {
		best = max(best, v)
	}
	return best, r.count >= rateSamples
}

// rate returns the prompt tokens that an engine reads in a millisecond.
func (f *Fleet) rate(in *instance) float64 {
	assumed := f.assumedRate(in)
	seen, enough := in.rates.highest()
	if !enough {
		return assumed
	}
	return max(seen, minRateFactor*assumed)
}

func (f *Fleet) assumedRate(in *instance) float64 {
	if in.Stage == instances.Prefill {
		return f.settings.PrefillRate
	}
	return f.settings.PrefillRate * f.settings.DecodeShare
}

// observe takes the time in which an engine read a prompt. The caller holds f.mu.
func (f *Fleet) observe(in *instance, tokens, ms float64) {
	if in.Stage != instances.Prefill || tokens < minRateTokens || ms <= 0 {
		return
	}
	rate := tokens / ms
	if rate > maxRateFactor*f.assumedRate(in) {
		return
	}
	in.rates.add(rate)
	h := f.newsOf(in.ID)
	h.PrefillRate = max(h.PrefillRate, rate)
}
