package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// crossZonePenalty keeps requests in their zone while it is about as fast.
	crossZonePenalty = 1.15
	// failureExponent sets how strongly failures count against an instance.
	failureExponent = 3
	// limitedPreference has an instance with a limit take what it may take now, of equally good
	// ones: permits expire.
	limitedPreference = 0.9
	// equalCosts is the factor within which two costs count as equal: what chance explains of
	// the estimates of equal instances.
	equalCosts = 1.6
	// renewalExponent sets how rarely an instance beyond that is chosen.
	renewalExponent = 8
	// maxLatencySamples is how many samples an estimate rests on at most; while there are no new
	// ones, the number halves with confidenceHalfLife.
	maxLatencySamples  = 10
	confidenceHalfLife = 10 * time.Second
)

// PlaceService picks the instance of a plain service for a request from a zone. It is made
// for short calls on few slots, where some instances are slower than others, or fail part
// of their calls while they announce themselves as ready.
func (f *Fleet) PlaceService(endpoint, zone string, excluded map[string]bool, now time.Time) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(excluded) == 0 {
		f.countRequest(endpoint, now)
	}
	candidates := f.available(f.byEndpoint[endpoint], excluded, now)
	if len(candidates) == 0 {
		return Target{}, f.noInstance(endpoint, excluded, now)
	}
	best := f.leastBusy(f.aboutAsFast(candidates, now), zone)
	best.notices.Send()
	return best.target(), nil
}

// aboutAsFast returns the candidates whose cost is near the least one. Others are among them
// with a probability that falls with their cost, and with what is known of it.
func (f *Fleet) aboutAsFast(candidates []*instance, now time.Time) []*instance {
	fastest := fastestService(candidates)
	costs := make([]float64, len(candidates))
	for i, in := range candidates {
		costs[i] = in.serviceCost(fastest, now)
	}
	limit := slices.Min(costs) * equalCosts
	var out []*instance
	for i, in := range candidates {
		if costs[i] <= limit || f.random() < math.Pow(limit/costs[i], renewalExponent*in.service.confidence(now)) {
			out = append(out, in)
		}
	}
	return out
}

// leastBusy returns the candidate with the least load, preferring those of the zone and those
// whose limit lets a request through now.
func (f *Fleet) leastBusy(candidates []*instance, zone string) *instance {
	best, bestScore := candidates[0], math.Inf(1)
	for _, in := range candidates {
		score := 1 + 4*float64(in.outstanding)/float64(max(1, in.countedSlots))
		if in.Zone != zone {
			score *= crossZonePenalty
		}
		if in.notices.Limit() > 0 {
			score *= limitedPreference
		}
		score *= 1 + 0.05*f.random() // spreads requests over equally good instances
		if score < bestScore {
			best, bestScore = in, score
		}
	}
	return best
}

// fastestService returns the least expected latency in ms of instances with an answer, and any
// number if there are none.
func fastestService(candidates []*instance) float64 {
	fastest := math.MaxFloat32
	for _, in := range candidates {
		if in.service.samples > 0 {
			fastest = min(fastest, in.service.expected())
		}
	}
	return fastest
}

// serviceCost returns the expected latency in ms, weighted by the failure rate. An instance
// without an answer yet counts as the fastest one, so that it gets a share.
func (in *instance) serviceCost(fastest float64, now time.Time) float64 {
	latency := fastest
	if in.service.samples > 0 {
		latency = in.service.expected()
	}
	successRate := 1 - min(0.95, in.failureRate.decayed(now, failureHalfLife))
	return latency / math.Pow(successRate, failureExponent)
}

// serviceLatency estimates the latency of a plain service's instance. Latencies vary by factors,
// so their logarithms are averaged: a single long answer says little.
type serviceLatency struct {
	steady, recent movingAverage // of ln(ms)
	samples        float64       // up to maxLatencySamples, halved with confidenceHalfLife since the last
}

// add adds an answer's latency.
func (l *serviceLatency) add(elapsed time.Duration, now time.Time) {
	value := math.Log(max(1, float64(elapsed)/float64(time.Millisecond)))
	l.samples = min(l.samplesAt(now)+1, maxLatencySamples)
	l.steady.addWeighted(value, 1/l.samples, now)
	l.recent.addWeighted(value, max(sampleWeight, 1/l.samples), now)
}

// expected returns the expected latency in ms. An instance that has just become much slower
// is noticed by its recent answers.
func (l *serviceLatency) expected() float64 {
	return math.Exp(max(l.steady.value, l.recent.value-math.Log(equalCosts)))
}

// confidence returns from 0 to 1 how far the estimate is trusted. It falls while no answer
// renews it.
func (l *serviceLatency) confidence(now time.Time) float64 {
	n := l.samplesAt(now)
	return n / (n + 1)
}

func (l *serviceLatency) samplesAt(now time.Time) float64 {
	return l.samples * math.Exp2(-float64(now.Sub(l.steady.at))/float64(confidenceHalfLife))
}

// Begin records that a request is sent to an instance.
func (f *Fleet) Begin(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.byID[id]; in != nil {
		in.outstanding++
	}
}

// End records how a request to a plain service ended, and how long it took.
func (f *Fleet) End(id string, o Outcome, elapsed time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.byID[id]
	if in == nil {
		return
	}
	in.outstanding = max(0, in.outstanding-1)
	if o == Answered || o == Failed {
		in.service.add(elapsed, now)
	}
	in.recordOutcome(o, now)
	f.recordZoneOutcome(in.Zone, o, now)
}
