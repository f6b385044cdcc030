package placement

import "time"

// lowestPriority is the least urgent priority; higher numbers count as this one.
const lowestPriority = 9

// Backlog is the prompt tokens queued for prefill at an engine, by priority.
type Backlog [lowestPriority + 1]float64

func (b *Backlog) add(priority int, tokens float64) {
	i := min(max(priority, 0), lowestPriority)
	b[i] = max(0, b[i]+tokens)
}

// upTo returns the tokens of a priority and of all more urgent ones.
func (b *Backlog) upTo(priority int) float64 {
	total := 0.0
	for _, tokens := range b[:min(max(priority, 0), lowestPriority)+1] {
		total += tokens
	}
	return total
}

// Loads returns this host's backlog at each engine where it has one.
func (f *Fleet) Loads() map[string]Backlog {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]Backlog{}
	for id, in := range f.byID {
		if in.ownBacklog.upTo(lowestPriority) > 0 {
			out[id] = in.ownBacklog
		}
	}
	return out
}

// SetPeerLoads sets the combined backlog of the other hosts, by engine.
func (f *Fleet) SetPeerLoads(loads map[string]Backlog, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, in := range f.byID {
		in.peerBacklog, in.peerBacklogAt = loads[id], now
	}
}
