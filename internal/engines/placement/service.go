package placement

import (
	"math"
	"time"
)

const (
	// crossZonePenalty keeps requests in their zone while it is about as fast.
	crossZonePenalty = 1.15
	// initialLatency is assumed for instances without an answer yet, in ms.
	initialLatency = 20.0
	// failureExponent sets how strongly failures count against an instance.
	failureExponent = 3
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
	best, bestScore := candidates[0], math.Inf(1)
	for _, in := range candidates {
		// Random jitter spreads requests over equally good instances.
		score := in.serviceScore(zone, now) * (1 + 0.05*f.random())
		if score < bestScore {
			best, bestScore = in, score
		}
	}
	best.notices.Send()
	return best.target(), nil
}

// serviceScore returns the expected latency in ms, weighted by the failure rate.
func (in *instance) serviceScore(zone string, now time.Time) float64 {
	latency := initialLatency
	if !in.latency.at.IsZero() {
		latency = max(1, in.latency.value)
	}
	utilization := float64(in.outstanding) / float64(max(1, in.Slots))
	successRate := 1 - min(0.95, in.failureRate.decayed(now, failureHalfLife))
	score := latency * (1 + 4*utilization) / math.Pow(successRate, failureExponent)
	if in.Zone != zone {
		score *= crossZonePenalty
	}
	return score
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
		in.latency.add(float64(elapsed)/float64(time.Millisecond), now)
	}
	in.recordOutcome(o, now)
	f.recordZoneOutcome(in.Zone, o, now)
}
