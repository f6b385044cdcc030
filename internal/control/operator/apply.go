package operator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/replication/statemachine"
)

// Apply implements the schema's Apply.
func (s *Service) Apply(ctx context.Context, req *connect.Request[filberthookv1.ApplyRequest]) (*connect.Response[filberthookv1.ApplyResponse], error) {
	if req.Msg.ExpectedRevision == nil {
		return nil, errNoRevision()
	}
	changes, err := changesOf(req.Msg.Changes)
	if err != nil {
		return nil, err
	}
	result, err := s.run(ctx, req.Msg.ChangeId, *req.Msg.ExpectedRevision, changes, req.Msg.DryRun)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&filberthookv1.ApplyResponse{
		Revision:    result.Revision,
		Differences: differences(result.Before, result.Delta),
		Repeated:    result.Repeated,
	}), nil
}

func errNoRevision() error {
	return invalid("the expected revision is missing", "read the configuration and send its revision")
}

// run applies changes, or only checks them in a dry run.
func (s *Service) run(ctx context.Context, id string, expected uint64, changes []fleet.Change, dryRun bool) (fleet.Result, error) {
	cmd := fleet.Command{
		ChangeID:         id,
		ExpectedRevision: expected,
		Actor:            callerOf(ctx).actor,
		AtMillis:         s.settings.Now().UnixMilli(),
		Changes:          changes,
	}
	result, err := s.apply(ctx, cmd, dryRun)
	if err != nil {
		return fleet.Result{}, err
	}
	if result.Err != nil {
		return fleet.Result{}, refusal(result.Err)
	}
	if !dryRun && !result.Repeated {
		s.settings.Logger.Info("configuration changed",
			"operator", cmd.Actor.Name, "change_id", id, "revision", result.Revision, "changes", fleet.Summarize(changes))
	}
	return result, nil
}

func (s *Service) apply(ctx context.Context, cmd fleet.Command, dryRun bool) (fleet.Result, error) {
	if dryRun {
		return s.state.DryRun(cmd), nil
	}
	resp, err := s.group.Propose(ctx, statemachine.Command{Fleet: &cmd})
	if err != nil {
		return fleet.Result{}, proposalError(err)
	}
	if resp.Fleet == nil {
		return fleet.Result{}, proposalError(errors.New("the control group returned no outcome"))
	}
	return *resp.Fleet, nil
}
