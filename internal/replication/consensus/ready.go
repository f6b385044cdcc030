package consensus

import (
	"math"

	"filberthook/internal/process/invariant"
)

// maxCommittedBytes bounds the committed entries of one Ready.
const maxCommittedBytes = 4 << 20

// Ready returns the next batch of work. Unless it is empty, the caller must call
// Advance once the work is done and must not call other methods in between.
func (c *Core) Ready() Ready {
	invariant.Check(c.ready == nil, "ready-advance-order", "Ready called before Advance")
	if c.excluded != ExclusionNone {
		return Ready{}
	}
	if c.role == RoleLeader {
		c.flushLeader()
	}
	r := Ready{
		Early:      c.early,
		Messages:   c.messages,
		Snapshot:   c.installed,
		ReadStates: c.readStates,
		Entries:    c.log.slice(c.log.stable, c.log.lastIndex(), math.MaxInt),
	}
	r.Committed = c.nextCommitted()
	c.attachHardState(&r)
	if !r.Empty() {
		c.early, c.messages, c.installed, c.readStates = nil, nil, nil, nil
		c.ready = &r
	}
	return r
}

func (c *Core) nextCommitted() []Entry {
	upTo := c.log.committed
	if c.fault == faultApplyUncommitted {
		upTo = c.log.lastIndex()
	}
	return c.log.slice(c.log.applied, upTo, maxCommittedBytes)
}

// attachHardState adds the hard state when the term, the vote or the log changed, or when the
// commit index has advanced some time ago.
func (c *Core) attachHardState(r *Ready) {
	hs := HardState{Term: c.term, Vote: c.vote, VoteIncarnation: c.voteIncarnation, Commit: c.log.committed}
	if c.fault == faultForgetVote {
		hs.Vote, hs.VoteIncarnation = 0, 0
	}
	changed := hs.Term != c.saved.Term || hs.Vote != c.saved.Vote || hs.VoteIncarnation != c.saved.VoteIncarnation
	if changed {
		// The new term or vote is not durable yet, so no message may be sent before it is.
		r.Messages = append(r.Early, r.Messages...)
		r.Early = nil
	}
	if changed || len(r.Entries) > 0 || r.Snapshot != nil || c.unsavedCommit >= saveCommitTicks {
		r.HardState = &hs
	}
}

// Advance reports that the caller has processed the last Ready.
func (c *Core) Advance() {
	r := c.ready
	invariant.Check(r != nil, "ready-advance-order", "Advance called without Ready")
	c.ready = nil
	if r.HardState != nil {
		c.saved = *r.HardState
		c.unsavedCommit = 0
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = r.Entries[n-1].Index
	}
	if n := len(r.Committed); n > 0 {
		c.advanceApplied(r.Committed[n-1].Index)
	}
	if c.role != RoleLeader {
		return
	}
	c.progress[c.cfg.ID].acknowledge(c.log.stable, c.upTicks)
	c.advanceCommit()
}

func (c *Core) advanceApplied(index uint64) {
	invariant.Check(index <= c.log.committed || c.fault == faultApplyUncommitted, "applied-within-commit",
		"applied %d, committed %d", index, c.log.committed)
	invariant.Check(index <= c.log.stable, "applied-durable", "applied %d, durable %d", index, c.log.stable)
	invariant.Check(index > c.log.applied, "applied-grows", "applied %d after %d", index, c.log.applied)
	c.log.applied = index
}

// Compact records a snapshot of the state machine at an applied index and drops
// log entries that lie more than keep entries before it.
func (c *Core) Compact(index uint64, data []byte, keep uint64) *Snapshot {
	invariant.Check(index <= c.log.applied, "snapshot-applied", "snapshot at %d, applied %d", index, c.log.applied)
	if index <= c.snapshot.Index {
		return c.snapshot
	}
	term, ok := c.log.term(index)
	invariant.Check(ok, "snapshot-in-log", "snapshot at %d, log starts after %d", index, c.log.offset)
	c.snapshot = &Snapshot{Index: index, Term: term, Membership: c.membershipAt(index), Data: data}
	if index > keep {
		c.log.compact(index - keep)
	}
	c.trimMemberships(index)
	return c.snapshot
}

func (c *Core) membershipAt(index uint64) Membership {
	for i := len(c.memberships) - 1; i > 0; i-- {
		if c.memberships[i].index <= index {
			return c.memberships[i].membership
		}
	}
	return c.memberships[0].membership
}

// trimMemberships drops the memberships replaced at or before index.
func (c *Core) trimMemberships(index uint64) {
	n := 0
	for n+1 < len(c.memberships) && c.memberships[n+1].index <= index {
		n++
	}
	c.memberships = c.memberships[n:]
}

// Applied returns the index of the last entry that the caller has applied.
func (c *Core) Applied() uint64 { return c.log.applied }

// Role returns the replica's current role.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, 0 when unknown.
func (c *Core) Leader() uint64 { return c.leader }

// MemberStatus is what a leader knows about a member.
type MemberStatus struct {
	Member
	Match  uint64 // highest index known to be durable there
	Active bool   // heard from within the shortest election timeout
	// SilentTicks is the time since the member was last heard from. A new leader counts from
	// its election, and for the leader before it from that leader's last message.
	SilentTicks int
	UpTicks     uint64 // since its start, as it said last; 0 when unknown
}

// Status describes a replica at one moment.
type Status struct {
	ID         uint64
	Role       Role
	Term       uint64
	Leader     uint64 // 0 when unknown
	Transferee uint64 // target of a leadership transfer, 0 for none; on the leader only
	Commit     uint64
	Applied    uint64
	FirstIndex uint64 // first index still in the log
	LastIndex  uint64
	LastTerm   uint64 // of the entry at LastIndex
	Membership Membership
	Members    []MemberStatus // filled on the leader only
	Exclusion  Exclusion
	Removed    []uint64 // ids of former members whose removal is committed, sorted; not to be modified
}

// knownLeader returns the leader of the current term, 0 once it was not heard from for two
// election timeouts: a voter campaigns by then, a learner goes on following it.
func (c *Core) knownLeader() uint64 {
	if c.role != RoleLeader && c.lastLeaderTicks >= 2*c.cfg.ElectionTicks {
		return 0
	}
	return c.leader
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.term, Leader: c.knownLeader(), Transferee: c.transferee, Commit: c.log.committed, Applied: c.log.applied,
		FirstIndex: c.log.offset + 1, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm(), Membership: c.membership(), Exclusion: c.excluded,
		Removed: c.membershipAt(c.log.committed).Retired,
	}
	if c.role != RoleLeader {
		return s
	}
	for _, member := range s.Membership.Members {
		p := c.progress[member.ID]
		s.Members = append(s.Members, MemberStatus{Member: member, Match: p.match, Active: p.silentTicks < c.cfg.ElectionTicks, SilentTicks: p.silentTicks, UpTicks: p.upTicks})
	}
	return s
}
