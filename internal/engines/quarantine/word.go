package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// word is an operator's word on a suspect: hold it in quarantine, or release it as sound. The
// newest one counts, over all evidence before it.
type word struct {
	at   time.Time
	hold bool
}

// WordReport is an operator's word.
type WordReport struct {
	Suspect Suspect `json:"block"`
	AgeMS   int64   `json:"age_ms"`
	Hold    bool    `json:"hold"`
}

// Hold puts a suspect into quarantine until an operator releases it, whatever begins meanwhile.
// It returns false if there are too many.
func (l *Ledger) Hold(b Suspect, now time.Time) bool { return l.say(b, word{now, true}, now) }

// Release takes a suspect out of quarantine. It counts as one that was seen to begin: only later
// ends can blame it.
func (l *Ledger) Release(b Suspect, now time.Time) bool { return l.say(b, word{now, false}, now) }

func (l *Ledger) say(b Suspect, w word, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.obey(b, w)
	l.judge(now)
	last, known := l.words[b]
	return known && last.hold == w.hold
}

// obey records a word, unless it is older than another one or there are too many. The caller
// holds l.mu and judges afterwards.
func (l *Ledger) obey(b Suspect, w word) bool {
	last, known := l.words[b]
	if known && (!w.at.After(last.at) || w.hold == last.hold && w.at.Sub(last.at) <= ageError) || !known && len(l.words) >= maxVerdicts {
		return false
	}
	l.words[b] = w
	return true
}

// hold adds the verdicts that operators have asked for. The caller holds l.mu.
func (l *Ledger) hold() {
	for b, w := range l.words {
		if !w.hold || l.verdicts[b] != nil || len(l.verdicts) >= maxVerdicts {
			continue
		}
		l.blame(b, &verdict{since: w.at, lastEnd: w.at})
	}
}

func (l *Ledger) expireWords(now time.Time) {
	for b, w := range l.words {
		if !w.hold && now.Sub(w.at) > clearedLifetime {
			delete(l.words, b)
		}
	}
}

// Entry is a suspect in quarantine with its evidence.
type Entry struct {
	Suspect    Suspect    `json:"block"`
	ByOperator bool       `json:"by_operator"`
	SinceMS    int64      `json:"since_ms"` // age
	Ends       int        `json:"ends"`     // instances that ended under it
	Probes     int        `json:"probes"`
	Instances  []EndEntry `json:"instances,omitempty"` // those of the last minute
}

// EndEntry is an end of which a suspect is suspect.
type EndEntry struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born"` // Unix ms of its start
	AgeMS    int64  `json:"age_ms"`
	Suspects int    `json:"suspects"` // suspects that the lost requests had
}

// Entries returns the suspects in quarantine, sorted by name.
func (l *Ledger) Entries(now time.Time) []Entry {
	var out []Entry
	for _, v := range l.Verdicts() {
		out = append(out, Entry{Suspect: v.Suspect, ByOperator: v.ByOperator, SinceMS: age(v.Since, now), Ends: v.Ends, Probes: v.Probes, Instances: l.endsUnder(v.Suspect, now)})
	}
	return out
}

func (l *Ledger) endsUnder(b Suspect, now time.Time) []EndEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []EndEntry
	for in, e := range l.ends {
		if e.suspects[b] {
			out = append(out, EndEntry{Instance: in.ID, Born: in.Born, AgeMS: age(e.at, now), Suspects: len(e.suspects)})
		}
	}
	slices.SortFunc(out, func(a, b EndEntry) int { return cmp.Compare(b.AgeMS, a.AgeMS) })
	return out
}
