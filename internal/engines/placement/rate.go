package placement

import (
	"slices"
	"time"

	"filberthook/internal/engines/instances"
)

const (
	// rateSamples is the number of observations from which an engine's rate is known, of at most
	// the rateMemory last ones: at a busy engine few prompts do not wait. typicalSamples are those
	// that determine the typical rate of an endpoint's engines until most engines' rates are known.
	rateSamples    = 8
	rateMemory     = 24
	typicalSamples = 32
	// minRateTokens is the shortest prefill that is used as an observation.
	minRateTokens = 2500
	// maxRateFactor and minRateFactor bound rates relative to the initial estimate: higher
	// observations are of prompts that were cached in part, lower ones of prompts that waited.
	// Engines of 1.7 times the rate that the initial estimate is for are within the bounds.
	maxRateFactor = 2.5
	minRateFactor = 0.3
	// maxAheadShare is the work known to be queued before a prompt, as a share of its own, up to
	// which the prompt's time tells the engine's rate: queues made engines that were busy most of
	// the time look like ones of a third of their rate.
	maxAheadShare = 0.25
	// queuedRatesAfter is how long an engine is without such an observation before those of prompts
	// that waited are taken: an engine that has become slower may have no idle moment.
	queuedRatesAfter = 2 * time.Second
	// unconfirmedRates is how long prompts are refused for their length by observed rates while
	// there is no new observation: only a prompt that is sent can make one.
	unconfirmedRates = 2 * time.Second
)

// rateHistory holds the last observed prefill rates, in tokens per millisecond. Most
// observations include the prefill of other prompts, so that high ones are closest to the
// truth; the highest may be of a prompt that the engine had partly cached.
type rateHistory struct {
	samples []float64
	next    int       // index of the oldest sample once there are enough
	top     float64   // that an eighth of the samples reach or exceed
	mean    float64   // rate of the endpoint's engines that are known, in a typical rate; 0 if most are not
	addedAt time.Time // last observation of an engine
	// refusedAt is when the first prompt was refused for its length since the last sample.
	refusedAt time.Time
}

// add records an observation among the last n.
func (r *rateHistory) add(v float64, n int) {
	r.refusedAt = time.Time{}
	if len(r.samples) < n {
		r.samples = append(r.samples, v)
	} else {
		r.samples[r.next] = v
		r.next = (r.next + 1) % n
	}
	sorted := slices.Sorted(slices.Values(r.samples))
	r.top = sorted[len(sorted)-1-len(sorted)/8]
}

// high returns the observation that an eighth of the recent ones reach or exceed, and
// whether there are n of them.
func (r *rateHistory) high(n int) (float64, bool) { return r.top, len(r.samples) >= n }

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
		if r.mean > 0 {
			return max(r.mean, minRateFactor*f.settings.PrefillRate)
		}
		if rate, enough := r.high(typicalSamples / 2); enough {
			return max(rate, minRateFactor*f.settings.PrefillRate)
		}
	}
	return f.settings.PrefillRate
}

// recordPrefillRate records how long an engine took for a prefill of tokens that no engine
// had cached. It returns false for those that say nothing. The caller holds f.mu.
func (f *Fleet) recordPrefillRate(in *instance, tokens, ms float64) bool {
	if in.Stage != instances.Prefill || tokens < minRateTokens || ms <= 0 || tokens/ms > maxRateFactor*f.settings.PrefillRate {
		return false
	}
	rate := tokens / ms
	f.addRate(in, rate)
	u := f.updateFor(in.ID)
	u.PrefillRate = max(u.PrefillRate, rate)
	return true
}

// addRate adds an observed prefill rate of this or another host. The caller holds f.mu.
func (f *Fleet) addRate(in *instance, rate float64) {
	in.prefillRates.add(rate, rateMemory)
	r := f.typicalRates[in.Endpoint]
	if r == nil {
		r = &rateHistory{}
		f.typicalRates[in.Endpoint] = r
	}
	r.add(rate, typicalSamples)
	r.mean = f.meanRate(in.Endpoint)
}

// meanRate returns the mean rate of an endpoint's prefill engines, 0 while that of most is not
// known. The caller holds f.mu.
func (f *Fleet) meanRate(endpoint string) float64 {
	sum, known, all := 0.0, 0, 0
	for _, in := range f.byEndpoint[endpoint] {
		if in.Stage != instances.Prefill {
			continue
		}
		all++
		if rate, enough := in.prefillRates.high(rateSamples); enough {
			sum += rate
			known++
		}
	}
	if known == 0 || 2*known < all {
		return 0
	}
	return sum / float64(known)
}

// tellsRate reports whether the time of a prompt's prefill tells the engine's rate. If shared
// tokens were to be computed, they could be cached after all, and the engine seem too fast.
func (in *instance) tellsRate(r *InFlight, elapsedMs float64, now time.Time) bool {
	return r.uncached && (r.aheadTokens <= maxAheadShare*r.tokens || r.tokens > elapsedMs*in.prefillRates.top ||
		now.Sub(in.prefillRates.addedAt) > queuedRatesAfter)
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
