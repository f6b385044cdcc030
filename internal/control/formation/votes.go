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
	maxSilentLearners = consensus.MaxVoters
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
	// MovesVote is set on the first of the two steps that move the vote of a silent member.
	MovesVote bool
}

// Health is a member with its state as the leader sees it.
type Health struct {
	replica.Member
	Silent   time.Duration // since the member was last heard from
	CaughtUp bool          // holds what was committed a moment ago
	Leaving  bool          // has announced that its process ends
}

// NextStep returns the next membership change for the leader with the given id, one at a
// time. The group grows to the number of voters that the tolerance requires, spread over
// availability zones. The vote of a member that is silent or leaves moves to a learner: the
// learner is promoted first, so that the group never has fewer voters that are up. The
// former voter stays a learner with its log, unless it is silent for much longer.
func NextStep(members []Health, leader uint64, policy Policy) Step {
	voters, learners := split(members)
	target := targetVoters(members, policy.Tolerance)
	gone := goneVoter(voters, leader, policy.VoteTimeout())
	if gone != nil && len(voters) > target {
		return Step{Kind: Demote, ID: gone.ID, Reason: gone.why() + ", and another member has its vote"}
	}
	crowded := crowdedVoter(voters, leader, policy)
	if crowded != nil && len(voters) > target {
		return Step{Kind: Demote, ID: crowded.ID, Reason: crowdedReason}
	}
	if candidate := bestLearner(learners, voters, policy.VoteTimeout()); candidate != nil {
		crowded = relieved(crowded, candidate, voters)
		switch {
		case len(voters) < target:
			return Step{Kind: Promote, ID: candidate.ID, Reason: "the group has too few voters"}
		case gone != nil && len(voters) < consensus.MaxVoters:
			return Step{Kind: Promote, ID: candidate.ID, Reason: "a voter " + gone.why(), MovesVote: !gone.Leaving}
		case gone != nil:
			return Step{Kind: Demote, ID: gone.ID, Reason: gone.why() + ", and a learner can take its vote", MovesVote: !gone.Leaving}
		case crowded != nil && len(voters) < consensus.MaxVoters:
			return Step{Kind: Promote, ID: candidate.ID, Reason: crowdedReason, MovesVote: true}
		case crowded != nil:
			return Step{Kind: Demote, ID: crowded.ID, Reason: crowdedReason, MovesVote: true}
		}
	}
	if forgotten := longestSilent(learners, policy.forgetAfter()); forgotten != nil {
		return Step{Kind: Remove, ID: forgotten.ID, Reason: "a learner is silent for good"}
	}
	if surplus := surplusLearner(learners, policy.VoteTimeout()); surplus != nil {
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

func (h *Health) why() string {
	if h.Leaving {
		return "leaves"
	}
	return "is silent"
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

func split(members []Health) (voters, learners []Health) {
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m)
		} else {
			voters = append(voters, m)
		}
	}
	return voters, learners
}

// goneVoter returns the voter whose vote is to move: the one that is silent for longest,
// otherwise one that leaves. It is nil when all are up.
func goneVoter(voters []Health, leader uint64, timeout time.Duration) *Health {
	var gone *Health
	for i := range voters {
		v := &voters[i]
		if v.ID == leader || !v.Leaving && v.Silent < timeout {
			continue
		}
		if gone == nil || v.Silent > gone.Silent {
			gone = v
		}
	}
	return gone
}

// crowdedReason is the reason for moving the vote of a crowded voter.
const crowdedReason = "the loss of a zone would cost the quorum"

// crowdedVoter returns a voter other than the leader in a zone whose loss would cost the
// quorum although it is to be borne, nil when there is none.
func crowdedVoter(voters []Health, leader uint64, policy Policy) *Health {
	if policy.Tolerance.Zones == 0 {
		return nil
	}
	inZone := votersByZone(voters)
	quorum := len(voters)/2 + 1
	for i := range voters {
		v := &voters[i]
		if v.ID != leader && inZone[v.Zone] > 1 && len(voters)-inZone[v.Zone] < quorum {
			return v
		}
	}
	return nil
}

// relieved returns the crowded voter if its zone is less crowded once the candidate has its
// vote, and nil otherwise.
func relieved(crowded, candidate *Health, voters []Health) *Health {
	if crowded == nil {
		return nil
	}
	inZone := votersByZone(voters)
	if inZone[candidate.Zone]+1 >= inZone[crowded.Zone] {
		return nil
	}
	return crowded
}

func votersByZone(voters []Health) map[string]int {
	inZone := map[string]int{}
	for _, v := range voters {
		inZone[v.Zone]++
	}
	return inZone
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

// bestLearner returns the learner that is up, caught up and in the zone with the fewest
// voters that are up, nil when there is none.
func bestLearner(learners, voters []Health, timeout time.Duration) *Health {
	inZone := map[string]int{}
	for _, v := range voters {
		if v.Silent < timeout && !v.Leaving {
			inZone[v.Zone]++
		}
	}
	var best *Health
	for i := range learners {
		l := &learners[i]
		if l.Leaving || l.Silent >= timeout/2 || !l.CaughtUp {
			continue
		}
		if best == nil || inZone[l.Zone] < inZone[best.Zone] {
			best = l
		}
	}
	return best
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
