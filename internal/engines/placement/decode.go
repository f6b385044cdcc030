package placement

import (
	"math"
	"time"
)

// PlaceDecode returns the engine that generates the answer to a prompt that was read at an
// engine of a zone. It is asked for once the prompt is read: by then the engine that
// would have been chosen before may leave or be busy.
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

// bestDecoder returns the engine that is free soonest, in the zone where the prompt was
// read unless engines of other zones are much less busy, and one that this host has a
// connection to unless others are less busy: with 64 hosts and 50 engines most prompts
// would need a new one. Parts that it holds do not count: all KV cache of the prompt is
// moved to it.
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
