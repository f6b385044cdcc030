package quarantine

import (
	"slices"
	"time"

	"filberthook/internal/process/saturate"
)

const (
	// moment is the time within which ends count as one: what ends several instances together,
	// such as a loss of power, is not several independent reasons.
	moment = 50 * time.Millisecond
	// endsToBlame is how many ends, at different moments, put a suspect into quarantine that was
	// not seen to begin within beginPeriod before them.
	endsToBlame = 3
	// endsToBlameKnown and knownSpan apply to a suspect that was: so many ends over so long
	// without a begin, while after endsOthersSurvive of them most other suspects of the lost
	// requests began at some host, and all hosts together saw othersBegun requests begin, by
	// the part that this one saw. A suspect that many requests share begins somewhere meanwhile.
	endsToBlameKnown  = 4
	knownSpan         = 1500 * time.Millisecond
	endsOthersSurvive = 3
	othersBegun       = 16
	// Where there were ends without the suspect meanwhile, instances may end for another reason,
	// and some of these ends take along any request: it is blamed by one end more if it is in one
	// of blamedShare ends (of two bad suspects one is), and by endsBeyondChance in any case.
	blamedShare      = 2
	endsBeyondChance = 5
	// firstTestSpace is the least time from an end to the next test of a suspect.
	firstTestSpace = time.Second
	// firstProbeAfter is how long a suspect is in quarantine before the first probe. Each probe
	// doubles the time to the next one, up to maxProbeAfter.
	firstProbeAfter = 10 * time.Second
	maxProbeAfter   = 10 * time.Minute
	// Few requests are lost with each end of a plain instance, so three ends can blame a sound one that
	// its caller repeated while instances ended one after the other. Such ends lie within chanceSpan,
	// and the first probe comes early then. Other probes come late.
	chanceSpan              = 1500 * time.Millisecond
	firstRequestProbeAfter  = 4 * time.Second
	secondRequestProbeAfter = time.Minute
)

// suspicion is what the unexplained ends say against one suspect: those that have no suspect in
// quarantine among their suspects.
type suspicion struct {
	moments     int       // at which instances ended, since the suspect last began
	first, last time.Time // of these
	known       bool      // the suspect had begun within beginPeriod before the first
	latestBegin time.Time
	allMoments  int // of unexplained ends since the first
	survived    int // of moments, after which most other suspects of the same end began
	others      int // requests of all hosts that began between the first and the last, as far as known
}

// contained reports whether requests with the suspect are sent one at a time.
func (s suspicion) contained() bool { return s.moments >= 2 || s.moments == 1 && !s.known }

// convincing reports whether the suspect is put into quarantine.
func (s suspicion) convincing() bool {
	share := s.moments*blamedShare >= s.allMoments
	switch {
	case s.known:
		return share && s.moments >= endsToBlameKnown && s.last.Sub(s.first) >= knownSpan && s.survived >= endsOthersSurvive && s.others >= othersBegun
	case s.moments == s.allMoments:
		return s.moments >= endsToBlame
	case share:
		return s.moments > endsToBlame
	default:
		return s.moments >= endsBeyondChance
	}
}

// nextTest returns when the next request with the suspect may be sent: each test that ends an
// instance doubles the time to the next, so that the instances that are left serve sound
// requests meanwhile. Hosts begin at random phases, so that one tests first.
func (s suspicion) nextTest(k Kind, phase float64) time.Time {
	moments := s.moments
	if k == KindRequest {
		if moments--; moments < 1 {
			// Most are sound and were lost beside another one. An end before would be of the same moment.
			return s.last.Add(moment)
		}
	}
	if s.known {
		if moments = s.survived; moments < 2 {
			return time.Time{} // requests may be few, or many may share it
		}
	}
	if moments < 1 {
		return time.Time{}
	}
	space := float64(firstTestSpace << min(moments-1, endsToBlame))
	return s.last.Add(saturate.Nanoseconds(space * (1 + phase)))
}

// verdict is a suspect's quarantine.
type verdict struct {
	since    time.Time
	lastEnd  time.Time
	ends     int  // that blamed the suspect, and those since
	apart    bool // the ends that blamed it lie more than chanceSpan apart
	probes   int
	probedAt time.Time // last probe that was granted, as far as known
	wantedAt time.Time // last request that was refused for it here
	grantEnd time.Time // until when this host may send the probe that it was granted
}

