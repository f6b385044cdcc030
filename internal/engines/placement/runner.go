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
	list := f.lists[p.Endpoint]
	runners, _ := byStage(f.available(withModel(list, p.Model), p.Excluded, now))
	if len(runners) == 0 {
		return Target{}, &NoInstanceError{Endpoint: p.Endpoint, Known: len(list), Excluded: len(p.Excluded)}
	}
	return f.bestRunner(p, runners, zone, now).target(), nil
}

// bestRunner returns the engine that is free soonest, in the zone where the prompt was
// read unless engines of other zones are much less busy, and one that this host has a
// connection to unless others are less busy: with 64 hosts and 50 engines most prompts
// would need a new one. Parts that it holds do not count: all KV cache of the prompt is
// moved to it.
func (f *Fleet) bestRunner(p *Prompt, runners []*instance, zone string, now time.Time) *instance {
	var best *instance
	bestScore := math.Inf(1)
	for _, in := range runners {
		score := max(f.waiting(in, lowestPriority, now), in.wait.decayed(now, transferHalfLife)) + runCost*float64(in.outstanding) + spread*f.draw()
		if !f.connected(in.Address) {
			score += connectCost
		}
		if in.Zone != zone {
			score += otherZoneCost * float64(p.Tokens)
		}
		if score < bestScore {
			best, bestScore = in, score
		}
	}
	return best
}
