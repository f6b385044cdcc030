package quarantine

import (
	"slices"
	"time"
)

// Answer is whether a request may be sent to an instance.
type Answer uint8

// Answers of Admit.
const (
	Pass    Answer = iota
	Contain        // to the same instance as all others with the suspect in Decision.Suspect
	Wait           // ask again soon: another request tests the suspect, or word of it is due
	Refuse         // the suspect is in quarantine, or a second try would risk another instance
)

// Decision is an Answer with its reason.
type Decision struct {
	Answer  Answer
	Suspect Suspect // that decided; empty with Pass
	// Quarantined is set if the suspect is in quarantine.
	Quarantined bool
	// RetryAfter is the time until a refused request may be tried again, 0 if unknown.
	RetryAfter time.Duration
}

// Admit decides whether a request may be sent now. A request that tests or probes a suspect
// holds it until Begun, Lost with Ended, or Done.
func (l *Ledger) Admit(r *Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.begun || len(r.suspects) == 0 {
		return Decision{}
	}
	if d, ok := l.quarantined(r, now); ok {
		return d
	}
	if b, ok := l.risksSecondTry(r); ok {
		switch waited := now.Sub(r.lostAt); {
		case b.Kind() == KindRequest && waited >= l.requestWait() && l.suspects[b].moments == 1:
			// No other end has the request: it was probably beside the one that ended the instance.
		case waited < SecondTryWait && (b.Kind() == KindBlock || waited < l.requestWait()):
			return Decision{Answer: Wait, Suspect: b}
		default:
			return Decision{Answer: Refuse, Suspect: b}
		}
	}
	return l.contain(r, now)
}

// quarantined refuses a request that has a suspect in quarantine, unless this host was granted a
// probe of it. The caller holds l.mu.
func (l *Ledger) quarantined(r *Request, now time.Time) (Decision, bool) {
	for _, b := range r.suspects {
		v := l.verdicts[b]
		if v == nil || r.probe == b {
			continue
		}
		v.wantedAt = now
		if now.Before(v.grantEnd) && r.lostAt.IsZero() {
			v.grantEnd = time.Time{}
			r.probe = b
			continue
		}
		return Decision{Answer: Refuse, Suspect: b, Quarantined: true, RetryAfter: max(probePause(b.Kind(), 0), v.probeAfter(b).Sub(now))}, true
	}
	if r.probe == "" {
		return Decision{}, false
	}
	if !r.lostAt.IsZero() {
		return Decision{Answer: Refuse, Suspect: r.probe, Quarantined: true, RetryAfter: probePause(r.probe.Kind(), 0)}, true
	}
	return Decision{Answer: Contain, Suspect: r.probe}, true
}

// requestWait returns how long a request that was lost with its instance waits for word of other
// ends under it. The caller holds l.mu.
func (l *Ledger) requestWait() time.Duration {
	if l.hosts == 0 || l.hosts > fewHosts {
		return SecondTryWait
	}
	return fewHostsWait
}

// risksSecondTry reports whether a request that was lost with its instance has a suspect that
// is not known to be sound. The caller holds l.mu.
func (l *Ledger) risksSecondTry(r *Request) (Suspect, bool) {
	if r.lostAt.IsZero() {
		return "", false
	}
	for _, b := range r.suspects {
		if s, suspect := l.suspects[b]; suspect && s.contained() {
			return b, true
		}
	}
	return "", false
}

// contain lets one request at a time test each suspect. The caller holds l.mu.
func (l *Ledger) contain(r *Request, now time.Time) Decision {
	var tests []Suspect
	for _, b := range r.suspects {
		s, suspect := l.suspects[b]
		if !suspect || !s.contained() {
			continue
		}
		if other := l.testing[b]; other != nil && other != r {
			return Decision{Answer: Wait, Suspect: b}
		}
		if next := s.nextTest(b.Kind(), l.phases[b]); l.testing[b] != r && now.Before(next) {
			left := next.Sub(now)
			if left <= moment {
				return Decision{Answer: Wait, Suspect: b}
			}
			return Decision{Answer: Refuse, Suspect: b, RetryAfter: left}
		}
		tests = append(tests, b)
	}
	if len(tests) == 0 {
		return Decision{}
	}
	for _, b := range tests {
		l.testing[b] = r
		if !slices.Contains(r.tests, b) {
			r.tests = append(r.tests, b)
		}
	}
	return Decision{Answer: Contain, Suspect: l.strongest(tests)}
}

// strongest returns the suspect with the most against it. The caller holds l.mu.
func (l *Ledger) strongest(suspects []Suspect) Suspect {
	best := suspects[0]
	for _, b := range suspects[1:] {
		if s, t := l.suspects[b], l.suspects[best]; s.moments > t.moments || s.moments == t.moments && b < best {
			best = b
		}
	}
	return best
}

// withdraw withdraws the requests with a suspect that wait at instances, so that these do not
// begin to answer them. The caller holds l.mu.
func (l *Ledger) withdraw(b Suspect) {
	for r, attempts := range l.waiting {
		if r.probe != b && slices.Contains(r.suspects, b) {
			delete(l.waiting, r)
			for _, a := range attempts {
				go a.withdraw()
			}
		}
	}
}

// sending is an attempt at an instance. A request has several while one of them is silent.
type sending struct{ withdraw func() }

// QuarantinedSuspect returns the suspect of a request that is in quarantine, empty if none is.
func (l *Ledger) QuarantinedSuspect(r *Request) Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range r.suspects {
		if l.verdicts[b] != nil {
			return b
		}
	}
	return ""
}

// Sent records that a request goes to an instance that may begin to answer it. If one of its
// suspects comes into quarantine before that, withdraw is called, once and without a lock held.
// The returned function says that the attempt is over.
func (l *Ledger) Sent(r *Request, withdraw func()) (over func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.begun || len(r.suspects) == 0 {
		return func() {}
	}
	attempt := &sending{withdraw}
	l.waiting[r] = append(l.waiting[r], attempt)
	for _, b := range r.suspects {
		if l.verdicts[b] != nil {
			l.withdraw(b)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		left := slices.DeleteFunc(l.waiting[r], func(a *sending) bool { return a == attempt })
		if l.waiting[r] = left; len(left) == 0 {
			delete(l.waiting, r)
		}
	}
}

// Done ends a request.
func (l *Ledger) Done(r *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishTests(r)
}

// finishTests lets other requests test the suspects that a request has tested. The caller
// holds l.mu.
func (l *Ledger) finishTests(r *Request) {
	for _, b := range r.tests {
		if l.testing[b] == r {
			delete(l.testing, b)
		}
	}
	r.tests = nil
}
