package operator

import (
	"context"
	"fmt"
	"net/netip"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/fleet"
)

// Member is one replica of the control group.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	Match   uint64 `json:"match"`  // last log position known to be stored there; known at the leader only
	Active  bool   `json:"active"` // known at the leader only
}

// MemberAction is what a MemberChange does.
type MemberAction string

// Actions on members.
const (
	AddLearner   MemberAction = "add_learner"
	Promote      MemberAction = "promote"
	RemoveMember MemberAction = "remove"
)

// MemberChange adds, promotes or removes one replica.
type MemberChange struct {
	Actor   fleet.Actor  `json:"actor"` // sender; the leader checks again that it is an admin
	Action  MemberAction `json:"action"`
	ID      uint64       `json:"id"`
	Address string       `json:"address,omitempty"` // for AddLearner
	Zone    string       `json:"zone,omitempty"`    // for AddLearner
}

// ListMembers implements the schema's ListMembers.
func (s *Service) ListMembers(ctx context.Context, _ *connect.Request[filberthookv1.ListMembersRequest]) (*connect.Response[filberthookv1.ListMembersResponse], error) {
	members, commit, err := s.group.Members(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	resp := &filberthookv1.ListMembersResponse{Commit: commit}
	for _, m := range members {
		resp.Members = append(resp.Members, &filberthookv1.Member{
			Id: m.ID, Address: m.Address, Zone: m.Zone,
			Voter: m.Voter, Leader: m.Leader, Match: m.Match, Active: m.Active,
		})
	}
	return connect.NewResponse(resp), nil
}

// ChangeMember implements the schema's ChangeMember.
func (s *Service) ChangeMember(ctx context.Context, req *connect.Request[filberthookv1.ChangeMemberRequest]) (*connect.Response[filberthookv1.ChangeMemberResponse], error) {
	if err := requireAdmin(ctx); err != nil {
		return nil, err
	}
	change, err := memberChangeOf(req.Msg)
	if err != nil {
		return nil, err
	}
	change.Actor = callerOf(ctx).actor
	if err := s.group.ChangeMember(ctx, change); err != nil {
		return nil, proposalError(err)
	}
	s.settings.Logger.Info("members changed",
		"operator", callerOf(ctx).actor.Name, "action", change.Action, "id", change.ID, "address", change.Address)
	return connect.NewResponse(&filberthookv1.ChangeMemberResponse{}), nil
}

func memberChangeOf(req *filberthookv1.ChangeMemberRequest) (MemberChange, error) {
	change := MemberChange{ID: req.Id, Address: req.Address, Zone: req.Zone}
	if req.Id == 0 {
		return change, invalid("the replica id is missing", "use a positive id that no replica ever had")
	}
	switch req.Action {
	case filberthookv1.MemberAction_MEMBER_ACTION_ADD_LEARNER:
		change.Action = AddLearner
		if _, err := netip.ParseAddrPort(req.Address); err != nil || req.Zone == "" {
			return change, invalid(fmt.Sprintf("the learner's address %q or zone %q is wrong", req.Address, req.Zone),
				"send an IP number with a port and the availability zone")
		}
	case filberthookv1.MemberAction_MEMBER_ACTION_PROMOTE:
		change.Action = Promote
	case filberthookv1.MemberAction_MEMBER_ACTION_REMOVE:
		change.Action = RemoveMember
	default:
		return change, invalid("the action is missing", "use add-learner, promote or remove")
	}
	return change, nil
}
