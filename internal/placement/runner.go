package placement

import (
	"math"
	"time"
)

// Runner returns the engine that generates the answer to a prompt that was read
// elsewhere. It is asked for once the prompt is read: by then the engine that would
// have been chosen before may leave or be busy.
func (f *Fleet) Runner(p *Prompt, now time.Time) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.lists[p.Endpoint]
	runners, _ := byStage(f.available(withModel(list, p.Model), p.Excluded, now))
	if len(runners) == 0 {
		return Target{}, &NoneError{Endpoint: p.Endpoint, Known: len(list), Excluded: len(p.Excluded)}
	}
	home, _ := f.homes(runners, subject(chain(p.Model, p.Parts), p))
	return f.bestRunner(p, runners, home, now).target(), nil
}

// bestRunner returns the engine that generates the answer to a prompt read elsewhere:
// the home of its subject, unless that is much busier than others.
func (f *Fleet) bestRunner(p *Prompt, runners []*instance, home *instance, now time.Time) *instance {
	var best *instance
	bestScore := math.Inf(1)
	for _, in := range runners {
		score := max(f.waiting(in, lowestPriority, now), in.wait.decayed(now, transferHalfLife)) + runCost*float64(in.outstanding) + spread*f.draw()
		if in != home {
			score += runAwayCost * float64(p.Tokens-p.own())
		}
		if score < bestScore {
			best, bestScore = in, score
		}
	}
	return best
}
