// Package quarantine finds what ends each instance that runs it, and decides which requests may
// still be sent. It does no I/O and reads no clock. It answers two loads: prompts with one block
// that ends engines, which come at any host among sound ones that share their caller and their other
// blocks; and one request that ends instances and comes again at any host, among sound ones that may
// share all of its blocks.
//
// A suspect of an instance's end is a block of a request, or a request, that the instance had taken
// and had not begun to answer. A suspect that others begin to answer is cleared of all ends before
// that. It is put into quarantine when several ends, at different moments, have no better
// explanation; design note 0011 states the rule.
//
// Before that, requests with a suspect are contained: each host sends one at a time, and all hosts
// send theirs to the same instance.
//
// How many instances requests can end:
//
//	path                                 suspect               one request   all alike
//	plain service, safe                  the request           2             quarantine
//	plain service, unsafe                the request           1             quarantine
//	stream with shared blocks            the blocks and it     1, or 2 *     quarantine
//	stream without them, resumable       the request           2             quarantine
//	stream without them, not resumable   the request           1             quarantine
//	probe                                as above              1             granted one at a time
//	requests that differ each time       none that comes again as above      no bound
//	package proxy, plain service         the request           its attempts  quarantine of each host
//	package proxy, stream                none                  its attempts  no bound
//
// * 1 if it cannot be resumed or has a block that nobody was seen to begin lately.
package quarantine

import (
	"slices"
	"sync"
	"time"
)

// Instance is one start of an endpoint instance.
type Instance struct {
	ID   string
	Born int64 // Unix ms of its start
}

const (
	// pendingLifetime is how long a lost request waits for the sign that its instance has ended:
	// heartbeats of the next start arrive within seconds.
	pendingLifetime = 10 * time.Second
	// endLifetime is how long an end counts as evidence.
	endLifetime = time.Minute
	// SecondTryWait is how long a request that was lost with its instance waits for word that
	// its suspects are sound: two exchanges between hosts of a large deployment.
	SecondTryWait = 600 * time.Millisecond
	// fewHostsWait is the same for a suspect of KindRequest at up to fewHosts hosts: two of their
	// exchanges, which leaves time for a second try within a short deadline.
	fewHostsWait = 250 * time.Millisecond
	fewHosts     = 24
	// maxEnds and maxPending bound what is kept of ends, maxSuspectsPerEnd the suspects of one, of each
	// kind, so that the many requests of an engine leave room for its blocks.
	// Beyond maxKnownPerEnd suspects, those that were seen to begin lately are left out: an engine
	// under load has hundreds of requests that wait.
	maxEnds           = 128
	maxPending        = 256
	maxSuspectsPerEnd = 256
	maxKnownPerEnd    = 64
	// maxVerdicts bounds the quarantine. Beyond it no suspect is added.
	maxVerdicts = 256
)

// Ledger keeps the evidence and the verdicts that a host knows. It is safe for concurrent
// use.
type Ledger struct {
	mu       sync.Mutex
	begins   [kinds]beginMemory        // of this host
	learned  map[Suspect]time.Time     // newest begins at other hosts, of suspects in evidence
	pending  map[Instance]*pendingLoss // lost requests whose instances may have ended
	ends     map[Instance]*end         // within endLifetime
	suspects map[Suspect]suspicion     // derived from ends
	verdicts map[Suspect]*verdict      // quarantine
	testing  map[Suspect]*Request      // contained requests in flight
	waiting  map[*Request][]*sending   // attempts at instances that have not begun
	random   func() float64            // random number from [0, 1)
	phases   map[Suspect]float64       // random, of suspects
	formerly map[Suspect]time.Time     // the begin that ended a suspect's quarantine
	words    map[Suspect]word          // of operators
	hosts    int                       // entry hosts, 0 if unknown
	relay    bool                      // passes on the begins that it has learned
	released []Release                 // not taken by TakeChanges yet
	blamed   []Verdict                 // not taken by TakeChanges yet
}

type pendingLoss struct {
	address string
	at      time.Time
	suspectSet
}

