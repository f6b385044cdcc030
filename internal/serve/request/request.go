// Package request holds the life of one caller request: its states, the legal
// moves between them, and the closed set of reasons by which it can end without
// its answer. It makes no calls and reads no clock.
package request

import (
	"sync"

	"filberthook/internal/process/invariant"
)

// State is a step in a request's life.
type State uint8

// States. Answered, Refused and Unknown are final.
const (
	Received   State = iota // read from the caller
	Admitted                // passed authentication and limits
	Dispatched              // an attempt is under way at an endpoint
	Streaming               // part of the answer has been passed on
	Answered                // the whole answer has been passed on
	Refused                 // ended without its answer; whether it ran is known
	Unknown                 // ended without its answer; whether it ran is not known
)

var stateNames = [...]string{"received", "admitted", "dispatched", "streaming", "answered", "refused", "unknown"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Final reports whether no move leads out of the state.
func (s State) Final() bool { return s >= Answered }

// transitions lists the legal transitions.
var transitions = map[State][]State{
	Received:   {Admitted, Answered, Refused, Unknown}, // Answered and Unknown: by the stored outcome of an earlier send
	Admitted:   {Dispatched, Answered, Refused, Unknown},
	Dispatched: {Dispatched, Streaming, Answered, Refused, Unknown},
	Streaming:  {Dispatched, Answered, Refused, Unknown},
}

// LegalTransition reports whether a request may move between two states.
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
	open         bool // its answer is accepted
	sent         bool // a byte may have left
	provenNotRun bool // the instance said that it did not run the attempt
}

// Request is the aggregate of one caller request. Its methods may be called
// from several goroutines.
type Request struct {
	id string

	mu         sync.Mutex // guards the fields below
	repeatable bool       // set before admission only
	claimed    bool       // the durable claim of a non-repeatable request is granted
	state      State
	attempts   map[string]*attempt
	outcome    *Refusal
}

// New returns a request in state Received. Until AllowRepeats it is never
// dispatched again after a byte of an attempt may have left.
func New(id string) *Request {
	return &Request{id: id, attempts: make(map[string]*attempt, 1)}
}

// AllowRepeats marks the request as one that may run more than once. Only a
// received request can be marked.
func (r *Request) AllowRepeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	invariant.Check(r.state == Received, "repeats-decided-first", "request %s: in state %s", r.id, r.state)
	r.repeatable = true
}

// ID returns the request's identifier.
func (r *Request) ID() string { return r.id }

// Claimed records that the request's durable claim was granted. A
// non-repeatable request is not dispatched without it.
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

// State returns the present state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Outcome returns the refusal that ended the request, nil when there is none.
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

// Dispatch opens a new attempt in place of all earlier ones, whose answers are
// not accepted any more. The attempt's identifier must be new.
func (r *Request) Dispatch(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		a.open = false
	}
	r.dispatch(attemptID)
}

// DispatchHedge opens a new attempt beside those that are open. It returns
// false, and opens none, when one of them has answered the request meanwhile.
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
		"request %s: attempt %s dispatched after a byte of an earlier one may have left", r.id, attemptID)
	r.transition(Dispatched)
	r.attempts[attemptID] = &attempt{open: true}
}

// Sent records that a byte of the attempt may have left for the instance.
func (r *Request) Sent(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[attemptID]; a != nil {
		a.sent = true
	}
}

// ProvenNotRun records the instance's word that it did not run the attempt.
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

// Refuse ends the request without its answer. The disposition NotRun must be
// true of every attempt.
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
