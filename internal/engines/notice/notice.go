// Package notice keeps what endpoint instances say about themselves in their answers, and
// decides whether this host may send them a request. It does no I/O and reads no clock. A
// record belongs to one start of an instance: what an earlier start said does not hold for
// a later one.
//
// An instance may limit the requests that it takes from all hosts together, which
// know each other's number and load but not each other's requests. Each host takes a share
// of the limit and spaces its requests evenly.
//
// An instance that leaves gets no new request from any host that has heard it, whatever its
// heartbeats say. A pause holds for the host that the instance has asked for it.
package notice

import (
	"math"
	"time"
)

// Notice is what one answer says about the instance that sent it.
type Notice struct {
	// Limit is how many requests a second the instance takes from all hosts together, 0 if
	// the answer names no limit.
	Limit float64
	// LimitUnreadable is set if the answer has a value for the limit that cannot be read. It
	// neither names a limit nor ends one.
	LimitUnreadable bool
	// Leaving is set if the instance leaves: it finishes what it has and takes nothing new.
	Leaving bool
	// Pause is how long the instance wants no request of this host after it has turned one
	// away, 0 if it does not say.
	Pause time.Duration
	// Unreadable names the header fields whose values cannot be read, empty if there are none.
	Unreadable string
}

// Change is a set of what a Record did not hold before.
type Change uint8

// Changes of a Record.
const (
	LimitChanged Change = 1 << iota
	LeavingSaid
	PauseAsked
)

// Never is the wait for an instance that leaves.
const Never = time.Duration(math.MaxInt64)

// Report is what one host has heard of an instance, for the other hosts.
type Report struct {
	Instance string
	Born     int64         // Unix ms of the instance's start
	Limit    float64       // requests per second, 0 if a limit has ended or was never named
	Leaving  bool          // final for this start
	Age      time.Duration // since the answer that told the limit or, without one, that it leaves
}

const (
	// usedShare is the part of a limit that hosts use. The rest allows for shares that add up
	// to more than the whole while the load shifts between hosts.
	usedShare = 0.95
	// repeatPeriod is how long the end of a limit is reported, in case a report is lost. What
	// holds is reported while it holds.
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

	leaving     bool
	leavingAt   time.Time // when this host heard or learned it
	leavingOwn  bool      // this host has heard it
	pausedUntil time.Time
}

// Limit returns the requests per second that the instance takes from all hosts together,
// 0 if it has named no limit.
func (r *Record) Limit() float64 { return r.limit }

// Leaving reports whether the instance has said that it leaves.
func (r *Record) Leaving() bool { return r.leaving }

// Hear records what an answer says that arrives now, to a request that was sent at sentAt.
// The phase, from [0, 1), tells when this host's first request under a limit is due. Hear
// returns what the record did not hold before.
func (r *Record) Hear(said Notice, sentAt, now time.Time, phase float64) Change {
	var changed Change
	if r.hearLimit(said, sentAt, now, phase) {
		changed |= LimitChanged
	}
	if said.Leaving {
		r.leavingOwn = true
		if r.leave(now) {
			changed |= LeavingSaid
		}
	}
	if until := now.Add(said.Pause); said.Pause > 0 && until.After(r.pausedUntil) {
		if !now.Before(r.pausedUntil) {
			changed |= PauseAsked
		}
		r.pausedUntil = until
	}
	return changed
}

// leave records that the instance leaves, and reports whether that is new.
func (r *Record) leave(at time.Time) bool {
	if r.leaving {
		return false
	}
	r.leaving, r.leavingAt = true, at
	return true
}

func (r *Record) hearLimit(said Notice, sentAt, now time.Time, phase float64) bool {
	if said.LimitUnreadable {
		return false
	}
	if float32(said.Limit) == float32(r.limit) { // other hosts tell limits with 32 bits
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
// returns what the record did not hold before.
func (r *Record) Learn(report Report, now time.Time, phase float64) Change {
	var changed Change
	if report.Leaving && r.leave(now) {
		changed |= LeavingSaid
	}
	if heardAt := now.Add(-report.Age); float32(report.Limit) != float32(r.limit) && heardAt.After(r.limitAt) {
		r.set(report.Limit, heardAt, now, phase)
		r.own = false
		changed |= LimitChanged
	}
	return changed
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
	out := Report{Instance: id, Born: r.Born, Leaving: r.leaving, Age: now.Sub(r.leavingAt)}
	limitMatters := r.own && (r.limit > 0 || now.Sub(r.limitAt) <= repeatPeriod)
	if limitMatters {
		out.Limit, out.Age = r.limit, now.Sub(r.limitAt)
	}
	return out, limitMatters || r.leavingOwn
}

// Wait returns how long this host must wait before it may send the instance a request, 0
// if it may now. The share is this host's part of all requests to the endpoint.
func (r *Record) Wait(share float64, now time.Time) time.Duration {
	if r.leaving {
		return Never
	}
	wait := max(0, r.pausedUntil.Sub(now))
	if r.allowance != nil {
		r.allowance.advance(usedShare*share*r.limit, permitLifetime(r.limit), now)
		wait = max(wait, r.allowance.wait())
	}
	return wait
}

// Restricted reports whether Wait can be other than 0.
func (r *Record) Restricted(now time.Time) bool {
	return r.leaving || r.limit > 0 || now.Before(r.pausedUntil)
}

// Send counts a request that is sent to the instance now, after Wait has returned 0.
func (r *Record) Send() {
	if r.allowance != nil {
		r.allowance.use()
	}
}

// Expired reports whether the record of an instance that is not announced may be deleted.
func (r *Record) Expired(now time.Time) bool {
	last := r.limitAt
	for _, at := range []time.Time{r.leavingAt, r.pausedUntil} {
		if at.After(last) {
			last = at
		}
	}
	return now.Sub(last) > retention
}
