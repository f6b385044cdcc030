package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/api/filberthook/v1/filberthookv1connect"
)

func (a *app) addMembers(parser *kingpin.Application) {
	parent := parser.Command("members", "Show and change the replicas of the control group, one at a time.")
	a.command(parent.Command("list", "List the replicas."), a.listMembers)
	a.addMemberChange(parent, "add", "Add a replica as a learner, which receives the log without a vote.", filberthookv1.MemberAction_MEMBER_ACTION_ADD_LEARNER)
	a.addMemberChange(parent, "promote", "Give a learner that has caught up a vote; returns once it holds everything.", filberthookv1.MemberAction_MEMBER_ACTION_PROMOTE)
	a.addMemberChange(parent, "remove", "Remove a replica; its id cannot be used again.", filberthookv1.MemberAction_MEMBER_ACTION_REMOVE)
}

func (a *app) addMemberChange(parent *kingpin.CmdClause, verb, help string, action filberthookv1.MemberAction) {
	req := &filberthookv1.ChangeMemberRequest{Action: action}
	clause := parent.Command(verb, help)
	clause.Arg("id", "Number of the replica.").Required().Uint64Var(&req.Id)
	if action == filberthookv1.MemberAction_MEMBER_ACTION_ADD_LEARNER {
		clause.Flag("peer-address", "Its listen.peers.").Required().StringVar(&req.Address)
		clause.Flag("zone", "Its availability zone.").Required().StringVar(&req.Zone)
	}
	a.command(clause, func(ctx context.Context) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		resp, err := call(ctx, c, req, filberthookv1connect.OperatorServiceClient.ChangeMember)
		if err != nil {
			return err
		}
		return a.printMessage(resp, func() { fmt.Fprintf(a.out, "done; see `filberthook members list`\n") })
	})
}

func (a *app) listMembers(ctx context.Context) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	resp, err := call(ctx, c, &filberthookv1.ListMembersRequest{}, filberthookv1connect.OperatorServiceClient.ListMembers)
	if err != nil {
		return err
	}
	return a.printMessage(resp, func() {
		var rows [][]string
		for _, m := range resp.Members {
			rows = append(rows, []string{fmt.Sprint(m.Id), m.Address, m.Zone, yesNo(m.Voter), yesNo(m.Leader), yesNo(m.Active), fmt.Sprint(m.Match)})
		}
		a.table("ID ADDRESS ZONE VOTER LEADER ACTIVE HOLDS", rows)
		fmt.Fprintf(a.out, "agreed up to %d\n", resp.Commit)
	})
}
