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
	decoders := f.availableDecoders(p, now)
	if len(decoders) == 0 {
		return Target{}, f.noInstance(p.Endpoint, p.Excluded, now)
	}
	return f.takeDecoder(p, decoders, zone, now), nil
}

// HasDecoder reports whether PlaceDecode would find an engine.
func (f *Fleet) HasDecoder(p *Prompt, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.availableDecoders(p, now)) > 0
}

func (f *Fleet) availableDecoders(p *Prompt, now time.Time) []*instance {
	decoders, _ := splitByStage(contain(f.available(withModel(f.byEndpoint[p.Endpoint], p.Model), p.Excluded, now), p.ContainKey))
	return decoders
}

// takeDecoder picks a decode engine and counts a request towards its limit.
func (f *Fleet) takeDecoder(p *Prompt, decoders []*instance, zone string, now time.Time) Target {
	best := f.bestDecoder(p, decoders, zone, now)
	best.notices.Send()
	return best.target()
}

// reserveDecoder picks the decode engine of a prompt before its prefill if each engine that
// is available has a limit: after the prefill none might be left. It returns nil otherwise.
func (f *Fleet) reserveDecoder(p *Prompt, zone string, now time.Time) *Target {
	decoders := f.availableDecoders(p, now)
	for _, in := range decoders {
		if in.notices.Limit() == 0 {
			return nil
		}
	}
	if len(decoders) == 0 {
		return nil
	}
	t := f.takeDecoder(p, decoders, zone, now)
	return &t
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
