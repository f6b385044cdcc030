package quarantine

import (
	"slices"
	"time"
)

const (
	// endRepeat is how long a host repeats an end in its reports: control hosts keep it longer.
	endRepeat = 15 * time.Second
	// clearedLifetime is how long the last begin of a suspect that was in quarantine is kept, so
	// that a host that was cut off does not bring its quarantine back.
	clearedLifetime = 10 * time.Minute
	// ageError is how much two reports of one time may differ: the time that a report takes
	// counts as none. Smaller differences are not taken over, as they would add up while
	// reports go round.
	ageError = time.Second
	// maxReported bounds the entries of each kind in a report that are read.
	maxReported = 512
)

// Report is what a host knows of ends and suspects. It is empty while no instance has ended
// and nothing is in quarantine.
type Report struct {
	Ends     []EndReport     `json:"ends,omitempty"`
	Begins   []BeginReport   `json:"begins,omitempty"`
	Verdicts []VerdictReport `json:"quarantine,omitempty"`
	Words    []WordReport    `json:"words,omitempty"`
}

// EndReport is the end of an instance.
type EndReport struct {
	Instance string    `json:"instance"`
	Born     int64     `json:"born"`
	AgeMS    int64     `json:"age_ms"`
	Suspects []Suspect `json:"blocks"` // suspects
}

// BeginReport is the last begin of a suspect that is in evidence.
type BeginReport struct {
	Suspect Suspect `json:"block"`
	AgeMS   int64   `json:"age_ms"`
}

// VerdictReport is a suspect in quarantine.
type VerdictReport struct {
	Suspect   Suspect `json:"block"`
	Ends      int     `json:"ends"`
	SinceMS   int64   `json:"since_ms"`            // age
	LastEndMS int64   `json:"last_end_ms"`         // age
	Probes    int     `json:"probes,omitempty"`    // granted so far
	ProbedMS  int64   `json:"probed_ms,omitempty"` // age of the last probe, 0 if none
	Apart     bool    `json:"apart,omitempty"`     // the ends that blamed it lie more than chanceSpan apart
}

// Empty reports whether there is nothing to tell.
func (r Report) Empty() bool { return len(r.Ends)+len(r.Begins)+len(r.Verdicts)+len(r.Words) == 0 }

// Report returns what the other hosts should know.
func (l *Ledger) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var out Report
	for in, e := range l.ends {
		if now.Sub(e.at) <= endRepeat {
			out.Ends = append(out.Ends, EndReport{Instance: in.ID, Born: in.Born, AgeMS: now.Sub(e.at).Milliseconds(), Suspects: e.list()})
		}
	}
	for b := range l.evidence() {
		if begin, ok := l.reportedBegin(b); ok && len(out.Begins) < maxReported {
			out.Begins = append(out.Begins, BeginReport{b, age(begin, now)})
		}
	}
	for b, v := range l.verdicts {
		out.Verdicts = append(out.Verdicts, v.report(b, now))
	}
	for b, w := range l.words {
		out.Words = append(out.Words, WordReport{Suspect: b, AgeMS: age(w.at, now), Hold: w.hold})
	}
	return out
}

// reportedBegin returns the begin of a suspect that the others may not know. A host leaves out
// what it has learned, so that reports do not go round. The caller holds l.mu.
func (l *Ledger) reportedBegin(b Suspect) (time.Time, bool) {
	if l.relay {
		begin := l.lastBegin(b)
		return begin, !begin.IsZero()
	}
	own, ended := l.begins[b.Kind()].last(b), l.formerly[b]
	if ended.After(own) {
		return ended, true
	}
	return own, own.After(l.learned[b])
}

// evidence returns the suspects whose begins matter: suspects of ends, and suspects that are or
// were in quarantine. The caller holds l.mu.
func (l *Ledger) evidence() map[Suspect]bool {
	out := map[Suspect]bool{}
	for _, e := range l.ends {
		for b := range e.suspects {
			out[b] = true
		}
	}
	for b := range l.verdicts {
		out[b] = true
	}
	for b := range l.formerly {
		out[b] = true
	}
	return out
}

func (v *verdict) report(b Suspect, now time.Time) VerdictReport {
	out := VerdictReport{Suspect: b, Ends: v.ends, SinceMS: age(v.since, now), LastEndMS: age(v.lastEnd, now), Probes: v.probes, Apart: v.apart}
	if !v.probedAt.IsZero() {
		out.ProbedMS = max(1, age(v.probedAt, now))
	}
	return out
}

// age returns the time since at in ms, rounded up.
func age(at, now time.Time) int64 {
	return int64((now.Sub(at) + time.Millisecond - 1) / time.Millisecond)
}

// ago returns the time of something with an age in ms.
func ago(ageMS int64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(max(ageMS, 0), maxAgeMS)) * time.Millisecond)
}

