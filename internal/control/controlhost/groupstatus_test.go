package controlhost

import (
	"context"
	"slices"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
)

// loseQuorum starts three hosts, has two versions accepted and stops the hosts 2 and 3.
func loseQuorum(t *testing.T) *group {
	t.Helper()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	accept(t, g.nodes[1].host, 2, "two")
	for n := 1; n <= 3; n++ {
		eventually(t, 10*time.Second, "version 2 in force", func() bool { return g.nodes[n].host.currentVersion() == 2 })
	}
	eventually(t, 10*time.Second, "host 1 has heard from the others", func() bool {
		members := g.nodes[1].host.GroupStatus(context.Background(), false).Members
		return !slices.ContainsFunc(members, func(m controlapi.GroupMember) bool { return m.SilentMS < 0 })
	})
	g.stop(2)
	g.stop(3)
	return g
}

func TestStatusOfOneHostShowsTheLostQuorum(t *testing.T) {
	t.Parallel()
	g := loseQuorum(t)
	h := g.nodes[1].host
	before, _ := h.membership.status()
	eventually(t, 10*time.Second, "no leader is known", func() bool {
		s := h.GroupStatus(context.Background(), false)
		return s.Leader == "" && s.WithoutLeaderMS > 0
	})
	status := h.GroupStatus(context.Background(), true)
	if !status.Voter || status.Version != 2 || status.Commit < before.Commit || status.Last < status.Commit || status.LastTerm == 0 || status.Term < status.LastTerm {
		t.Errorf("got %+v, want a voter with version 2 and what its log holds", status)
	}
	if len(status.Members) != 3 {
		t.Fatalf("%d members, want 3", len(status.Members))
	}
	for _, m := range status.Members {
		own := m.Address == status.Address
		if !m.Voter || m.Answers != own || m.SilentMS < 0 || own != (m.Error == "") {
			t.Errorf("member %+v of host %s", m, status.Address)
		}
	}
	g.start(2, false)
	eventually(t, 10*time.Second, "host 2 answers", func() bool {
		for _, m := range h.GroupStatus(context.Background(), true).Members {
			if m.Address == g.address(2, peersPort) {
				return m.Answers && m.Status != nil && m.Status.Last > 0
			}
		}
		return false
	})
}
