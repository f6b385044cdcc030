package prefix

import (
	"math"
	"time"
)

// Matches holds the number of leading prefix blocks of one prompt that each engine has
// cached. It can be reused for further calls of Match, but not concurrently.
type Matches struct {
	blocks  []int32 // by Slot
	touched []Slot  // slots with blocks > 0
}

// Blocks returns the number of leading prefix blocks that the engine has cached.
func (m *Matches) Blocks(s Slot) int {
	if int(s) >= len(m.blocks) {
		return 0
	}
	return int(m.blocks[s])
}

// Holders returns the engines that have at least the first prefix block cached. The
// slice is valid until the next Match.
func (m *Matches) Holders() []Slot { return m.touched }

func (m *Matches) reset(slots int) {
	for _, s := range m.touched {
		m.blocks[s] = 0
	}
	m.touched = m.touched[:0]
	if len(m.blocks) < slots {
		m.blocks = make([]int32, slots)
	}
}

// Match sets m to the number of leading prefixes that each engine has cached. It stops
// at the first prefix that extends no engine's match.
func (ix *Index) Match(now time.Duration, prefixes []uint64, m *Matches) {
	m.reset(ix.Slots())
	for depth, h := range prefixes {
		if !ix.matchOne(now, h, int32(depth), m) {
			return
		}
	}
}

// matchOne extends the matches of depth blocks by the prefix h. It reports whether any
// engine's match grew.
func (ix *Index) matchOne(now time.Duration, h uint64, depth int32, m *Matches) bool {
	s := &ix.shards[h%shardCount]
	s.mu.RLock()
	defer s.mu.RUnlock()
	grew := false
	for _, entry := range s.holders[h] {
		if entry.until < now || int(entry.slot) >= len(m.blocks) {
			continue
		}
		if m.blocks[entry.slot] != depth {
			continue
		}
		if depth == 0 {
			m.touched = append(m.touched, entry.slot)
		}
		m.blocks[entry.slot] = depth + 1
		grew = true
	}
	return grew
}

// Confidence returns the weight, from 0 to 1, of an engine's matches. It is 1 while the
// index is up to date with the engine and halves every HalfLife while events are missing.
func (ix *Index) Confidence(now time.Duration, s Slot) float64 {
	table := *ix.table.Load()
	if int(s) >= len(table) || table[s] == nil {
		return 0
	}
	e := table[s]
	e.mu.Lock()
	defer e.mu.Unlock()
	behind := e.gapped || e.newest > e.next
	if !behind || ix.cfg.HalfLife.Duration <= 0 {
		return 1
	}
	age := max(0, now-e.syncedAt)
	return math.Exp2(-age.Seconds() / ix.cfg.HalfLife.Seconds())
}
