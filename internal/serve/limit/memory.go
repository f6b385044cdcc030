package limit

import "sync/atomic"

// Memory limits the bytes reserved for requests. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory that allows limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take reserves n bytes and reports whether they fit within the limit; if not,
// nothing is reserved.
func (m *Memory) Take(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Return frees n bytes.
func (m *Memory) Return(n int64) { m.used.Add(-n) }

// Used returns the reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }
