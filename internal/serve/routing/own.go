package routing

import (
	"sync"
	"time"
)

// maxChanges limits the changes kept per instance; the older half is dropped.
const maxChanges = 256

// change is the start or end of one of this process's requests at an instance.
type change struct {
	at      time.Duration
	prefill int // prompt tokens added to the backlog
	running int // +1 at a start, -1 at an end
	blocks  int // KV blocks allocated (positive) or freed (negative)
}

// ownLoad is the load that this process puts on one instance. Load reports lag, so
// estimateLoad adds the changes since the report to it.
type ownLoad struct {
	mu      sync.Mutex
	changes []change // in order of at; guarded by mu
	running int      // requests in flight; guarded by mu
	blocks  int      // KV blocks of requests in flight, expected answers included; guarded by mu

	prefillTokens int           // uncached prompt tokens of split requests whose prefill has not ended here; guarded by mu
	lastProgress  time.Duration // time from which the engine is assumed to compute prefillTokens; guarded by mu
}

// prefillSent records that the prompt of a split request has been sent to this engine
// for prefill. One call of prefillDone must follow.
func (o *ownLoad) prefillSent(now time.Duration, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prefillTokens == 0 {
		o.lastProgress = now
	}
	o.prefillTokens += tokens
}

// prefillDone records that the prefill of a prompt has finished, failed or been
// abandoned.
func (o *ownLoad) prefillDone(now time.Duration, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prefillTokens -= tokens
	o.lastProgress = now
}

// pendingPrefill returns the estimated prompt tokens of this process still to be
// computed, at the given rate in tokens per second. The caller holds o.mu.
func (o *ownLoad) pendingPrefill(now time.Duration, rate float64) float64 {
	return max(0, float64(o.prefillTokens)-rate*(now-o.lastProgress).Seconds())
}

func (o *ownLoad) add(ch change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running += ch.running
	o.blocks += ch.blocks
	if len(o.changes) >= maxChanges {
		kept := copy(o.changes, o.changes[maxChanges/2:])
		o.changes = o.changes[:kept]
	}
	o.changes = append(o.changes, ch)
}

// estimate is the current load of an instance, computed from its last report and
// this process's changes since.
type estimate struct {
	backlog float64       // prompt tokens waiting to be computed
	running float64       // requests in the batch or queued
	blocks  float64       // KV blocks in use or committed to requests in flight
	age     time.Duration // of the report
}

// estimateLoad projects a candidate's report to now: the backlog drains at the
// given rate in tokens per second, and this process's changes are added at their
// times. Other senders are assumed to add as many prompt tokens as this one. The
// result is never below the load of this process's requests in flight.
func estimateLoad(now time.Duration, c *Candidate, rate float64) estimate {
	e := estimate{
		backlog: float64(c.Load.QueuedPrefill),
		running: float64(c.Load.Running + c.Load.Queued),
		blocks:  float64(c.Load.UsedKVBlocks),
		age:     max(0, now-c.ReportedAt),
	}
	drain := rate * (1 - c.unseenShare)
	o := c.own
	o.mu.Lock()
	defer o.mu.Unlock()
	at := c.ReportedAt
	for i := o.firstAfter(at); i < len(o.changes); i++ {
		ch := &o.changes[i]
		e.drain(drain, ch.at-at)
		at = ch.at
		e.backlog += float64(ch.prefill) * c.senders
		e.running += float64(ch.running)
		e.blocks += float64(ch.blocks)
	}
	e.drain(drain, now-at)
	e.backlog = max(e.backlog, c.senders*o.pendingPrefill(now, rate))
	e.running = max(e.running, float64(o.running))
	e.blocks = max(e.blocks, float64(o.blocks))
	return e
}

// firstAfter returns the index of the first change later than at. The caller
// holds o.mu.
func (o *ownLoad) firstAfter(at time.Duration) int {
	i := len(o.changes)
	for i > 0 && o.changes[i-1].at > at {
		i--
	}
	return i
}

func (e *estimate) drain(rate float64, d time.Duration) {
	e.backlog = max(0, e.backlog-rate*d.Seconds())
}
