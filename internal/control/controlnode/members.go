package controlnode

import (
	"context"
	"fmt"

	"filberthook/internal/control/operator"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/replication/replica"
)

// Members implements operator.Group. It asks the leader, which alone knows the members'
// log positions. If no leader is known, it returns what this replica knows.
func (g *group) Members(ctx context.Context) ([]operator.Member, uint64, error) {
	status := g.log.Status()
	if status.Role == replica.RoleLeader || status.LeaderAddress == "" {
		resp := membersOf(status)
		return resp.Members, resp.Commit, nil
	}
	var resp membersResponse
	if err := g.clients.Get(status.LeaderAddress).Call(ctx, methodMembers, membersRequest{}, &resp); err != nil {
		return nil, 0, err
	}
	return resp.Members, resp.Commit, nil
}

func membersOf(status replica.Status) membersResponse {
	resp := membersResponse{Commit: status.Commit}
	for _, m := range status.Members {
		resp.Members = append(resp.Members, operator.Member{
			ID:      m.ID,
			Address: m.Address,
			Zone:    m.Zone,
			Voter:   !m.Learner,
			Leader:  m.ID == status.Leader,
			Match:   m.Match,
			Active:  m.Active,
		})
	}
	return resp
}

// ChangeMember implements operator.Group.
func (g *group) ChangeMember(ctx context.Context, change operator.MemberChange) error {
	return g.atLeader(ctx,
		func(ctx context.Context) error { return g.changeMemberHere(ctx, change) },
		func(ctx context.Context, leader string) error {
			return g.clients.Get(leader).Call(ctx, methodChangeMember, change, &changeMemberResponse{})
		})
}

func (g *group) changeMemberHere(ctx context.Context, change operator.MemberChange) error {
	if err := g.checkAdmin(change.Actor); err != nil {
		return &operator.NotAppliedError{Err: err}
	}
	var err error
	switch change.Action {
	case operator.AddLearner:
		err = g.log.AddLearner(ctx, replica.Member{ID: change.ID, Address: change.Address, Zone: change.Zone})
	case operator.Promote:
		err = g.log.Promote(ctx, change.ID)
	case operator.RemoveMember:
		err = g.log.RemoveMember(ctx, change.ID)
	default:
		err = fmt.Errorf("action %q is unknown; upgrade this control host", change.Action)
	}
	if err != nil {
		return localOutcome(err)
	}
	return nil
}

// checkAdmin refuses actors that are not admins. Replicas forward the actor that they
// have authenticated, with the hash of its key. A host that is no replica cannot forge
// an admin, because it does not know that hash.
func (g *group) checkAdmin(actor fleet.Actor) error {
	if err := g.checkBootstrap(actor); err != nil {
		return err
	}
	role, refused := g.state.Configuration().RoleOf(actor)
	if refused != nil {
		return refused
	}
	if role != fleet.RoleAdmin {
		return fmt.Errorf("operator %q has role %s; ask an admin to change members", actor.Name, role)
	}
	return nil
}
