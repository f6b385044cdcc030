package forward

import (
	"sync"
	"time"
)

// arrivals counts how often one request reached instances, and charges the retry budget
// for each arrival beyond the first. The platform counts these:
//
//	What reaches an instance                                       Beyond the first?
//	first prefill that an engine accepts                           never
//	prefill that an engine refuses, or whose answer is lost        if another arrival was counted
//	prefill after an accepted one                                  if another arrival was counted
//	run at a decode engine, with a handle or without               if another arrival was counted
//	the same handle offered to another decode engine               always
//	run after a refusal, a lost answer, an error or a silence      always
//	resumption of a broken stream                                  always
//	plain request after a refusal, a lost answer or an error       always
//	request whose connection could not be made                     does not arrive
//	call that frees a handle                                       is no request
//
// A charge is reserved before the request is sent, as only the answer tells whether it
// counts. What is not used serves the next attempt, or is returned at the end.
type arrivals struct {
	budget *RetryBudget

	mu       sync.Mutex
	counted  int
	accepted bool     // an engine has accepted a prefill
	charges  []charge // taken from the budget
}

// needed returns how many charges cover n further arrivals. The caller holds a.mu.
func (a *arrivals) needed(n int) int { return max(0, a.counted+n-1) }

// reserve charges the budget until n further arrivals are covered. It reports whether they
// are, and takes nothing if not.
func (a *arrivals) reserve(n int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	missing := a.needed(n) - len(a.charges)
	if missing <= 0 {
		return true
	}
	taken, ok := a.budget.take(missing, now)
	if !ok {
		return false
	}
	for range missing {
		a.charges = append(a.charges, taken)
	}
	return true
}

// reservePrefill covers a prefill and the run that follows it.
func (a *arrivals) reservePrefill(now time.Time) bool {
	a.mu.Lock()
	repeated := a.accepted
	a.mu.Unlock()
	if repeated {
		return a.reserve(2, now)
	}
	return a.reserve(1, now)
}

// sending counts a request that is about to be sent.
func (a *arrivals) sending() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counted++
}

// any reports whether the request may have arrived at an instance.
func (a *arrivals) any() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counted > 0 || a.accepted
}

// notSent takes back the last one: its connection could not be made.
func (a *arrivals) notSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counted--
}

// prefillAccepted takes back the last one if it is the first prefill that an engine accepts.
func (a *arrivals) prefillAccepted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.accepted {
		a.accepted = true
		a.counted--
	}
}

// settle returns the charges that were not used. No arrival follows.
func (a *arrivals) settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for unused := len(a.charges) - a.needed(0); unused > 0; unused-- {
		last := len(a.charges) - 1
		a.budget.refund(a.charges[last])
		a.charges = a.charges[:last]
	}
}