// probeAfter returns when the next probe of a suspect is due.
func (v *verdict) probeAfter(b Suspect) time.Time {
	from := v.since
	if v.probedAt.After(from) {
		from = v.probedAt
	}
	return from.Add(v.pause(b))
}

// pause returns the time from the verdict, or from the last probe, to the next one.
func (v *verdict) pause(b Suspect) time.Duration {
	if b.Kind() == KindRequest && v.apart {
		return probePause(KindRequest, v.probes+1)
	}
	return probePause(b.Kind(), v.probes)
}

// probePause returns the time to the next probe after a number of them.
func probePause(k Kind, probes int) time.Duration {
	if k == KindBlock {
		return min(firstProbeAfter<<min(probes, 10), maxProbeAfter)
	}
	return [...]time.Duration{firstRequestProbeAfter, secondRequestProbeAfter, maxProbeAfter}[min(max(probes, 0), 2)]
}

// judge derives suspicions and verdicts from the evidence. The caller holds l.mu.
func (l *Ledger) judge(now time.Time) {
	l.release(now)
	l.hold()
	for {
		l.suspects = l.weigh()
		l.drawPhases()
		b, ok := l.mostConvincing()
		if !ok || len(l.verdicts) >= maxVerdicts {
			return
		}
		s := l.suspects[b]
		v := &verdict{since: now, lastEnd: s.last, ends: s.moments, apart: s.last.Sub(s.first) > chanceSpan}
		l.blame(b, v)
	}
}

// blame adds a verdict. The caller holds l.mu.
func (l *Ledger) blame(b Suspect, v *verdict) {
	l.verdicts[b] = v
	l.noteBlamed(b, v)
	l.withdraw(b)
}

// release ends the quarantine of suspects that began after their last end, except those that an
// operator holds.
func (l *Ledger) release(now time.Time) {
	for b, v := range l.verdicts {
		for _, e := range l.ends {
			if e.suspects[b] && e.at.After(v.lastEnd) {
				v.lastEnd = e.at
				v.ends++
			}
		}
		if begin := l.lastBegin(b); begin.After(v.lastEnd) && !l.words[b].hold {
			delete(l.verdicts, b)
			l.formerly[b] = begin
			l.noteReleased(Release{Suspect: b, Ends: v.ends, Held: now.Sub(v.since)})
		}
	}
}

// weigh returns the suspicions that the unexplained ends give rise to. An end with a suspect
// in quarantine is explained. One with a suspect that was never seen to begin says nothing
// against the suspects that were; a request of that sort speaks for requests only.
func (l *Ledger) weigh() map[Suspect]suspicion {
	out := map[Suspect]suspicion{}
	all := momentCount{count: map[string]int{}, latest: map[string]time.Time{}}
	ends := l.unexplained()
	inEnds := countEnds(ends)
	for _, e := range ends {
		all.add(e)
		var explains [kinds]bool // by an unknown suspect, what is known
		for b := range e.suspects {
			switch {
			case l.known(b, e.at) || !l.lastBegin(b).Before(e.at):
			case b.Kind() == KindBlock:
				explains[KindBlock], explains[KindRequest] = true, true
			case inEnds[b] > 1: // a request that was lost once explains no other end
				// It does not speak for blocks, as it may be the second try of a request with a bad one.
				explains[KindRequest] = true
			}
		}
		othersBegan := l.othersBegan(e)
		for b := range e.suspects {
			begin := l.lastBegin(b)
			if !begin.Before(e.at) || explains[b.Kind()] && l.known(b, e.at) {
				continue
			}
			s := out[b]
			if s.moments == 0 {
				s = suspicion{first: e.at, known: l.known(b, e.at), latestBegin: begin, allMoments: all.count[b.scope()] - 1}
			}
			if s.moments == 0 || e.at.Sub(s.last) > moment {
				s.moments++
				s.last = e.at
				if othersBegan {
					s.survived++
				}
			}
			out[b] = s
		}
	}
	for b, s := range out {
		s.allMoments = all.count[b.scope()] - s.allMoments // those since the first
		s.others = l.begins[b.Kind()].requestsBetween(s.first, s.last) * max(1, l.hosts)
		out[b] = s
	}
	return out
}

// momentCount counts the moments at which instances ended, by scope.
type momentCount struct {
	count  map[string]int
	latest map[string]time.Time
}

// add adds an end that is not before those that were added.
func (m momentCount) add(e *end) {
	for scope := range e.scopes() {
		if m.count[scope] == 0 || e.at.Sub(m.latest[scope]) > moment {
			m.count[scope]++
			m.latest[scope] = e.at
		}
	}
}

