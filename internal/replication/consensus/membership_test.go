package consensus_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"filberthook/internal/replication/consensus"
)

// newSoleLeader returns the leader of a group of one.
func newSoleLeader(t *rapid.T) *consensus.Core {
	c, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1}, consensus.State{
		Snapshot: consensus.Snapshot{Membership: consensus.NewMembership([]consensus.Member{{ID: 1}})},
	})
	if err != nil {
		t.Fatal(err)
	}
	for c.Role() != consensus.RoleLeader {
		c.Tick()
	}
	return c
}

// acknowledgeAppends processes the core's work and acknowledges its appends for the
// replicas in alive.
func acknowledgeAppends(c *consensus.Core, alive map[uint64]bool) {
	for {
		rd := c.Ready()
		if rd.Empty() {
			return
		}
		c.Advance()
		for _, m := range append(rd.Early, rd.Messages...) {
			if m.Type != consensus.MessageAppend || !alive[m.To] {
				continue
			}
			_ = c.Step(&consensus.Message{
				Type: consensus.MessageAppendResponse, From: m.To, To: 1, Incarnation: m.To, Term: m.Term, Index: m.Index + uint64(len(m.Entries)),
			})
		}
	}
}

// TestMembershipRules drives a leader with random changes and compares it with the
// rules: one change at a time, no id used twice, at most MaxVoters voters, only
// learners that answered are promoted, and successive quorums overlap.
func TestMembershipRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSoleLeader(t)
		alive, answered := map[uint64]bool{}, map[uint64]bool{}
		used := map[uint64]bool{1: true}
		acknowledgeAppends(c, alive)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := rapid.Uint64Range(1, 8).Draw(t, "id")
			kind := consensus.ChangeType(rapid.IntRange(1, 4).Draw(t, "kind"))
			before := c.Status()
			_, _, err := c.ProposeMembership(consensus.Change{Type: kind, Member: consensus.Member{ID: id}})
			after := c.Status().Membership
			var refused *consensus.RefusedError
			if err != nil && !errors.As(err, &refused) {
				t.Fatalf("refused with %v", err)
			}
			if err == nil && kind == consensus.ChangeAddLearner {
				if used[id] {
					t.Fatalf("id %d was used twice", id)
				}
				used[id] = true
			}
			if err == nil && kind == consensus.ChangePromote && !answered[id] {
				t.Fatalf("learner %d never answered and was promoted", id)
			}
			lessVotes := kind == consensus.ChangeRemove || kind == consensus.ChangeDemote
			if err == nil && lessVotes && !keepsQuorum(before, after) {
				t.Fatalf("took the vote of %d of %+v though too few of the rest hold what is committed", id, before.Members)
			}
			checkStep(t, before.Membership, after)
			alive[id] = rapid.IntRange(0, 3).Draw(t, "answers") > 0
			answered[id] = answered[id] || alive[id]
			acknowledgeAppends(c, alive)
			if c.PendingChanges() > 1 {
				t.Fatalf("%d changes in progress", c.PendingChanges())
			}
		}
	})
}

// keepsQuorum reports whether a quorum of the remaining voters holds everything
// committed.
func keepsQuorum(before consensus.Status, after consensus.Membership) bool {
	holding := 0
	for _, m := range before.Members {
		if after.IsVoter(m.ID) && m.Match >= before.Commit {
			holding++
		}
	}
	return holding >= after.Quorum()
}

func checkStep(t *rapid.T, before, after consensus.Membership) {
	if after.Voters() > consensus.MaxVoters {
		t.Fatalf("%d voters", after.Voters())
	}
	common := 0
	for _, m := range before.Members {
		if !m.Learner && after.IsVoter(m.ID) {
			common++
		}
	}
	// Two quorums overlap when they hold more than all voters of either set.
	all := before.Voters() + after.Voters() - common
	if before.Quorum()+after.Quorum() <= all {
		t.Fatalf("quorums of %v and %v need not overlap", before, after)
	}
	for _, m := range after.Members {
		if after.IsRetired(m.ID) {
			t.Fatalf("retired id %d is a member", m.ID)
		}
	}
}

func TestMembersThatAnswerAreNeverShownAsInactive(t *testing.T) {
	s := newSim(settings{seed: 1, ticks: runTicks})
	s.rates = faultRates{delay: 1}
	err := s.guard(func() {
		for s.now < runTicks {
			s.step()
			for _, n := range s.nodes {
				status := n.core.Status()
				for _, m := range status.Members {
					if !m.Active {
						t.Fatalf("tick %d: leader %d shows member %d as inactive", s.now, status.ID, m.ID)
					}
				}
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
