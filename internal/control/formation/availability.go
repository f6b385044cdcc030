package formation

import "time"

// Availability records how much of the recent past each member was of use, as the leader
// sees it: silence alone does not show a host that crashes and comes back over and over.
// The zero value is empty.
type Availability struct {
	members map[uint64]*history
}

// history is the recent past of one member. An outage is a time without an answer, or without
// an entry stored although entries were committed.
type history struct {
	match   uint64
	up      time.Duration // since the start of its process
	stalled time.Duration
	outage  time.Duration // the current one
	missed  time.Duration // earlier outages added up, reduced while the member is up
	pending time.Duration // since the member was last of use
}

// Reset forgets all members, as a host does that no longer leads.
func (a *Availability) Reset() { a.members = nil }

// Observe sets Stalled and Missed of the members of the group. Elapsed is the time since the
// previous call.
func (a *Availability) Observe(members []Health, elapsed time.Duration, policy Policy) {
	next := make(map[uint64]*history, len(members))
	for i := range members {
		m := &members[i]
		h := a.members[m.ID]
		if h == nil {
			h = &history{match: m.Match}
		}
		h.observe(m, elapsed, policy)
		next[m.ID] = h
	}
	a.members = next
}

func (h *history) observe(m *Health, elapsed time.Duration, policy Policy) {
	switch {
	case m.CaughtUp || m.Match > h.match:
		h.stalled = 0
	case m.Silent < minVoteTimeout:
		h.stalled += elapsed
	}
	h.match = m.Match
	m.Stalled = h.stalled
	outage := m.down()
	h.pending += elapsed
	restarted := m.Up < h.up
	missed := policy.counted(h.outage)
	if restarted {
		missed = policy.VoteTimeout()
	}
	switch {
	case !restarted && outage > elapsed && outage >= h.outage:
		// The outage goes on.
	case missed > 0:
		h.missed, h.pending = min(h.missed+missed, 2*policy.missedLimit()), 0
	default:
		h.missed, h.pending = max(0, h.missed-h.pending/forgiveness), 0
	}
	h.up, h.outage = m.Up, outage
	m.Missed = h.missed + policy.counted(outage)
}

// counted returns what an outage adds to the missed time if the process did not restart. One that
// is shorter than an election timeout ends no leader, and a slow disk may cause it: it counts
// nothing. A long one is not worse than a restart, as only repeated ones make a member unsteady.
func (p Policy) counted(outage time.Duration) time.Duration {
	if outage < minVoteTimeout {
		return 0
	}
	return min(outage, p.VoteTimeout())
}

// down returns for how long the member has been unavailable.
func (h *Health) down() time.Duration { return max(h.Silent, h.Stalled) }

// gone reports whether the member leaves or has been unavailable for too long.
func (h *Health) gone(p Policy) bool { return h.Leaving || h.down() >= p.VoteTimeout() }

// unsteady reports whether the member has failed over and over.
func (h *Health) unsteady(p Policy) bool { return h.Missed >= p.missedLimit() }

// missedLimit is the missed time from which on a member is unsteady. No single outage reaches it.
func (p Policy) missedLimit() time.Duration { return unsteadyFactor * p.VoteTimeout() }

// State is what a member's health means for its vote.
type State uint8

// All states but Up cost a member its vote, if another one can take it.
const (
	Up State = iota
	Silent
	Stalled
	Unsteady
)

// State returns the state of the member. That it leaves is no state: it announces that itself.
func (h *Health) State(p Policy) State {
	switch {
	case h.Silent >= p.VoteTimeout():
		return Silent
	case h.Stalled >= p.VoteTimeout():
		return Stalled
	case h.unsteady(p):
		return Unsteady
	}
	return Up
}

// String returns the name of the state for logs.
func (s State) String() string { return [...]string{"up", "silent", "stalled", "unsteady"}[s] }
