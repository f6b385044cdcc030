// Package notice keeps what endpoint instances say about themselves in their answers. It
// does no I/O and reads no clock. A record belongs to one start of an instance: what an
// earlier start said does not hold for a later one.
package notice

import "time"

// Said is what one answer says about the instance that sent it.
type Said struct {
	// Limit is how many requests a second the instance takes from all hosts together, 0 if
	// the answer names no limit.
	Limit float64
	// LimitUnreadable is set if the answer has a value for the limit that cannot be read. It
	// neither names a limit nor ends one.
	LimitUnreadable bool
}

// Record is what one start of an instance has said.
type Record struct {
	Born int64 // Unix ms of the start

	limit   float64   // requests per second, 0 for none
	limitAt time.Time // when the answer arrived that named the limit or ended it
}

// Limit returns the requests per second that the instance takes from all hosts together,
// 0 if it has named no limit.
func (r *Record) Limit() float64 { return r.limit }

// Hear records what an answer says that arrives now, to a request that was sent at sentAt.
// It reports whether that differs from what the record held.
func (r *Record) Hear(said Said, sentAt, now time.Time) bool {
	if said.LimitUnreadable || said.Limit == r.limit {
		return false
	}
	if said.Limit == 0 && !sentAt.After(r.limitAt) {
		return false // the request may have been answered before the limit was named
	}
	r.limit, r.limitAt = said.Limit, now
	return true
}
