package formation

import (
	"fmt"
	"time"
)

// group is the state that one decision is made from.
type group struct {
	voters, learners []Health
	leader           uint64
	target           int // number of voters
	policy           Policy
}

func newGroup(members []Health, leader uint64, policy Policy) *group {
	g := &group{leader: leader, target: targetVoters(members, policy.Tolerance), policy: policy}
	for _, m := range members {
		if m.Learner {
			g.learners = append(g.learners, m)
		} else {
			g.voters = append(g.voters, m)
		}
	}
	return g
}

// cause is a voter whose vote is to move.
type cause struct {
	voter      *Health
	reason     string
	relievedBy func(to *Health) bool // whether a move of the vote improves the group
}

// causes returns the votes that are to move, the most urgent first.
func (g *group) causes() []cause {
	var out []cause
	if v := g.goneVoter(); v != nil {
		out = append(out, cause{v, g.goneReason(v), func(*Health) bool { return true }})
	}
	if v := g.unsteadyVoter(); v != nil {
		reason := fmt.Sprintf("is unsteady, with outages of %v", v.Missed.Round(time.Millisecond))
		out = append(out, cause{v, reason, g.steady})
	}
	if v := g.crowdedVoter(); v != nil {
		out = append(out, cause{v, "is in a zone whose loss would cost the quorum", func(to *Health) bool { return g.steady(to) && g.relieves(v, to) }})
	}
	return out
}

func (g *group) steady(h *Health) bool { return !h.unsteady(g.policy) }

// goneVoter returns the voter that is unavailable: the one that is down for longest, otherwise
// one that leaves. It is nil when all are up.
func (g *group) goneVoter() *Health {
	var gone *Health
	for i := range g.voters {
		v := &g.voters[i]
		if v.ID == g.leader || !v.gone(g.policy) {
			continue
		}
		if gone == nil || v.down() > gone.down() {
			gone = v
		}
	}
	return gone
}

func (g *group) goneReason(v *Health) string {
	switch {
	case v.Leaving:
		return "leaves"
	case v.State(g.policy) == Stalled:
		return fmt.Sprintf("has stored nothing for %v", v.Stalled.Round(time.Millisecond))
	}
	return "is silent"
}

// unsteadyVoter returns the voter that has missed most of the recent past, nil when all are
// steady.
func (g *group) unsteadyVoter() *Health {
	var worst *Health
	for i := range g.voters {
		v := &g.voters[i]
		if v.ID != g.leader && v.unsteady(g.policy) && (worst == nil || v.Missed > worst.Missed) {
			worst = v
		}
	}
	return worst
}

// crowdedVoter returns a voter other than the leader in a zone whose loss would cost the
// quorum although it must be tolerated, nil when there is none. Of several it is the least
// steady one.
func (g *group) crowdedVoter() *Health {
	if g.policy.Tolerance.Zones == 0 {
		return nil
	}
	inZone, quorum := g.votersByZone(), len(g.voters)/2+1
	var worst *Health
	for i := range g.voters {
		v := &g.voters[i]
		if v.ID == g.leader || inZone[v.Zone] < 2 || len(g.voters)-inZone[v.Zone] >= quorum {
			continue
		}
		if worst == nil || v.Missed > worst.Missed {
			worst = v
		}
	}
	return worst
}

// relieves reports whether the zone of a crowded voter is less crowded once another member has
// its vote.
func (g *group) relieves(crowded, to *Health) bool {
	inZone := g.votersByZone()
	return inZone[to.Zone]+1 < inZone[crowded.Zone]
}

func (g *group) votersByZone() map[string]int {
	inZone := map[string]int{}
	for _, v := range g.voters {
		inZone[v.Zone]++
	}
	return inZone
}

// candidate returns the learner that best takes a vote, from a voter or in addition to all of
// them: one that is up and caught up, preferably steady, in the zone with the fewest
// voters that keep their votes. It is nil when there is none.
func (g *group) candidate(from *Health) *Health {
	inZone := map[string]int{}
	for i := range g.voters {
		v := &g.voters[i]
		if !v.gone(g.policy) && g.steady(v) && (from == nil || v.ID != from.ID) {
			inZone[v.Zone]++
		}
	}
	var best *Health
	for i := range g.learners {
		l := &g.learners[i]
		if l.Leaving || l.Silent >= g.policy.VoteTimeout()/2 || l.Up > 0 && l.Up < minUp || !l.CaughtUp {
			continue
		}
		better := best == nil || g.steady(l) && !g.steady(best) ||
			g.steady(l) == g.steady(best) && inZone[l.Zone] < inZone[best.Zone]
		if better {
			best = l
		}
	}
	return best
}
