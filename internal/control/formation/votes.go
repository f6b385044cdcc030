package formation

import (
	"time"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/replica"
)

const (
	// minVoteTimeout is the least silence after which a vote moves: the shortest election
	// timeout, as a shorter silence does not end a leader either.
	minVoteTimeout = replica.DefaultElectionTicks * replica.DefaultTickInterval
	// voteTimeoutShare is the part of ReplaceAfter after which a vote moves. The rest is for
	// an election and for the two changes of membership.
	voteTimeoutShare = 4
	// forgetFactor is the multiple of ReplaceAfter after which a silent learner is removed.
	forgetFactor = 5
	// maxSilentLearners is the number of silent learners that are kept for their return.
	maxSilentLearners = 16
	// unsteadyFactor is the multiple of the vote timeout that a member may miss in outages
	// that follow each other.
	unsteadyFactor = 2
	// forgiveness is the multiple of its missed time for which a member must be up until that
	// is forgotten: less than ReplaceAfter for one outage, after which the next is allowed.
	forgiveness = 2
	// minUp is the time since its start for which a learner must be up to take a vote: a
	// process that ends sooner each time would be one more voter that is lost.
	minUp = minVoteTimeout
)

// Tolerance is the number of simultaneous losses that a group must survive.
type Tolerance struct {
	Hosts int // control hosts
	Zones int // availability zones
}

// Policy says what a group must survive and how soon.
type Policy struct {
	Tolerance Tolerance
	// ReplaceAfter is how long after a host was lost or replaced the next one may be lost. By
	// then no lost host may hold a vote.
	ReplaceAfter time.Duration
}

// VoteTimeout returns the silence after which a member's vote moves to another one.
func (p Policy) VoteTimeout() time.Duration {
	return max(minVoteTimeout, p.ReplaceAfter/voteTimeoutShare)
}

// forgetAfter returns the silence after which a learner is removed. A host that comes back
// later joins as a new member.
func (p Policy) forgetAfter() time.Duration { return forgetFactor * p.ReplaceAfter }

// StepKind is a kind of membership change.
type StepKind uint8

const (
	NoStep StepKind = iota
	Promote
	Demote
	Remove
)

// Step is one change of the group's membership. The zero Step changes nothing.
type Step struct {
	Kind   StepKind
	ID     uint64
	Reason string
	// MovesVote is set on the first of the two steps that move a vote, unless its holder leaves.
	MovesVote bool
}

// Health is a member with its state as the leader sees it.
type Health struct {
	replica.Member
	Match    uint64        // highest index that it has stored
	Silent   time.Duration // since the member was last heard from
	Up       time.Duration // since its start, as it said last; 0 when unknown
	CaughtUp bool          // holds what was committed a moment ago
	Leaving  bool          // has announced that its process ends
	// Availability sets the following.
	Stalled time.Duration // it answers and has stored nothing, although entries were committed
	Missed  time.Duration // recent outages added up
}

// NextStep returns the next membership change for the leader with the given id, one at a
// time. The group grows to the number of voters that the tolerance requires, spread over
// availability zones. The vote of a member that is silent, stores nothing, leaves or is
// unsteady moves to a learner: the learner is promoted first, so that the group never has
// fewer voters that are up. The former voter stays a learner with its log, unless it is
// silent for much longer.
//
// Each move leaves fewer voters that are gone, else fewer that are unsteady, else fewer in
// crowded zones, so that votes stop moving once the health of the members is stable.
func NextStep(members []Health, leader uint64, policy Policy) Step {
	g := newGroup(members, leader, policy)
	if causes := g.causes(); len(causes) > 0 && len(g.voters) > g.target {
		return Step{Kind: Demote, ID: causes[0].voter.ID, Reason: causes[0].reason}
	}
	if len(g.voters) < g.target {
		if candidate := g.candidate(nil); candidate != nil {
			return Step{Kind: Promote, ID: candidate.ID, Reason: "the group has too few voters"}
		}
	}
	for _, c := range g.causes() {
		to := g.candidate(c.voter)
		if to == nil || !c.relievedBy(to) {
			continue
		}
		if len(g.voters) >= consensus.MaxVoters {
			return Step{Kind: Demote, ID: c.voter.ID, Reason: c.reason, MovesVote: !c.voter.Leaving}
		}
		return Step{Kind: Promote, ID: to.ID, Reason: "a voter " + c.reason, MovesVote: !c.voter.Leaving}
	}
	if forgotten := longestSilent(g.learners, policy.forgetAfter()); forgotten != nil {
		return Step{Kind: Remove, ID: forgotten.ID, Reason: "a learner is silent for good"}
	}
	if surplus := surplusLearner(g.learners, policy.VoteTimeout()); surplus != nil {
		return Step{Kind: Remove, ID: surplus.ID, Reason: "too many learners are silent"}
	}
	return Step{}
}

// surplusLearner returns the learner that is silent for longest when more are silent than
// the group keeps, nil otherwise. Each leader counts silence anew, so that hosts that are
// gone are never forgotten by time alone while leaders are replaced faster than that.
func surplusLearner(learners []Health, timeout time.Duration) *Health {
	silent := 0
	for _, l := range learners {
		if l.Silent >= timeout {
			silent++
		}
	}
	if silent <= maxSilentLearners {
		return nil
	}
	return longestSilent(learners, timeout)
}

// targetVoters returns the number of voters that survives the tolerated losses, as far as
// there are members for it. The number is odd: one more voter would survive no more losses.
func targetVoters(members []Health, t Tolerance) int {
	losses := t.Hosts
	if t.Zones > 0 {
		losses = max(losses, 1)
	}
	n := min(2*losses+1, consensus.MaxVoters)
	if len(members) < n && len(members)%2 == 0 {
		return max(1, len(members)-1)
	}
	return min(n, len(members))
}

// Settled reports whether the vote of a member that leaves has moved, or cannot move because
// no learner is left that could take it. A learner that has been silent for less than
// ReplaceAfter may answer again.
func Settled(id uint64, members []Health, policy Policy) bool {
	takers := false
	for _, m := range members {
		if m.ID == id && m.Learner {
			return true
		}
		takers = takers || m.Learner && !m.Leaving && m.Silent < policy.ReplaceAfter
	}
	return !takers
}

func longestSilent(members []Health, after time.Duration) *Health {
	var longest *Health
	for i := range members {
		m := &members[i]
		if m.Silent >= after && (longest == nil || m.Silent > longest.Silent) {
			longest = m
		}
	}
	return longest
}

// String returns the name of the kind for logs.
func (k StepKind) String() string { return [...]string{"nothing", "promote", "demote", "remove"}[k] }
