package consensus_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"filberthook/internal/replication/consensus"
)

func TestRemovalIsToldOnlyOnceItIsCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSoleLeader(t)
		acknowledgeAppends(c, nil)
		if _, _, err := c.ProposeMembership(consensus.Change{Type: consensus.ChangeAddLearner, Member: consensus.Member{ID: 2}}); err != nil {
			t.Fatal(err)
		}
		acknowledgeAppends(c, nil)
		index, _, err := c.ProposeMembership(consensus.Change{Type: consensus.ChangeRemove, Member: consensus.Member{ID: 2}})
		if err != nil {
			t.Fatal(err)
		}
		if s := c.Status(); s.Commit >= index || slices.Contains(s.Removed, 2) {
			t.Fatalf("commit %d: removal at %d is told before it is committed: %v", s.Commit, index, s.Removed)
		}
		acknowledgeAppends(c, nil)
		if s := c.Status(); !slices.Contains(s.Removed, 2) {
			t.Fatalf("committed removal is not told: %v", s.Removed)
		}
	})
}

func TestLeaderDoesNotDemoteItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSoleLeader(t)
		alive := map[uint64]bool{2: true}
		acknowledgeAppends(c, alive)
		for _, kind := range []consensus.ChangeType{consensus.ChangeAddLearner, consensus.ChangePromote} {
			if _, _, err := c.ProposeMembership(consensus.Change{Type: kind, Member: consensus.Member{ID: 2}}); err != nil {
				t.Fatal(err)
			}
			acknowledgeAppends(c, alive)
		}
		if _, _, err := c.ProposeMembership(consensus.Change{Type: consensus.ChangeDemote, Member: consensus.Member{ID: 1}}); err == nil {
			t.Fatal("the leader took its own vote")
		}
	})
}
