package quarantine

import "time"

const (
	// wantedPeriod is how recently a request must have been refused for a probe to be asked for.
	wantedPeriod = 5 * time.Second
	// grantLifetime is how long a host may take to send the probe that it was granted.
	grantLifetime = 5 * time.Second
)

// Probe asks for the permission to send one request with a suspect in quarantine.
type Probe struct {
	Suspect Suspect `json:"block"`
	// AfterMS is how long ago the last probe must have been, in ms.
	AfterMS int64 `json:"after_ms"`
}

// DueProbes returns the probes to ask for: of suspects that were long enough in quarantine and
// that callers still ask for.
func (l *Ledger) DueProbes(now time.Time) []Probe {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Probe
	for b, v := range l.verdicts {
		if l.words[b].hold || now.Before(v.probeAfter(b)) || now.Sub(v.wantedAt) > wantedPeriod {
			continue
		}
		out = append(out, Probe{Suspect: b, AfterMS: v.pause(b).Milliseconds()})
	}
	return out
}

// Grant permits this host to send one request with the suspect.
func (l *Ledger) Grant(b Suspect, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.verdicts[b]; v != nil {
		v.grantEnd = now.Add(grantLifetime)
		v.probes++
		v.probedAt = now
	}
}

// Grants decides for the whole system which host may probe a suspect. Each control host has one;
// that of the leader of the control group counts.
type Grants struct {
	term  uint64 // in which this control host leads, or last led
	since time.Time
	at    map[Suspect]time.Time // of the last grant
}

// leaderPause is how long a new leader grants no probe: the leader before may have granted one
// that is under way.
const leaderPause = 2 * grantLifetime

// NewGrants returns the Grants of a process that starts.
func NewGrants() *Grants { return &Grants{at: map[Suspect]time.Time{}} }

// Lead records that this control host leads the group in a term.
func (g *Grants) Lead(term uint64, now time.Time) {
	if term != g.term {
		g.term, g.since = term, now
	}
}

// Ask reports whether the asking host may send a probe. The control host leads in the term.
func (g *Grants) Ask(p Probe, term uint64, now time.Time) bool {
	g.Lead(term, now)
	pause := max(time.Duration(p.AfterMS)*time.Millisecond, probePause(p.Suspect.Kind(), 0))
	if last, granted := g.at[p.Suspect]; now.Sub(g.since) < leaderPause || granted && now.Sub(last) < pause {
		return false
	}
	for b, at := range g.at {
		if now.Sub(at) > maxProbeAfter {
			delete(g.at, b)
		}
	}
	if len(g.at) >= maxVerdicts {
		return false
	}
	g.at[p.Suspect] = now
	return true
}
