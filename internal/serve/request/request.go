// Package request is the state machine of a caller's request: its states, the legal
// transitions, and the closed set of reasons for ending without an answer. It does no I/O
// and reads no clock.
package request

import (
	"sync"

	"filberthook/internal/process/invariant"
)

// State is a state of a request.
type State uint8

// States. Answered, Refused and Unknown are final.
const (
	Received   State = iota // read from the caller
	Admitted                // passed authentication and limits
	Dispatched              // an attempt is in progress at an endpoint
	Streaming               // part of the answer has been passed on
	Answered                // the whole answer has been passed on
	Refused                 // ended without an answer; whether it ran is known
	Unknown                 // ended without an answer; whether it ran is not known
)

var stateNames = [...]string{"received", "admitted", "dispatched", "streaming", "answered", "refused", "unknown"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Final reports whether the state has no transitions to another one.
func (s State) Final() bool { return s >= Answered }

// transitions lists the legal transitions.
var transitions = map[State][]State{
	Received:   {Admitted, Answered, Refused, Unknown}, // Answered and Unknown: from the stored outcome of an earlier send
	Admitted:   {Dispatched, Answered, Refused, Unknown},
	Dispatched: {Dispatched, Streaming, Answered, Refused, Unknown},
	Streaming:  {Dispatched, Answered, Refused, Unknown},
}

// LegalTransition reports whether a request may change between two states.
func LegalTransition(from, to State) bool {
	for _, s := range transitions[from] {
		if s == to {
			return true
		}
	}
	return false
}

// attempt is one dispatch to an endpoint instance.
type attempt struct {
	open         bool // its answer would be accepted
	sent         bool // a byte may have been sent
	provenNotRun bool // the instance said that it did not run the attempt
}

// Request tracks the state and the attempts of one caller request. Its methods are safe
// for concurrent use.
type Request struct {
	id string

	mu         sync.Mutex // guards the fields below
	repeatable bool       // changed before admission only
	claimed    bool       // the durable claim of a non-repeatable request was granted
	state      State
	attempts   map[string]*attempt
	outcome    *Refusal
}

// New returns a request in state Received. Unless AllowRepeats is called, it is not
// dispatched again after a byte of an attempt may have been sent.
func New(id string) *Request {
	return &Request{id: id, attempts: make(map[string]*attempt, 1)}
}

// AllowRepeats marks the request as one that may run more than once. The request must be
// in state Received.
func (r *Request) AllowRepeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	invariant.Check(r.state == Received, "repeats-decided-first", "request %s: in state %s", r.id, r.state)
	r.repeatable = true
}

// ID returns the request's identifier.
func (r *Request) ID() string { return r.id }

// Claimed records that the request's durable claim was granted. A non-repeatable request is
// not dispatched without it.
func (r *Request) Claimed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimed = true
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repeatable
}

// State returns the current state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Outcome returns the refusal that ended the request, or nil.
func (r *Request) Outcome() *Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome
}

// Admit records that the request passed authentication and limits.
func (r *Request) Admit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.transition(Admitted)
}

// Dispatch opens a new attempt and closes all earlier ones, so that their answers are no
// longer accepted. The attempt's identifier must be new.
func (r *Request) Dispatch(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		a.open = false
	}
	r.dispatch(attemptID)
}

// DispatchHedge opens a second attempt and keeps the earlier one open. It returns false,
// and opens none, if the request has been answered meanwhile.
func (r *Request) DispatchHedge(attemptID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatched {
		return false
	}
	r.dispatch(attemptID)
	return true
}

// dispatch expects r.mu to be held.
func (r *Request) dispatch(attemptID string) {
	_, seen := r.attempts[attemptID]
	invariant.Check(!seen, "attempt-id-unique", "request %s: attempt %s dispatched twice", r.id, attemptID)
	invariant.Check(r.repeatable || r.claimed, "claim-before-dispatch",
		"request %s: attempt %s dispatched without a claim", r.id, attemptID)
	invariant.Check(r.repeatable || !r.mayHaveRun(), "at-most-once",
		"request %s: attempt %s dispatched after a byte of an earlier one may have been sent", r.id, attemptID)
	r.transition(Dispatched)
	r.attempts[attemptID] = &attempt{open: true}
}

// Sent records that a byte of the attempt may have been sent to the instance.
func (r *Request) Sent(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[attemptID]; a != nil {
		a.sent = true
	}
}

// ProvenNotRun records the instance's statement that it did not run the attempt.
func (r *Request) ProvenNotRun(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[attemptID]; a != nil {
		a.provenNotRun = true
	}
}

// Accepts reports whether an answer with this attempt identifier belongs to
// an open attempt.
func (r *Request) Accepts(attemptID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attempts[attemptID]
	return !r.state.Final() && a != nil && a.open
}

// MayHaveRun reports whether any attempt may have run at an endpoint.
func (r *Request) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun()
}

// mayHaveRun expects r.mu to be held.
func (r *Request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if a.sent && !a.provenNotRun {
			return true
		}
	}
	return false
}

// Stream records that part of the open attempt's answer was passed on.
func (r *Request) Stream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Streaming {
		r.transition(Streaming)
	}
}

// Answer records that the whole answer was passed on.
func (r *Request) Answer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.transition(Answered)
}

// Refuse ends the request without an answer. Disposition NotRun is allowed only if no
// attempt may have run.
func (r *Request) Refuse(refusal *Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	invariant.Check(refusal.Disposition != NotRun || !r.mayHaveRun(), "true-not-run",
		"request %s: refusal %s says not_run, but an attempt may have run", r.id, refusal.Code)
	if refusal.Disposition == MayHaveRun {
		r.transition(Unknown)
	} else {
		r.transition(Refused)
	}
	r.outcome = refusal
}

// transition expects r.mu to be held.
func (r *Request) transition(to State) {
	invariant.Check(LegalTransition(r.state, to), "request-move-legal", "request %s: %s to %s", r.id, r.state, to)
	r.state = to
}
