package limit

import "sync/atomic"

// Memory counts bytes held for requests against a limit. It is safe for
// concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory that allows limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take charges n bytes and reports whether they were within the limit; when
// not, nothing is charged.
func (m *Memory) Take(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Return gives back n bytes.
func (m *Memory) Return(n int64) { m.used.Add(-n) }

// Used returns the bytes held.
func (m *Memory) Used() int64 { return m.used.Load() }
