package placement

import (
	"time"

	"filberthook/internal/engines/notice"
)

// Hear records what an answer says about the instance that sent it. It reports whether
// that differs from what this host knew.
func (f *Fleet) Hear(t Target, said notice.Said, sentAt, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.record(t.ID, t.Born)
	return r != nil && r.Hear(said, sentAt, now)
}

// Limit returns the requests per second that an instance takes from all hosts together, 0
// if it has named no limit.
func (f *Fleet) Limit(t Target) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.record(t.ID, t.Born); r != nil {
		return r.Limit()
	}
	return 0
}

// LimitedInstances returns how many announced instances have a limit.
func (f *Fleet) LimitedInstances() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id := range f.byID {
		if r := f.notices[id]; r != nil && r.Limit() > 0 {
			n++
		}
	}
	return n
}

// record returns the record of one start of an instance, nil if a later start is known. The
// caller holds f.mu.
func (f *Fleet) record(id string, born int64) *notice.Record {
	r := f.notices[id]
	if r != nil && r.Born > born {
		return nil
	}
	if r == nil || r.Born < born {
		r = &notice.Record{Born: born}
		f.notices[id] = r
	}
	return r
}