// end is the end of an instance with its suspects.
type end struct {
	at time.Time // when the first host lost a request by it
	suspectSet
}

// suspectSet is a bounded set of suspects.
type suspectSet struct {
	suspects map[Suspect]bool
	count    [kinds]int // of them
}

func newSuspectSet() suspectSet { return suspectSet{suspects: map[Suspect]bool{}} }

// add adds suspects, at most maxSuspectsPerEnd of each kind, and reports whether there are new ones.
func (s *suspectSet) add(suspects []Suspect) (added bool) {
	for _, b := range suspects {
		if k := b.Kind(); !s.suspects[b] && s.count[k] < maxSuspectsPerEnd {
			s.suspects[b] = true
			s.count[k]++
			added = true
		}
	}
	return added
}

// New returns an empty Ledger; random returns random numbers from [0, 1).
func New(random func() float64) *Ledger {
	return &Ledger{
		random: random, phases: map[Suspect]float64{},
		learned: map[Suspect]time.Time{}, pending: map[Instance]*pendingLoss{}, ends: map[Instance]*end{},
		suspects: map[Suspect]suspicion{}, verdicts: map[Suspect]*verdict{}, testing: map[Suspect]*Request{}, waiting: map[*Request][]*sending{}, formerly: map[Suspect]time.Time{}, words: map[Suspect]word{},
	}
}

// SetHosts sets the number of entry hosts, 0 if it is unknown. Each sees a part of the begins.
func (l *Ledger) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(0, n)
}

// NewRelay returns the Ledger of a control host, which sends no requests and passes on what
// others report.
func NewRelay() *Ledger {
	l := New(func() float64 { return 0 })
	l.relay = true
	return l
}

// Request is a request's state in the Ledger. Its fields are guarded by the Ledger.
type Request struct {
	suspects []Suspect
	begun    bool      // an instance has begun to answer it
	lostAt   time.Time // when the last instance was lost that had it without having begun
	tests    []Suspect // suspects that it tests
	probe    Suspect   // suspect in quarantine that it probes, empty if none
}

// Request returns a request with the shared blocks of its prompt and its own name as suspects, the blocks first.
func (l *Ledger) Request(suspects []Suspect) *Request { return &Request{suspects: suspects} }

// Begun records that an instance has begun to answer: the request's suspects are sound.
func (l *Ledger) Begun(r *Request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.begun = true
	delete(l.waiting, r)
	l.finishTests(r)
	changed := false
	for k := range kinds {
		if slices.ContainsFunc(r.suspects, func(b Suspect) bool { return b.Kind() == k }) {
			l.begins[k].recordRequest(now)
		}
	}
	for _, b := range r.suspects {
		l.begins[b.Kind()].record(b, now)
		changed = changed || l.concerned(b)
	}
	if changed {
		l.judge(now)
	}
}

// Lost records that an instance's connection broke before it had begun to answer. That
// counts once Ended, or the start of another instance at its address, confirms the end.
func (l *Ledger) Lost(r *Request, in Instance, address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.begun || len(r.suspects) == 0 {
		return
	}
	if e := l.ends[in]; e != nil {
		e.add(l.likely(r.suspects, e.count, now))
		r.lostAt = now
		l.judge(now)
		return
	}
	p := l.pending[in]
	if p == nil {
		if len(l.pending) >= maxPending {
			return
		}
		p = &pendingLoss{address: address, at: now, suspectSet: newSuspectSet()}
		l.pending[in] = p
	}
	p.add(l.likely(r.suspects, p.count, now))
}

// likely returns the suspects to record for an end that has some of each kind already. The caller
// holds l.mu.
func (l *Ledger) likely(suspects []Suspect, have [kinds]int, now time.Time) []Suspect {
	return slices.DeleteFunc(slices.Clone(suspects), func(b Suspect) bool {
		return have[b.Kind()] >= maxKnownPerEnd && l.known(b, now)
	})
}

// Ended records that an instance's process has ended, by a request that was lost with it.
func (l *Ledger) Ended(r *Request, in Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.begun {
		r.lostAt = now
	}
	l.finishTests(r)
	l.confirm(in, now)
}

