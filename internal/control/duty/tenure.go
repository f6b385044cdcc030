package duty

import "time"

// tenure decides whether a host may make calls, from what it observes of its leadership. It
// does no I/O and reads no clock.
type tenure struct {
	wait   time.Duration // from the first sight of a term to the first call in it
	term   uint64        // of this host's leadership, 0 while it does not lead
	seenAt time.Duration // when the term was first seen
}

// observe records the term of this host's leadership at a time; leads is false when it does
// not lead. It reports whether the term is another one than before.
func (t *tenure) observe(term uint64, leads bool, now time.Duration) (changed bool) {
	if !leads {
		changed = t.term != 0
		t.term = 0
		return changed
	}
	if term == t.term {
		return false
	}
	t.term, t.seenAt = term, now
	return true
}

// ready reports whether the calls of any earlier holder have ended for at least the lease.
func (t *tenure) ready(now time.Duration) bool { return t.term != 0 && now-t.seenAt >= t.wait }