// maxAgeMS bounds an age that another host tells, to a day; maxCount bounds its counts.
const (
	maxAgeMS = 24 * 3600 * 1000
	maxCount = 1 << 20
)

// Learn records what other hosts have reported.
func (l *Ledger) Learn(r Report, now time.Time) {
	if r.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, e := range head(r.Ends) {
		changed = l.learnEnd(e, now) || changed
	}
	evidence := l.evidence()
	for _, b := range head(r.Begins) {
		if at := ago(b.AgeMS, now); evidence[b.Suspect] && at.After(l.learned[b.Suspect]) {
			l.learned[b.Suspect] = at
			changed = true
		}
	}
	for _, w := range head(r.Words) {
		changed = l.obey(w.Suspect, word{ago(w.AgeMS, now), w.Hold}) || changed
	}
	for _, v := range head(r.Verdicts) {
		changed = l.learnVerdict(v, now) || changed
	}
	l.expire(now)
	if changed {
		l.judge(now)
	}
}

func head[T any](list []T) []T { return list[:min(len(list), maxReported)] }

// learnEnd records an end with its suspects, and those of this host. It reports whether
// something is new. The caller holds l.mu.
func (l *Ledger) learnEnd(r EndReport, now time.Time) bool {
	in, at := Instance{r.Instance, r.Born}, ago(r.AgeMS, now)
	if now.Sub(at) > endLifetime {
		return false
	}
	_, known := l.ends[in]
	e := l.endOf(in, at)
	if e == nil {
		return false
	}
	added := e.add(r.Suspects)
	if p := l.pending[in]; p != nil {
		delete(l.pending, in)
		for b := range p.suspects {
			added = e.add([]Suspect{b}) || added
		}
	}
	return added || !known
}

// learnVerdict records a quarantine, unless the suspect has begun since its last end, and
// reports whether it is new. The caller holds l.mu.
func (l *Ledger) learnVerdict(r VerdictReport, now time.Time) (added bool) {
	r.Ends, r.Probes = min(max(r.Ends, 0), maxCount), min(max(r.Probes, 0), maxCount)
	lastEnd := ago(r.LastEndMS, now)
	if begin := l.lastBegin(r.Suspect); begin.After(lastEnd) && !l.words[r.Suspect].hold {
		if len(l.formerly) < maxVerdicts {
			l.formerly[r.Suspect] = begin // tells the host that reports the quarantine
		}
		return false
	}
	v := l.verdicts[r.Suspect]
	if v == nil {
		if len(l.verdicts) >= maxVerdicts {
			return false
		}
		added = true
		v = &verdict{since: ago(r.SinceMS, now), lastEnd: lastEnd, ends: r.Ends, probes: r.Probes, apart: r.Apart}
		l.blame(r.Suspect, v)
	}
	v.ends, v.probes = max(v.ends, r.Ends), max(v.probes, r.Probes)
	if since := ago(r.SinceMS, now); v.since.Sub(since) > ageError {
		v.since = since
	}
	if lastEnd.Sub(v.lastEnd) > ageError {
		v.lastEnd = lastEnd
	}
	if probed := ago(r.ProbedMS, now); r.ProbedMS > 0 && probed.Sub(v.probedAt) > ageError {
		v.probedAt = probed
	}
	return added
}

// Verdict is a suspect in quarantine.
type Verdict struct {
	Suspect Suspect
	Since   time.Time
	LastEnd time.Time
	Ends    int
	Probes  int
	// ByOperator is set while an operator holds the suspect.
	ByOperator bool
}

// public returns a verdict for others. The caller holds l.mu.
func (l *Ledger) public(b Suspect, v *verdict) Verdict {
	return Verdict{Suspect: b, Since: v.since, LastEnd: v.lastEnd, Ends: v.ends, Probes: v.probes, ByOperator: l.words[b].hold}
}

// Release is the end of a suspect's quarantine.
type Release struct {
	Suspect Suspect
	Ends    int
	Held    time.Duration
}

// Verdicts returns the suspects in quarantine, sorted by name.
func (l *Ledger) Verdicts() []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Verdict
	for b, v := range l.verdicts {
		out = append(out, l.public(b, v))
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		if a.Suspect < b.Suspect {
			return -1
		}
		return 1
	})
	return out
}

// noteBlamed and noteReleased keep a change for TakeChanges. Nobody takes those of a relay. The
// caller holds l.mu.
func (l *Ledger) noteBlamed(b Suspect, v *verdict) {
	if !l.relay {
		l.blamed = append(l.blamed, l.public(b, v))
	}
}

func (l *Ledger) noteReleased(r Release) {
	if !l.relay {
		l.released = append(l.released, r)
	}
}

// TakeChanges returns the suspects that came into quarantine or left it since the last call.
func (l *Ledger) TakeChanges() (blamed []Verdict, released []Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	blamed, released = l.blamed, l.released
	l.blamed, l.released = nil, nil
	return blamed, released
}