// Unexplained records that a request was lost and that nobody knows whether its instance has
// ended. One that tests or probes a suspect is then not sent to another instance without word of
// the suspect.
func (l *Ledger) Unexplained(r *Request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.begun && (len(r.tests) > 0 || r.probe != "") {
		r.lostAt = now
	}
}

// Unproven reports whether a request has a suspect that no instance was seen to begin with lately,
// or one that it tests or probes: another instance should not get it while the last one may
// have ended.
func (l *Ledger) Unproven(r *Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unknown := func(b Suspect) bool {
		// Most sound requests come once, so that nothing is known of them.
		return b.Kind() != KindRequest && !l.known(b, now)
	}
	return !r.begun && (len(r.tests) > 0 || r.probe != "" || slices.ContainsFunc(r.suspects, unknown))
}

// Started records that an instance with a later start is announced at an address: the one
// that was there before has ended.
func (l *Ledger) Started(address string, born int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for in, p := range l.pending {
		if p.address == address && in.Born < born {
			l.confirm(in, now)
		}
	}
}

// confirm turns the lost requests of an instance into evidence. The caller holds l.mu.
func (l *Ledger) confirm(in Instance, now time.Time) {
	p := l.pending[in]
	if p == nil { // other hosts may have lost requests that had not begun
		l.endOf(in, now)
		return
	}
	delete(l.pending, in)
	e := l.endOf(in, p.at)
	if e == nil {
		return
	}
	for b := range p.suspects {
		e.add([]Suspect{b})
	}
	l.judge(now)
}

// endOf returns the end of an instance, which a host noticed at a time, and adds it if it is
// new; nil if there are too many. The caller holds l.mu.
func (l *Ledger) endOf(in Instance, at time.Time) *end {
	e := l.ends[in]
	if e == nil {
		if len(l.ends) >= maxEnds {
			return nil
		}
		e = &end{at: at, suspectSet: newSuspectSet()}
		l.ends[in] = e
	}
	if at.Before(e.at) {
		e.at = at
	}
	return e
}

// HasEnded reports whether an instance is known to have ended lately.
func (l *Ledger) HasEnded(id string, born int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends[Instance{id, born}] != nil
}

// HasEvidence reports whether instances have ended lately, so that word of their suspects is urgent.
func (l *Ledger) HasEvidence() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends) > 0
}

// Pending reports whether the sign of an instance's end is awaited.
func (l *Ledger) Pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

// concerned reports whether a begin of a suspect changes what is believed. The caller holds
// l.mu.
func (l *Ledger) concerned(b Suspect) bool {
	_, suspect := l.suspects[b]
	return suspect || l.verdicts[b] != nil
}

// lastBegin returns when a suspect was last seen to begin at any host or released by an operator,
// zero if it was not. The caller holds l.mu.
func (l *Ledger) lastBegin(b Suspect) time.Time {
	last := l.begins[b.Kind()].last(b)
	for _, at := range []time.Time{l.learned[b], l.formerly[b]} {
		if at.After(last) {
			last = at
		}
	}
	if w := l.words[b]; !w.hold && w.at.After(last) {
		last = w.at
	}
	return last
}

// expire drops what is too old to count. The caller holds l.mu.
func (l *Ledger) expire(now time.Time) {
	for in, p := range l.pending {
		if now.Sub(p.at) > pendingLifetime {
			delete(l.pending, in)
		}
	}
	l.expireWords(now)
	dropped := false
	for in, e := range l.ends {
		if now.Sub(e.at) > endLifetime {
			delete(l.ends, in)
			dropped = true
		}
	}
	if dropped {
		l.judge(now)
	}
	for b, at := range l.formerly {
		if now.Sub(at) > clearedLifetime {
			delete(l.formerly, b)
		}
	}
	for b, at := range l.learned {
		if !l.concerned(b) && now.Sub(at) > beginPeriod+endLifetime {
			delete(l.learned, b)
		}
	}
}
