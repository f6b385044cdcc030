package controlnode

import (
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/authority"
	"filberthook/internal/control/lease"
	"filberthook/internal/process/settings"
	"filberthook/internal/serve/claim"
)

// replace stops a node and puts a new one with an empty disk in its place, as an operator does.
func (c *cluster) replace(i int, id uint64) {
	c.t.Helper()
	gone := c.nodes[i].settings.Replica.ID
	c.nodes[i].stop()
	var members []settings.ControlMember
	for _, n := range c.nodes[i+1:] {
		members = append(members, settings.ControlMember{ID: n.settings.Replica.ID, Address: n.settings.Listen.Peers, Zone: n.settings.Zone})
	}
	member := settings.ControlMember{ID: id, Address: loopback.String(), Zone: c.nodes[i].settings.Zone}
	c.add(member, settings.ControlReplica{ID: id, Join: true, Members: append(members, member)})
	c.start(len(c.nodes) - 1)
	steps := []*filberthookv1.ChangeMemberRequest{
		{Action: filberthookv1.MemberAction_MEMBER_ACTION_ADD_LEARNER, Id: id, Address: member.Address, Zone: member.Zone},
		{Action: filberthookv1.MemberAction_MEMBER_ACTION_PROMOTE, Id: id},
		{Action: filberthookv1.MemberAction_MEMBER_ACTION_REMOVE, Id: gone},
	}
	admin := c.operator(i+1, bootstrapKey)
	for _, step := range steps {
		for {
			_, err := admin.ChangeMember(c.t.Context(), connect.NewRequest(step))
			if err == nil {
				break
			}
			if c.t.Context().Err() != nil || !strings.Contains(err.Error(), "unavailable") {
				c.t.Fatalf("%v: %v", step.Action, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestLeaseAndClaimOutliveAllReplicasThatGrantedThem(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	ctx := t.Context()
	take := lease.Command{Kind: lease.Acquire, Holder: lease.Holder{Session: "s"}, TTL: lease.MaxTTL}
	var held lease.Result
	if err := c.peer(0, "e1").Call(ctx, authority.MethodLease, take, &held); err != nil || held.Err != nil {
		t.Fatalf("%+v, %v", held, err)
	}
	claimed := claim.Command{
		Kind: claim.KindClaim, Attempt: "a1", BodyHash: "h", Hold: 5 * time.Minute,
		Key: claim.Key{Team: "t", Endpoint: "booking", Idempotency: "i"},
	}
	var first, second claim.BatchResult
	if err := c.peer(0, "e1").Call(ctx, MethodClaims, claim.Batch{Commands: []claim.Command{claimed}}, &first); err != nil || first.Results[0].Status != claim.Granted {
		t.Fatalf("%+v, %v", first, err)
	}
	for i := range 3 {
		c.replace(i, uint64(i+4))
	}
	last := len(c.nodes) - 1
	claimed.Attempt = "a2"
	if err := c.peer(last, "e2").Call(ctx, MethodClaims, claim.Batch{Commands: []claim.Command{claimed}}, &second); err != nil || second.Results[0].Status != claim.InProgress {
		t.Errorf("the claim of another attempt: %+v, %v; want in progress", second, err)
	}
	var refused, released, next lease.Result
	if err := c.peer(last, "e2").Call(ctx, authority.MethodLease, take, &refused); err != nil || refused.Err == nil || refused.Err.Holder != "e1" {
		t.Errorf("the lease of another host: %+v, %v; want that e1 holds it", refused, err)
	}
	release := lease.Command{Kind: lease.Release, Holder: take.Holder, Fence: held.Fence}
	if err := c.peer(last, "e1").Call(ctx, authority.MethodLease, release, &released); err != nil || released.Err != nil {
		t.Errorf("the release: %+v, %v", released, err)
	}
	if err := c.peer(last, "e2").Call(ctx, authority.MethodLease, take, &next); err != nil || next.Err != nil || next.Fence <= held.Fence {
		t.Errorf("the next holder: %+v, %v; want a fence above %d", next, err, held.Fence)
	}
}
