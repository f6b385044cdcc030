package placement

import "time"

// lowestPriority is the least urgent of the priorities that are told apart.
const lowestPriority = 9

// Backlog is the prompt tokens that wait to be read at an engine, by priority.
type Backlog [lowestPriority + 1]float64

func (b *Backlog) add(priority int, tokens float64) {
	i := min(max(priority, 0), lowestPriority)
	b[i] = max(0, b[i]+tokens)
}

// upTo returns the tokens that are as urgent as a priority or more.
func (b *Backlog) upTo(priority int) float64 {
	total := 0.0
	for _, tokens := range b[:min(max(priority, 0), lowestPriority)+1] {
		total += tokens
	}
	return total
}

// Loads returns the backlog of this host at each engine where there is any.
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

// SetPeerLoads takes the backlog of the other hosts.
func (f *Fleet) SetPeerLoads(loads map[string]Backlog, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, in := range f.byID {
		in.peerBacklog, in.peerBacklogAt = loads[id], now
	}
}
