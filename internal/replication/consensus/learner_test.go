package consensus_test

import (
	"testing"

	"filberthook/internal/replication/consensus"
)

func TestLearnerDoesNotKnowALeaderThatIsGone(t *testing.T) {
	const electionTicks = 10
	m := consensus.NewMembership([]consensus.Member{{ID: 1, Learner: true}, {ID: 2, Incarnation: 2}, {ID: 3, Incarnation: 3}})
	c, err := consensus.New(consensus.Config{ID: 1, Incarnation: 1, Seed: 1, ElectionTicks: electionTicks}, consensus.State{Snapshot: consensus.Snapshot{Membership: m}})
	if err != nil {
		t.Fatal(err)
	}
	heartbeat := &consensus.Message{Type: consensus.MessageHeartbeat, From: 2, To: 1, Incarnation: 2, Term: 1}
	for range 5 * electionTicks {
		if err := c.Step(heartbeat); err != nil {
			t.Fatal(err)
		}
		c.Tick()
		if got := c.Status().Leader; got != 2 {
			t.Fatalf("leader %d while replica 2 leads", got)
		}
	}
	for range 2 * electionTicks {
		c.Tick()
	}
	if got := c.Status().Leader; got != 0 {
		t.Errorf("leader %d two election timeouts after its last message", got)
	}
	if err := c.Step(heartbeat); err != nil {
		t.Fatal(err)
	}
	if got := c.Status().Leader; got != 2 {
		t.Errorf("leader %d after replica 2 is heard from again", got)
	}
}
