// Package claim decides which attempt may dispatch a non-repeatable call. It is
// a deterministic state machine, meant to be applied from a replicated log: a
// call is dispatched only after its claim is committed, by the one attempt that
// the claim was granted to, so that a resend through any entry host finds the
// claim and does not run the call again.
//
// A key is remembered for the retention period from its claim; within it the
// call runs at most once. The machine never forgets a key early: at its limit
// it refuses new claims instead.
package claim

import (
	"container/heap"

	"filberthook/internal/invariant"
)

// Limits bound a Machine. All replicas must use the same limits.
type Limits struct {
	MaxClaims       int   `json:"max_claims"`
	MaxAnswerBytes  int   `json:"max_answer_bytes"` // per answer; larger ones are not kept
	MaxStoredBytes  int   `json:"max_stored_bytes"` // all answers together; answers beyond it are not kept
	MaxHoldMillis   int64 `json:"max_hold_ms"`      // longest time that a claim may stay in progress
	RetentionMillis int64 `json:"retention_ms"`     // time from a claim until its key is forgotten
	WithdrawnMillis int64 `json:"withdrawn_ms"`     // time for which an early release is remembered
	MaxStepMillis   int64 `json:"max_step_ms"`      // largest advance of the clock by one expire
}

// DefaultLimits returns the limits of a deployment with a few booking workers.
func DefaultLimits() Limits {
	return Limits{
		MaxClaims:       1 << 20,
		MaxAnswerBytes:  64 << 10,
		MaxStoredBytes:  256 << 20,
		MaxHoldMillis:   10 * 60 * 1000,
		RetentionMillis: 24 * 60 * 60 * 1000,
		WithdrawnMillis: 10 * 60 * 1000,
		MaxStepMillis:   10 * 1000,
	}
}

// phase is the state of one claim.
type phase string

const (
	phaseRunning phase = "running" // dispatched or about to be; the outcome is pending
	phaseStored  phase = "stored"  // the call ran and its answer is known
	phaseUnknown phase = "unknown" // overdue; a late answer may still come
)

// record is one claim.
type record struct {
	Key      Key           `json:"key"`
	Attempt  string        `json:"attempt"`
	Entry    string        `json:"entry"`
	BodyHash string        `json:"body_hash"`
	Phase    phase         `json:"phase"`
	HoldTill int64         `json:"hold_till"` // machine time at which a running claim becomes unknown
	KeepTill int64         `json:"keep_till"` // machine time at which the key is forgotten
	Answer   *StoredAnswer `json:"answer,omitempty"`

	timer *timer // in Machine.timers while the record is in Machine.claims
}

// Machine holds all claims. It is not safe for concurrent use: the log applies
// one command at a time.
type Machine struct {
	limits      Limits
	now         int64 // Unix milliseconds; moved by expire commands only, never back
	claims      map[Key]*record
	withdrawn   map[string]int64 // released attempts, with the time to forget them; at most MaxClaims
	storedBytes int              // sum of the sizes of kept answers
	timers      timers           // one per claim and per withdrawn attempt, the earliest first
}

// NewMachine returns an empty Machine.
func NewMachine(limits Limits) *Machine {
	return &Machine{limits: limits, claims: make(map[Key]*record), withdrawn: make(map[string]int64)}
}

// Len returns the number of claims held.
func (m *Machine) Len() int { return len(m.claims) }

// StoredBytes returns the memory charged for kept answers, in bytes.
func (m *Machine) StoredBytes() int { return m.storedBytes }

// Apply runs one command.
func (m *Machine) Apply(cmd Command) Result {
	switch cmd.Kind {
	case KindClaim:
		return m.claim(cmd)
	case KindComplete:
		return m.complete(cmd)
	case KindRelease:
		return m.release(cmd)
	case KindExpire:
		return m.expire(cmd)
	case KindLookup:
		return m.lookup(cmd)
	default:
		return Result{Status: Invalid}
	}
}

// ApplyAll runs commands in order and returns their results in the same order.
func (m *Machine) ApplyAll(cmds []Command) []Result {
	results := make([]Result, len(cmds))
	for i, cmd := range cmds {
		results[i] = m.Apply(cmd)
	}
	return results
}

func (m *Machine) claim(cmd Command) Result {
	if cmd.Attempt == "" || cmd.Key.Idempotency == "" || cmd.BodyHash == "" || cmd.HoldMillis <= 0 {
		return Result{Status: Invalid}
	}
	if rec, ok := m.claims[cmd.Key]; ok {
		return m.existing(rec, cmd)
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
		HoldTill: m.now + min(cmd.HoldMillis, m.limits.MaxHoldMillis),
		KeepTill: m.now + max(m.limits.RetentionMillis, m.limits.MaxHoldMillis),
	}
	m.add(rec)
	return Result{Status: Granted, Attempt: rec.Attempt, Entry: rec.Entry}
}

