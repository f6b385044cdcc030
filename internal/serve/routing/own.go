package routing

import (
	"sync"
	"time"
)

// maxChanges bounds the changes kept per instance; older ones are dropped.
const maxChanges = 256

// change is one own start or end of work at an instance.
type change struct {
	at      time.Duration
	prefill int // prompt tokens added to the backlog
	running int // +1 at a start, -1 at an end
	blocks  int // memory pieces taken (positive) or given back
}

// ownLoad is the work that this process has at one instance. Load reports lag,
// so the changes since a report's time are added to it.
type ownLoad struct {
	mu      sync.Mutex
	changes []change // in order of at; guarded by mu
	running int      // own requests in flight; guarded by mu
	blocks  int      // memory of own requests in flight, whole answers included; guarded by mu

	prefillTokens int           // tokens of own prompts sent and not yet computed; guarded by mu
	lastProgress  time.Duration // when the engine was last known to begin one of them; guarded by mu
}

// prefillSent notes an own prompt whose end promptDone will tell.
func (o *ownLoad) prefillSent(now time.Duration, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prefillTokens == 0 {
		o.lastProgress = now
	}
	o.prefillTokens += tokens
}

// prefillDone notes that an own prompt has been computed or given up.
func (o *ownLoad) prefillDone(now time.Duration, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prefillTokens -= tokens
	o.lastProgress = now
}

// pendingPrefill returns the tokens of own prompts not yet computed when the engine
// computes them at the given rate. The caller holds o.mu.
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

// estimate is the load of an instance now, worked out from its last report and
// the own changes since.
type estimate struct {
	backlog float64       // prompt tokens waiting to be computed
	running float64       // requests in the batch or queued
	blocks  float64       // memory in use or promised
	age     time.Duration // of the report
}

// estimateLoad brings a candidate's report up to now: the backlog drains at
// the given rate in tokens per second and own changes are added when they came.
func estimateLoad(now time.Duration, c *Candidate, rate float64) estimate {
	e := estimate{
		backlog: float64(c.Load.QueuedPrefill),
		running: float64(c.Load.Running + c.Load.Queued),
		blocks:  float64(c.Load.UsedPieces),
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
