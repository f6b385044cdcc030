package quarantine

import "time"

const (
	// beginPeriod is how long a begin is remembered at least, and how long a suspect counts as
	// sound after one: suspects can go bad when the weights of a model change.
	beginPeriod = time.Minute
	// maxBegins bounds the suspects remembered for each of two periods.
	maxBegins = 1 << 16
	// recentBegins is how many begins of requests are remembered.
	recentBegins = 256
)

// beginMemory remembers when instances last began to answer requests with a suspect, for one
// to two periods. A period ends early when there are too many suspects.
type beginMemory struct {
	current, previous map[Suspect]time.Time
	since             time.Time               // begin of the current period
	recent            [recentBegins]time.Time // the last begins of requests, a ring
	next              int                     // the oldest in recent
}

// recordRequest records that a request has begun.
func (m *beginMemory) recordRequest(now time.Time) {
	m.recent[m.next] = now
	m.next = (m.next + 1) % len(m.recent)
}

// requestsBetween returns how many of the last requests have begun between two times.
func (m *beginMemory) requestsBetween(from, to time.Time) int {
	n := 0
	for _, begin := range m.recent {
		if begin.After(from) && begin.Before(to) {
			n++
		}
	}
	return n
}

// lastRequest returns when the last request has begun.
func (m *beginMemory) lastRequest() time.Time {
	return m.recent[(m.next+len(m.recent)-1)%len(m.recent)]
}

func (m *beginMemory) record(b Suspect, now time.Time) {
	if m.current == nil || now.Sub(m.since) >= beginPeriod || len(m.current) >= maxBegins {
		m.current, m.previous, m.since = map[Suspect]time.Time{}, m.current, now
	}
	m.current[b] = now
}

// last returns the last begin, zero if none is remembered.
func (m *beginMemory) last(b Suspect) time.Time {
	if at, ok := m.current[b]; ok {
		return at
	}
	return m.previous[b]
}