// add stores a claim and starts its timer.
func (m *Machine) add(rec *record) {
	rec.timer = &timer{at: rec.nextChange(), rec: rec}
	m.claims[rec.Key] = rec
	heap.Push(&m.timers, rec.timer)
}

// remove forgets a claim.
func (m *Machine) remove(rec *record) {
	heap.Remove(&m.timers, rec.timer.index)
	m.storedBytes -= rec.Answer.size()
	delete(m.claims, rec.Key)
}

// nextChange is the machine time at which the claim's phase or presence changes.
func (r *record) nextChange() int64 {
	if r.Phase == phaseRunning {
		return r.HoldTill
	}
	return r.KeepTill
}

// existing answers a claim on a key that is already claimed.
func (m *Machine) existing(rec *record, cmd Command) Result {
	if rec.BodyHash != cmd.BodyHash {
		return Result{Status: KeyReused}
	}
	if rec.Attempt == cmd.Attempt && rec.Phase == phaseRunning {
		// The same attempt proposes again after it did not learn the first result.
		return Result{Status: Granted, Attempt: rec.Attempt, Entry: rec.Entry}
	}
	return m.view(rec)
}

// view describes a claim to others than its holder.
func (m *Machine) view(rec *record) Result {
	res := Result{Attempt: rec.Attempt, Entry: rec.Entry}
	switch rec.Phase {
	case phaseRunning:
		res.Status = InProgress
		res.RestMillis = max(rec.HoldTill-m.now, 0)
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
	rec.Answer = m.keep(cmd.Answer)
	m.reset(rec)
	return Result{Status: Done, Attempt: rec.Attempt}
}

// reset moves a claim's timer after a change of its phase.
func (m *Machine) reset(rec *record) {
	rec.timer.at = rec.nextChange()
	heap.Fix(&m.timers, rec.timer.index)
}

// keep returns the answer as it is stored: without its body when the limits do
// not allow it.
func (m *Machine) keep(answer *StoredAnswer) *StoredAnswer {
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
		// The claim may still be on its way; it must not be granted any more.
		m.withdraw(cmd.Attempt)
		return Result{Status: NotHeld}
	}
	if rec.Phase == phaseStored {
		return Result{Status: NotHeld}
	}
	// The holder says that it did not dispatch, also when it says so late.
	m.remove(rec)
	m.withdraw(cmd.Attempt)
	return Result{Status: Done, Attempt: cmd.Attempt}
}

// withdraw remembers that an attempt must not be granted its claim any more.
// A forgotten withdrawal costs only time: the key stays claimed until its hold
// ends, by an attempt that is never dispatched.
func (m *Machine) withdraw(attempt string) {
	if _, ok := m.withdrawn[attempt]; ok || len(m.withdrawn) >= m.limits.MaxClaims {
		return
	}
	m.addWithdrawn(attempt, m.now+m.limits.WithdrawnMillis)
}

func (m *Machine) addWithdrawn(attempt string, till int64) {
	m.withdrawn[attempt] = till
	heap.Push(&m.timers, &timer{at: till, attempt: attempt})
}

func (m *Machine) lookup(cmd Command) Result {
	rec, ok := m.claims[cmd.Key]
	if !ok {
		return Result{Status: NotFound}
	}
	return m.view(rec)
}

// expire advances the clock by at most MaxStepMillis, so that one leader's
// wrong clock cannot end all retention at once.
func (m *Machine) expire(cmd Command) Result {
	if cmd.NowMillis <= 0 {
		return Result{Status: Invalid}
	}
	before := m.now
	switch {
	case m.now == 0:
		m.now = cmd.NowMillis
		m.shift(cmd.NowMillis)
	case cmd.NowMillis > m.now:
		m.now = min(cmd.NowMillis, m.now+m.limits.MaxStepMillis)
	}
	invariant.Check(m.now >= before, "claim-clock-grows", "was %d, is %d", before, m.now)
	res := Result{Status: Done, LagMillis: max(cmd.NowMillis-m.now, 0)}
	for len(m.timers) > 0 && m.timers[0].at <= m.now {
		m.fire(m.timers[0], &res)
	}
	return res
}

// shift moves times that were set before the clock's first setting.
func (m *Machine) shift(by int64) {
	for _, rec := range m.claims {
		rec.HoldTill += by
		rec.KeepTill += by
	}
	for attempt := range m.withdrawn {
		m.withdrawn[attempt] += by
	}
	for _, t := range m.timers {
		t.at += by
	}
}

// fire handles the earliest timer.
func (m *Machine) fire(t *timer, res *Result) {
	switch {
	case t.rec == nil:
		heap.Pop(&m.timers)
		delete(m.withdrawn, t.attempt)
	case t.rec.Phase == phaseRunning:
		t.rec.Phase = phaseUnknown
		m.reset(t.rec)
		res.Expired++
	default:
		m.remove(t.rec)
		res.Forgotten++
	}
}
