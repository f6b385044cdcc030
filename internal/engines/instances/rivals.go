package instances

import "time"

// rival is the last heartbeat of a start that another entry keeps out.
type rival struct {
	born     int64
	sequence uint64
	at       time.Time
}

// keptOut reports whether other entries speak against a heartbeat: a newer one of the instance,
// one of the same start with another endpoint, address or zone, which a start keeps, or one of
// an instance that started later at the address. The caller holds r.mu.
func (r *Registry) keptOut(in Instance) bool {
	e, known := r.entries[in.ID]
	return known && e.speaksAgainst(in) || len(r.replacements(in)) > 0
}

func (e *entry) speaksAgainst(in Instance) bool {
	moved := e.Born == in.Born && e.Endpoint != "" && (e.Endpoint != in.Endpoint || e.Address != in.Address || e.Zone != in.Zone)
	return moved || !in.supersedes(&e.Instance)
}

// outlives reports whether a heartbeat shows that its sender is alive, although other entries
// keep it out: those are silent, as what another writer announced once is, and this is at least
// the second in a row of increasing heartbeats. Late ones of an ended instance do not keep
// coming. The caller holds r.mu.
func (r *Registry) outlives(in Instance, now time.Time) bool {
	if e, known := r.entries[in.ID]; known && e.speaksAgainst(in) && (e.State != Ready || !r.quiet(e, now)) {
		return false
	}
	for _, e := range r.replacements(in) {
		if !r.quiet(e, now) {
			return false
		}
	}
	last, known := r.rivals[in.ID]
	sameStart := known && last.born == in.Born
	increases := sameStart && in.Sequence > last.sequence
	if increases && now.Sub(last.at) >= r.interval/2 {
		delete(r.rivals, in.ID)
		return true
	}
	if increases || !sameStart && (known || len(r.rivals) < MaxEntries) {
		r.rivals[in.ID] = rival{in.Born, in.Sequence, now}
	}
	return false
}

// quiet reports whether an entry had no heartbeat for so long that it counts as silent.
func (r *Registry) quiet(e *entry, now time.Time) bool {
	return now.Sub(e.lastHeartbeat) > silentAfterIntervals*r.interval
}

// expireRivals forgets those whose next heartbeat did not come. The caller holds r.mu.
func (r *Registry) expireRivals(now time.Time) {
	for id, last := range r.rivals {
		if now.Sub(last.at) > silentAfterIntervals*r.interval {
			delete(r.rivals, id)
		}
	}
}
