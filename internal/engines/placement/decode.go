package placement

import (
	"math"
	"time"
)

// PlaceDecode picks the decode engine for a prompt whose prefill ran in a zone. It is
// called when the prefill has finished, as an engine chosen earlier could have become
// busy or left.
func (f *Fleet) PlaceDecode(p *Prompt, zone string, now time.Time) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.byEndpoint[p.Endpoint]
	decoders, _ := splitByStage(f.available(withModel(list, p.Model), p.Excluded, now))
	if len(decoders) == 0 {
		return Target{}, &NoInstanceError{Endpoint: p.Endpoint, Known: len(list), Excluded: len(p.Excluded)}
	}
	return f.bestDecoder(p, decoders, zone, now).target(), nil
}

// bestDecoder returns the engine that is free soonest. It prefers the zone of the prefill
// unless engines elsewhere are much less busy, and engines with an open connection unless
// others are less busy: without the latter preference, most prompts would need a new
// connection in a deployment of 64 hosts and 50 engines.
// Cached prefixes do not count, as the prompt's whole KV cache is transferred.
func (f *Fleet) bestDecoder(p *Prompt, decoders []*instance, zone string, now time.Time) *instance {
	var best *instance
	bestScore := math.Inf(1)
	for _, in := range decoders {
		score := max(f.queueMs(in, lowestPriority, now), in.prefillDelay.decayed(now, transferHalfLife)) + runningRequestCost*float64(in.outstanding) + scoreJitter*f.random()
		if !f.connected(in.Address) {
			score += connectCost
		}
		if in.Zone != zone {
			score += crossZoneCost * float64(p.Tokens)
		}
		if score < bestScore {
			best, bestScore = in, score
		}
	}
	return best
}
