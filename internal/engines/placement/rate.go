package placement

import (
	"slices"
	"time"

	"filberthook/internal/engines/instances"
)

const (
	// rateSamples is the number of recent observations that determine an engine's rate, and
	// typicalSamples those that determine the typical rate of an endpoint's engines.
	rateSamples    = 8
	typicalSamples = 32
	// minRateTokens is the shortest prefill that is used as an observation.
	minRateTokens = 2500
	// maxRateFactor and minRateFactor bound rates relative to the initial estimate: higher
	// observations are of prompts that were cached in part, lower ones of prompts that waited.
	maxRateFactor = 1.3
	minRateFactor = 0.3
	// unconfirmedRates is how long prompts are refused for their length by observed rates while
	// there is no new observation: only a prompt that is sent can make one.
	unconfirmedRates = 2 * time.Second
)

// rateHistory holds the last observed prefill rates, in tokens per millisecond. Most
// observations include the prefill of other prompts, so that high ones are closest to the
// truth; the highest may be of a prompt that the engine had partly cached.
type rateHistory struct {
	samples []float64
	next    int // index of the oldest sample once there are enough
	// refusedAt is when the first prompt was refused for its length since the last sample.
	refusedAt time.Time
}

// add records an observation among the last n.
func (r *rateHistory) add(v float64, n int) {
	r.refusedAt = time.Time{}
	if len(r.samples) < n {
		r.samples = append(r.samples, v)
		return
	}
	r.samples[r.next] = v
	r.next = (r.next + 1) % n
}

// high returns the observation that an eighth of the recent ones reach or exceed, and
// whether there are n of them.
func (r *rateHistory) high(n int) (float64, bool) {
	if len(r.samples) < n {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.samples))
	return sorted[len(sorted)-1-len(sorted)/8], true
}

// prefillRate returns an engine's prefill rate in tokens per millisecond.
func (f *Fleet) prefillRate(in *instance) float64 {
	typical := f.typicalRate(in.Endpoint)
	if in.Stage != instances.Prefill {
		return typical * f.settings.DecodeShare
	}
	observed, enough := in.prefillRates.high(rateSamples)
	if !enough {
		return typical
	}
	return max(observed, minRateFactor*f.settings.PrefillRate)
}

// typicalRate returns the prefill rate of an endpoint's prefill engines: the initial
// estimate until enough prefills were observed. The caller holds f.mu.
func (f *Fleet) typicalRate(endpoint string) float64 {
	if r := f.typicalRates[endpoint]; r != nil {
		if rate, enough := r.high(typicalSamples / 2); enough {
			return max(rate, minRateFactor*f.settings.PrefillRate)
		}
	}
	return f.settings.PrefillRate
}

// recordPrefillRate records how long an engine took for a prefill of tokens that no engine
// had cached. The caller holds f.mu.
func (f *Fleet) recordPrefillRate(in *instance, tokens, ms float64) {
	if in.Stage != instances.Prefill || tokens < minRateTokens || ms <= 0 || tokens/ms > maxRateFactor*f.settings.PrefillRate {
		return
	}
	rate := tokens / ms
	f.addRate(in, rate)
	u := f.updateFor(in.ID)
	u.PrefillRate = max(u.PrefillRate, rate)
}

// addRate adds an observed prefill rate of this or another host. The caller holds f.mu.
func (f *Fleet) addRate(in *instance, rate float64) {
	in.prefillRates.add(rate, rateSamples)
	r := f.typicalRates[in.Endpoint]
	if r == nil {
		r = &rateHistory{}
		f.typicalRates[in.Endpoint] = r
	}
	r.add(rate, typicalSamples)
}

// noteRefusedForLength records that a prompt was refused as too long for an endpoint's engines
// at the rates observed. The caller holds f.mu.
func (f *Fleet) noteRefusedForLength(endpoint string, now time.Time) {
	if r := f.typicalRates[endpoint]; r != nil && r.refusedAt.IsZero() {
		r.refusedAt = now
	}
}

// forgetUnconfirmedRates returns to the initial estimate if prompts have been refused for
// their length for long and no rate has been observed since. The caller holds f.mu.
func (f *Fleet) forgetUnconfirmedRates(endpoint string, now time.Time) {
	r := f.typicalRates[endpoint]
	if r == nil || r.refusedAt.IsZero() || now.Sub(r.refusedAt) < unconfirmedRates {
		return
	}
	delete(f.typicalRates, endpoint)
	for _, in := range f.byEndpoint[endpoint] {
		in.prefillRates = rateHistory{}
	}
}