// countEnds returns in how many ends each suspect is.
func countEnds(ends []*end) map[Suspect]int {
	out := map[Suspect]int{}
	for _, e := range ends {
		for b := range e.suspects {
			out[b]++
		}
	}
	return out
}

// othersBegan reports whether most suspects of an end, without one that did not, were seen to begin
// after it; if it has a single one, whether any request did at this host. Requests do not count beside
// blocks: most come once, so that they are not seen to begin. The caller holds l.mu.
func (l *Ledger) othersBegan(e *end) bool {
	list := e.list()
	if e.count[KindBlock] > 0 {
		list = slices.DeleteFunc(list, func(b Suspect) bool { return b.Kind() != KindBlock })
	}
	if len(list) == 1 {
		return l.begins[list[0].Kind()].lastRequest().After(e.at)
	}
	begun := 0
	for _, b := range list {
		if l.lastBegin(b).After(e.at) {
			begun++
		}
	}
	return begun > 0 && begun*3 >= (len(list)-1)*2
}

// drawPhases draws the phases of new suspects and drops those of others.
func (l *Ledger) drawPhases() {
	for b := range l.phases {
		if _, suspect := l.suspects[b]; !suspect {
			delete(l.phases, b)
		}
	}
	for b := range l.suspects {
		if _, drawn := l.phases[b]; !drawn {
			l.phases[b] = l.random()
		}
	}
}

// known reports whether a suspect was seen to begin within beginPeriod before a time.
func (l *Ledger) known(b Suspect, at time.Time) bool {
	begin := l.lastBegin(b)
	return !begin.IsZero() && at.Sub(begin) <= beginPeriod
}

func (l *Ledger) explained(e *end) bool {
	for b := range e.suspects {
		if l.verdicts[b] != nil && l.lastBegin(b).Before(e.at) {
			return true
		}
	}
	return false
}

// mostConvincing returns the suspect that was longest not seen to begin, of those that should
// be in quarantine. Between equals a request comes before the blocks of its prompt, which others may
// share; then the names decide, so that all hosts choose alike.
func (l *Ledger) mostConvincing() (Suspect, bool) {
	best, found := Suspect(""), false
	for b, s := range l.suspects {
		if !s.convincing() || s.moments < endsBeyondChance && l.indistinguishable(b) {
			continue
		}
		other := l.suspects[best]
		switch {
		case !found,
			s.latestBegin.Before(other.latestBegin),
			s.latestBegin.Equal(other.latestBegin) && s.moments > other.moments,
			s.latestBegin.Equal(other.latestBegin) && s.moments == other.moments && narrower(b, best):
			best, found = b, true
		}
	}
	return best, found
}

// narrower reports whether a suspect is preferred to another one with the same evidence.
func narrower(a, b Suspect) bool {
	if a.Kind() != b.Kind() {
		return a.Kind() == KindRequest
	}
	return a < b
}

// indistinguishable reports whether another request is a suspect of exactly the same ends: a test of
// each alone will show which of them ends instances.
func (l *Ledger) indistinguishable(b Suspect) bool {
	if b.Kind() != KindRequest {
		return false
	}
	s := l.suspects[b]
	for other, o := range l.suspects {
		if other != b && other.scope() == b.scope() && o.moments == s.moments && o.first.Equal(s.first) && o.last.Equal(s.last) && l.inSameEnds(b, other) {
			return true
		}
	}
	return false
}

func (l *Ledger) inSameEnds(a, b Suspect) bool {
	for _, e := range l.ends {
		if e.suspects[a] != e.suspects[b] {
			return false
		}
	}
	return true
}

// unexplained returns the ends that have no suspect in quarantine, in their order.
func (l *Ledger) unexplained() []*end {
	out := make([]*end, 0, len(l.ends))
	for _, e := range l.ends {
		if !l.explained(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *end) int { return a.at.Compare(b.at) })
	return out
}

// scopes returns the scopes of an end's suspects.
func (e *end) scopes() map[string]bool {
	out := map[string]bool{}
	for b := range e.suspects {
		out[b.scope()] = true
	}
	if len(out) == 0 {
		out[blockScope] = true
	}
	return out
}

func (e *end) list() []Suspect {
	out := make([]Suspect, 0, len(e.suspects))
	for b := range e.suspects {
		out = append(out, b)
	}
	return out
}
