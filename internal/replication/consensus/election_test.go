package consensus_test

import (
	"testing"

	"filberthook/internal/replication/consensus"
)

// deliver passes messages between running replicas until none is left. All messages that are
// under way arrive before an answer to any of them.
func deliver(t *testing.T, cores map[uint64]*consensus.Core) {
	t.Helper()
	for range 100 {
		var due []consensus.Message
		for id := range uint64(4) {
			for c := cores[id]; c != nil; {
				rd := c.Ready()
				if rd.Empty() {
					break
				}
				due = append(append(due, rd.Early...), rd.Messages...)
				c.Advance()
			}
		}
		if len(due) == 0 {
			return
		}
		for i := range due {
			if to := cores[due[i].To]; to != nil {
				_ = to.Step(&due[i])
			}
		}
	}
	t.Fatal("messages without end")
}

func TestReplicasWhoseTimeoutsEndTogetherElectALeaderAtOnce(t *testing.T) {
	for _, up := range [][]uint64{{1, 2}, {1, 2, 3}} {
		cores := map[uint64]*consensus.Core{}
		for _, id := range up {
			members := []consensus.Member{{ID: 1, Incarnation: 1}, {ID: 2, Incarnation: 2}, {ID: 3, Incarnation: 3}}
			c, err := consensus.New(consensus.Config{ID: id, Incarnation: id, Seed: id}, consensus.State{
				Snapshot: consensus.Snapshot{Membership: consensus.NewMembership(members)},
			})
			if err != nil {
				t.Fatal(err)
			}
			for c.Role() != consensus.RolePreCandidate {
				c.Tick()
			}
			cores[id] = c
		}
		deliver(t, cores)
		leaders := 0
		for _, c := range cores {
			if c.Role() == consensus.RoleLeader {
				leaders++
			}
		}
		if leaders != 1 {
			t.Errorf("%d replicas up: %d leaders after their timeouts ended together, want 1", len(up), leaders)
		}
	}
}
