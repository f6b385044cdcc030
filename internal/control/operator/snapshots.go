package operator

import (
	"context"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/control/backup"
	"filberthook/internal/engines/fleet"
)

// SaveSnapshot implements the schema's SaveSnapshot.
func (s *Service) SaveSnapshot(ctx context.Context, _ *connect.Request[filberthookv1.SaveSnapshotRequest]) (*connect.Response[filberthookv1.SaveSnapshotResponse], error) {
	if err := requireAdmin(ctx); err != nil {
		return nil, err
	}
	c := s.state.Configuration()
	data, err := backup.Encode(c)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&filberthookv1.SaveSnapshotResponse{Revision: c.Revision, Data: data}), nil
}

// RestoreSnapshot implements the schema's RestoreSnapshot.
func (s *Service) RestoreSnapshot(ctx context.Context, req *connect.Request[filberthookv1.RestoreSnapshotRequest]) (*connect.Response[filberthookv1.RestoreSnapshotResponse], error) {
	if err := requireAdmin(ctx); err != nil {
		return nil, err
	}
	if req.Msg.ExpectedRevision == nil {
		return nil, errNoRevision()
	}
	c, err := backup.Decode(req.Msg.Data)
	if err != nil {
		return nil, invalid(err.Error(), "verify the file with `filberthook snapshot verify`")
	}
	changes := []fleet.Change{{Restore: &fleet.Restore{Backup: c, AllowOlder: req.Msg.AllowOlder}}}
	result, err := s.run(ctx, req.Msg.ChangeId, *req.Msg.ExpectedRevision, changes, req.Msg.DryRun)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&filberthookv1.RestoreSnapshotResponse{
		Revision:       result.Revision,
		BackupRevision: c.Revision,
		Differences:    differences(result.Before, result.Delta),
	}), nil
}
