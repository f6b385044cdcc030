// Package claim decides which attempt may dispatch a non-repeatable call. It is
// a deterministic state machine that replicas apply from a replicated log. An
// entry host dispatches a call only after the log has committed its claim, and
// only the attempt that was granted the claim dispatches it. A resend through any
// entry host then finds the claim and does not run the call again.
//
// The machine keeps a key for the retention period after its claim; within that
// time the call runs at most once. It never evicts a key early: at its limit it
// refuses new claims instead.
package claim

import (
	"container/heap"
	"time"

	"filberthook/internal/process/invariant"
)

// Limits are the limits of a Machine. All replicas must use the same ones.
type Limits struct {
	MaxClaims          int           // claims at a time
	MaxAnswerBytes     int           // per answer; larger ones are not stored
	MaxStoredBytes     int           // all answers together; answers beyond it are not stored
	MaxHold            time.Duration // longest time that a claim may stay in progress
	Retention          time.Duration // time from a claim until its key is removed
	WithdrawnRetention time.Duration // time for which a released attempt cannot be granted a claim
}

// DefaultLimits returns the limits of a deployment with a few booking workers.
func DefaultLimits() Limits {
	return Limits{
		MaxClaims:          1 << 20,
		MaxAnswerBytes:     64 << 10,
		MaxStoredBytes:     256 << 20,
		MaxHold:            10 * time.Minute,
		Retention:          24 * time.Hour,
		WithdrawnRetention: 10 * time.Minute,
	}
}

// phase is the state of one claim.
type phase string

const (
	phaseRunning phase = "running" // dispatched or about to be dispatched; no outcome yet
	phaseStored  phase = "stored"  // the call ran and its answer is known
	phaseUnknown phase = "unknown" // overdue or abandoned; a late answer may still be stored
)

// record is one claim.
type record struct {
	Key      Key           `json:"key"`
	Attempt  string        `json:"attempt"`
	Entry    string        `json:"entry"`
	BodyHash string        `json:"body_hash"`
	Phase    phase         `json:"phase"`
	HoldTill time.Duration `json:"hold_till"` // time at which a running claim becomes unknown
	KeepTill time.Duration `json:"keep_till"` // time at which the key is removed
	Answer   *StoredAnswer `json:"answer,omitempty"`

	timer *timer // in Machine.timers while the record is in Machine.claims
}

// Machine holds all claims. It is not safe for concurrent use: the replicated log
// applies one command at a time.
type Machine struct {
	limits      Limits
	now         time.Duration // log time of the newest command; never decreases
	claims      map[Key]*record
	withdrawn   map[string]time.Duration // released attempts and the time of their removal; at most MaxClaims
	storedBytes int                      // sum of the sizes of stored answers
	timers      timers                   // one per claim and per withdrawn attempt; a min-heap by time
}

// NewMachine returns an empty Machine.
func NewMachine(limits Limits) *Machine {
	return &Machine{limits: limits, claims: make(map[Key]*record), withdrawn: make(map[string]time.Duration)}
}

// Len returns the number of claims.
func (m *Machine) Len() int { return len(m.claims) }

// StoredBytes returns the total size of stored answers in bytes.
func (m *Machine) StoredBytes() int { return m.storedBytes }

// Apply runs one command. now is the time of the replicated log, which is the same
// on every replica, never decreases and never runs ahead of real time.
func (m *Machine) Apply(now time.Duration, cmd Command) Result {
	m.advance(now)
	switch cmd.Kind {
	case KindClaim:
		return m.claim(cmd)
	case KindComplete:
		return m.complete(cmd)
	case KindRelease:
		return m.release(cmd)
	case KindAbandon:
		return m.abandon(cmd)
	case KindLookup:
		return m.lookup(cmd)
	default:
		return Result{Status: Invalid}
	}
}

// advance sets the clock and fires the timers that are due: it marks overdue claims as
// unknown and removes expired ones.
func (m *Machine) advance(now time.Duration) {
	invariant.Check(now >= m.now, "claim-clock-grows", "was %v, is %v", m.now, now)
	m.now = now
	for len(m.timers) > 0 && m.timers[0].at <= now {
		m.fire(m.timers[0])
	}
}

// fire handles a timer that is due; t must be the earliest one.
func (m *Machine) fire(t *timer) {
	switch {
	case t.rec == nil:
		heap.Pop(&m.timers)
		delete(m.withdrawn, t.attempt)
	case t.rec.Phase == phaseRunning:
		t.rec.Phase = phaseUnknown
		m.rescheduleTimer(t.rec)
	default:
		m.remove(t.rec)
	}
}

func (m *Machine) claim(cmd Command) Result {
	if cmd.Attempt == "" || cmd.Key.Idempotency == "" || cmd.BodyHash == "" || cmd.Hold <= 0 {
		return Result{Status: Invalid}
	}
	if rec, ok := m.claims[cmd.Key]; ok {
		return m.claimExisting(rec, cmd)
	}
	if _, ok := m.withdrawn[cmd.Attempt]; ok {
		return Result{Status: Withdrawn, Attempt: cmd.Attempt}
	}
	if len(m.claims) >= m.limits.MaxClaims {
		return Result{Status: Full}
	}
	rec := &record{
		Key:      cmd.Key,
		Attempt:  cmd.Attempt,
		Entry:    cmd.Entry,
		BodyHash: cmd.BodyHash,
		Phase:    phaseRunning,
		HoldTill: m.now + min(cmd.Hold, m.limits.MaxHold),
		KeepTill: m.now + max(m.limits.Retention, m.limits.MaxHold),
	}
	m.insert(rec)
	return Result{Status: Granted, Attempt: rec.Attempt, Entry: rec.Entry}
}

