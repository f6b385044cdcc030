package controlhost

import (
	"testing"
	"time"
)

func TestLearnerRemovedWhileItWasDownJoinsAgain(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 4; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[4].host, 1, "one")
	g.stop(4)
	eventually(t, 25*time.Second, "the learner is removed", func() bool { _, all := g.members(1); return all == 3 })
	g.start(4, false)
	accept(t, g.nodes[1].host, 2, "two")
	waitForRead(t, g.nodes[4].host, 2, "two")
}
