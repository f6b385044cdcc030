package controlnode

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/authority"
	"filberthook/internal/control/lease"
	"filberthook/internal/replication/replica"
)

// leaseTTL is long enough for an election on a busy machine.
const leaseTTL = 12 * time.Second

// startHolder runs a planner host's lease holder, which may call all replicas.
func (c *cluster) startHolder(host string) *authority.Holder {
	c.t.Helper()
	var replicas []authority.Caller
	for i := range c.nodes {
		replicas = append(replicas, c.peer(i, host))
	}
	holder := authority.NewHolder(authority.HolderSettings{
		Host: host, Zone: "z1", Session: host, TTL: leaseTTL, Clock: authority.NewClock(),
		Random: func() float64 { return 0.5 }, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	}, authority.NewPeerGranter(replicas))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- holder.Run(ctx) }()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
	return holder
}

// await polls until a condition holds; the test's deadline bounds it.
func (c *cluster) await(condition func() bool) {
	for !condition() && c.t.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLeaseSurvivesTheLossOfTheLeader stops the leader between a grant and its renewal:
// the next leader must renew the lease under the same fencing number.
func TestLeaseSurvivesTheLossOfTheLeader(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	holder := c.startHolder("e1")
	var granted authority.Grant
	c.await(func() bool {
		grant, ok := holder.Grant()
		granted = grant
		return ok
	})
	leader := c.leader()
	c.nodes[leader].stop()
	c.await(func() bool {
		grant, ok := holder.Grant()
		return !ok || grant.ValidUntil > granted.ValidUntil
	})
	grant, ok := holder.Grant()
	if !ok || grant.Fence != granted.Fence {
		t.Errorf("after the loss of replica %d: %+v, valid %t; want fence %d renewed", leader+1, grant, ok, granted.Fence)
	}
}

// leader waits until a node leads and returns its index.
func (c *cluster) leader() int {
	for {
		for i, n := range c.nodes {
			if n.node.replica.Status().Role == replica.RoleLeader {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestReleasedLeaseIsFreeAtEveryReplica(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	leader := c.leader()
	for round := range 12 {
		scope := func(i int, host string, cmd lease.Command) (out lease.Result) {
			t.Helper()
			if err := c.peer(i, host).Call(t.Context(), authority.MethodLease, cmd, &out); err != nil {
				t.Fatal(err)
			}
			return out
		}
		take := lease.Command{Kind: lease.Acquire, Holder: lease.Holder{Session: fmt.Sprint(round)}, TTL: lease.MaxTTL}
		first := scope(leader, "e1", take)
		if first.Err != nil {
			t.Fatalf("round %d: %v", round, first.Err)
		}
		if released := scope(leader, "e1", lease.Command{Kind: lease.Release, Holder: take.Holder, Fence: first.Fence}); released.Err != nil {
			t.Fatalf("round %d: %v", round, released.Err)
		}
		other := (leader + 1 + round%2) % 3
		next := scope(other, "e2", take)
		if next.Err != nil || next.Fence <= first.Fence {
			t.Fatalf("round %d: after the release replica %d answers %+v", round, other+1, next)
		}
		if released := scope(leader, "e2", lease.Command{Kind: lease.Release, Holder: take.Holder, Fence: next.Fence}); released.Err != nil {
			t.Fatalf("round %d: %v", round, released.Err)
		}
	}
}