// insert stores a claim and starts its timer.
func (m *Machine) insert(rec *record) {
	rec.timer = &timer{at: rec.nextChange(), rec: rec}
	m.claims[rec.Key] = rec
	heap.Push(&m.timers, rec.timer)
}

// remove deletes a claim, its timer and its answer.
func (m *Machine) remove(rec *record) {
	heap.Remove(&m.timers, rec.timer.index)
	m.storedBytes -= rec.Answer.size()
	delete(m.claims, rec.Key)
}

// nextChange returns the time at which the claim becomes unknown or is removed.
func (r *record) nextChange() time.Duration {
	if r.Phase == phaseRunning {
		return r.HoldTill
	}
	return r.KeepTill
}

// claimExisting returns the result of a claim on a key that is already claimed.
func (m *Machine) claimExisting(rec *record, cmd Command) Result {
	if rec.BodyHash != cmd.BodyHash {
		return Result{Status: KeyReused}
	}
	if rec.Attempt == cmd.Attempt && rec.Phase == phaseRunning {
		// The entry host did not receive the result of its first proposal and repeats it.
		return Result{Status: Granted, Attempt: rec.Attempt, Entry: rec.Entry}
	}
	return m.describe(rec)
}

// describe returns the state of a claim, for any caller other than its holder.
func (m *Machine) describe(rec *record) Result {
	res := Result{Attempt: rec.Attempt, Entry: rec.Entry}
	switch rec.Phase {
	case phaseRunning:
		res.Status = InProgress
		res.Remaining = rec.HoldTill - m.now
	case phaseStored:
		res.Status = Stored
		res.Answer = rec.Answer
	case phaseUnknown:
		res.Status = Unknown
	}
	return res
}

func (m *Machine) complete(cmd Command) Result {
	if cmd.Answer == nil {
		return Result{Status: Invalid}
	}
	rec, ok := m.claims[cmd.Key]
	if !ok || rec.Attempt != cmd.Attempt {
		return Result{Status: NotHeld}
	}
	if rec.Phase == phaseStored {
		return Result{Status: Done, Attempt: rec.Attempt}
	}
	rec.Phase = phaseStored
	rec.Answer = m.storedForm(cmd.Answer)
	m.rescheduleTimer(rec)
	return Result{Status: Done, Attempt: rec.Attempt}
}

// rescheduleTimer updates a claim's timer after its phase has changed.
func (m *Machine) rescheduleTimer(rec *record) {
	rec.timer.at = rec.nextChange()
	heap.Fix(&m.timers, rec.timer.index)
}

// storedForm returns the answer as it is stored: without headers and body if it exceeds
// the limits.
func (m *Machine) storedForm(answer *StoredAnswer) *StoredAnswer {
	size := answer.size()
	if answer.Dropped || size > m.limits.MaxAnswerBytes || m.storedBytes+size > m.limits.MaxStoredBytes {
		return &StoredAnswer{Status: answer.Status, Dropped: true}
	}
	m.storedBytes += size
	return answer
}

func (m *Machine) release(cmd Command) Result {
	if cmd.Attempt == "" {
		return Result{Status: Invalid}
	}
	rec, ok := m.claims[cmd.Key]
	if !ok || rec.Attempt != cmd.Attempt {
		// The claim may be committed later; it must not be granted then.
		m.markWithdrawn(cmd.Attempt)
		return Result{Status: NotHeld}
	}
	if rec.Phase == phaseStored {
		return Result{Status: NotHeld}
	}
	// The holder did not dispatch the call, so the key is free even if the claim was
	// already marked unknown.
	m.remove(rec)
	m.markWithdrawn(cmd.Attempt)
	return Result{Status: Done, Attempt: cmd.Attempt}
}

func (m *Machine) abandon(cmd Command) Result {
	rec, ok := m.claims[cmd.Key]
	if !ok || rec.Attempt != cmd.Attempt || rec.Phase != phaseRunning {
		return Result{Status: NotHeld}
	}
	rec.Phase = phaseUnknown
	m.rescheduleTimer(rec)
	return Result{Status: Done, Attempt: cmd.Attempt}
}

// markWithdrawn prevents a late claim of a released attempt from being granted. If the
// mark has expired or was skipped at MaxClaims, the late claim is granted to an attempt
// that is never dispatched. That costs only time: the key stays claimed until the hold
// ends.
func (m *Machine) markWithdrawn(attempt string) {
	if _, ok := m.withdrawn[attempt]; ok || len(m.withdrawn) >= m.limits.MaxClaims {
		return
	}
	m.addWithdrawn(attempt, m.now+m.limits.WithdrawnRetention)
}

func (m *Machine) addWithdrawn(attempt string, till time.Duration) {
	m.withdrawn[attempt] = till
	heap.Push(&m.timers, &timer{at: till, attempt: attempt})
}

func (m *Machine) lookup(cmd Command) Result {
	rec, ok := m.claims[cmd.Key]
	if !ok {
		return Result{Status: NotFound}
	}
	return m.describe(rec)
}
