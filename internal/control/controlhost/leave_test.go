package controlhost

import (
	"context"
	"errors"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/replica"
)

func TestEndIsAnnouncedUntilALeaderAnswers(t *testing.T) {
	t.Parallel()
	leaders := []string{"", "new", "new", "gone", "next"}
	a := endAnnouncement{
		leader: func() string {
			leader := leaders[0]
			leaders = leaders[1:]
			return leader
		},
	}
	a.call = func(ctx context.Context, leader string) (controlapi.LeaveResponse, error) {
		switch {
		case leader == "gone":
			<-ctx.Done()
			return controlapi.LeaveResponse{}, context.Cause(ctx)
		case leader == "new" && a.calls == 1:
			return controlapi.LeaveResponse{}, &UnavailableError{errNotLeading}
		case leader == "new":
			return controlapi.LeaveResponse{}, errors.New("connection reset")
		}
		return controlapi.LeaveResponse{Moved: true}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if resp, err := a.send(ctx); err != nil || !resp.Moved || a.told != "next" {
		t.Errorf("after %d calls, the last to %q: moved %v, %v", a.calls, a.told, resp.Moved, err)
	}
}

func TestEndIsNotSettledByAHostThatNoLongerLeads(t *testing.T) {
	t.Parallel()
	l := newLeaves()
	settled := l.announce(1, time.Now())
	l.abandon(errNotLeading)
	<-settled.done
	if settled.err == nil {
		t.Error("the end counts as settled though no leader has decided")
	}
	settled = l.announce(1, time.Now())
	l.settle(func(uint64) bool { return true })
	<-settled.done
	if settled.err != nil {
		t.Error(settled.err)
	}
}

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
