// Package notice keeps what endpoint instances say about themselves in their answers, and
// decides whether this host may send them a request. It does no I/O and reads no clock. A
// record belongs to one start of an instance: what an earlier start said does not hold for
// a later one.
//
// An instance in need limits the requests that it takes from all hosts together, which
// know each other's number and load but not each other's requests. Each host takes a share
// of the limit and spaces its requests evenly.
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

// Report is what one host has heard of an instance, for the other hosts.
type Report struct {
	Instance string
	Born     int64         // Unix ms of the instance's start
	Limit    float64       // requests per second, 0 if a limit has ended
	Age      time.Duration // since the answer that said so
}

const (
	// usedShare is the part of a limit that hosts use: their shares may add up to more than
	// the whole while the load shifts between them.
	usedShare = 0.95
	// repeatPeriod is how long the end of a limit is reported, in case a report is lost. A
	// limit is reported while it holds.
	repeatPeriod = 3 * time.Second
	// retention is how long a record is kept after its last change while the instance is not
	// announced.
	retention = 5 * time.Minute
)

// Record is what one start of an instance has said.
type Record struct {
	Born int64 // Unix ms of the start

	limit     float64   // requests per second, 0 for none
	limitAt   time.Time // when the answer arrived that named the limit or ended it
	own       bool      // this host got that answer
	allowance *allowance
}

// Limit returns the requests per second that the instance takes from all hosts together,
// 0 if it has named no limit.
func (r *Record) Limit() float64 { return r.limit }

// Hear records what an answer says that arrives now, to a request that was sent at sentAt.
// The phase, from [0, 1), tells when this host's first request under a limit is due. Hear
// reports whether the answer differs from what the record held.
func (r *Record) Hear(said Said, sentAt, now time.Time, phase float64) bool {
	if said.LimitUnreadable {
		return false
	}
	if said.Limit == r.limit {
		r.own = r.own || said.Limit > 0
		return false
	}
	if said.Limit == 0 && !sentAt.After(r.limitAt) {
		return false // the request may have been answered before the limit was named
	}
	r.set(said.Limit, now, now, phase)
	r.own = true
	return true
}

// Learn records what another host has heard, unless the record holds something newer. It
// reports whether the record has changed.
func (r *Record) Learn(report Report, now time.Time, phase float64) bool {
	heardAt := now.Add(-report.Age)
	if report.Limit == r.limit || !heardAt.After(r.limitAt) {
		return false
	}
	r.set(report.Limit, heardAt, now, phase)
	r.own = false
	return true
}

func (r *Record) set(limit float64, heardAt, now time.Time, phase float64) {
	r.limit, r.limitAt = limit, heardAt
	switch {
	case limit == 0:
		r.allowance = nil
	case r.allowance == nil:
		r.allowance = newAllowance(phase, now)
	}
}

// Report returns what the other hosts should know. The second result is false if this host
// has heard nothing that matters to them.
func (r *Record) Report(id string, now time.Time) (Report, bool) {
	age := now.Sub(r.limitAt)
	if !r.own || r.limit == 0 && age > repeatPeriod {
		return Report{}, false
	}
	return Report{Instance: id, Born: r.Born, Limit: r.limit, Age: age}, true
}

// Wait returns how long this host must wait before it may send the instance a request, 0
// if it may now. The share is this host's part of all requests to the endpoint.
func (r *Record) Wait(share float64, now time.Time) time.Duration {
	if r.allowance == nil {
		return 0
	}
	r.allowance.advance(usedShare*share*r.limit, now)
	return r.allowance.wait()
}

// Send counts a request that is sent to the instance now, after Wait has returned 0.
func (r *Record) Send() {
	if r.allowance != nil {
		r.allowance.use()
	}
}

// Expired reports whether the record of an instance that is not announced may be deleted.
func (r *Record) Expired(now time.Time) bool { return now.Sub(r.limitAt) > retention }
