package controlhost

import (
	"testing"
	"time"

	"filberthook/internal/replication/replica"
)

func TestVoterThatStopsHasNoVoteOnceItHasEnded(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 4; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[4].host, 1, "one")
	eventually(t, 10*time.Second, "four members", func() bool { _, all := g.members(1); return all == 4 })
	for n := 1; n <= 3; n++ { // the leader is among them
		status, _ := g.nodes[n].host.membership.status()
		g.stop(n)
		for other := 1; other <= 4; other++ {
			if now, ok := g.nodes[other].host.membership.status(); ok && now.Role == replica.RoleLeader && isVoter(now, status.ID) {
				t.Errorf("host %d has ended and still votes", n)
			}
		}
		g.start(n, false)
		waitForRead(t, g.nodes[n].host, 1, "one")
		eventually(t, 10*time.Second, "the host takes part again", func() bool {
			status, ok := g.nodes[n].host.membership.status()
			return ok && status.Leader != 0
		})
		time.Sleep(leavingFor)
	}
}
