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

func TestLeaderKnowsForHowLongMembersAreUp(t *testing.T) {
	cores := map[uint64]*consensus.Core{}
	for id := range uint64(4) {
		if id == 0 {
			continue
		}
		members := []consensus.Member{{ID: 1, Incarnation: 1}, {ID: 2, Incarnation: 2}, {ID: 3, Incarnation: 3}}
		c, err := consensus.New(consensus.Config{ID: id, Incarnation: id, Seed: id}, consensus.State{
			Snapshot: consensus.Snapshot{Membership: consensus.NewMembership(members)},
		})
		if err != nil {
			t.Fatal(err)
		}
		cores[id] = c
	}
	tick := func(n int) {
		for range n {
			for _, c := range cores {
				c.Tick()
			}
			deliver(t, cores)
		}
	}
	tick(100)
	for id, c := range cores {
		if c.Role() != consensus.RoleLeader {
			continue
		}
		for _, m := range c.Status().Members {
			if up := m.UpTicks; m.ID != id && (up < 99 || up > 101) {
				t.Errorf("member %d: up for %d ticks, want 100", m.ID, up)
			}
		}
		return
	}
	t.Error("no leader")
}
