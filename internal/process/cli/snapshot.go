package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/control/backup"
)

func (a *app) addSnapshot(parser *kingpin.Application) {
	parent := parser.Command("snapshot", "Save, verify and restore backups of the configuration. A backup holds the sums of keys: keep it private.")
	save := parent.Command("save", "Save a verified backup to a new file.")
	saveFile := save.Arg("file", "File to write.").Required().String()
	a.command(save, func(ctx context.Context) error { return a.saveSnapshot(ctx, *saveFile) })

	verify := parent.Command("verify", "Verify a backup without a control group.")
	verifyFile := verify.Arg("file", "File of the backup.").Required().String()
	a.command(verify, func(context.Context) error {
		_, err := a.verifySnapshot(*verifyFile)
		return err
	})
	a.addRestore(parent)
}

func (a *app) saveSnapshot(ctx context.Context, file string) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	resp, err := call(ctx, c, &filberthookv1.SaveSnapshotRequest{}, filberthookv1connect.OperatorServiceClient.SaveSnapshot)
	if err != nil {
		return err
	}
	if _, err := backup.Decode(resp.Data); err != nil {
		return fmt.Errorf("the received backup is damaged: %w", err)
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return usage("write the backup: %w; name a new file", err)
	}
	_, err = f.Write(resp.Data)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("write the backup: %w", err)
	}
	_, err = a.verifySnapshot(file)
	return err
}

// verifySnapshot checks a file, prints a summary and returns its content.
func (a *app) verifySnapshot(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("read the backup: %w; correct the file name", err)
	}
	config, err := backup.Decode(data)
	if err != nil {
		return nil, usage("%s: %w", file, err)
	}
	summary := backupSummary{
		File: file, Revision: config.Revision, Endpoints: len(config.Endpoints), Teams: len(config.Teams),
		Operators: len(config.Operators), Declarations: len(config.Declarations),
	}
	if a.options.output == outputJSON {
		return data, a.printJSON(summary)
	}
	fmt.Fprintf(a.out, "%s is intact: revision %d, %d endpoints, %d teams, %d operators, %d declarations\n", file,
		summary.Revision, summary.Endpoints, summary.Teams, summary.Operators, summary.Declarations)
	return data, nil
}

// backupSummary counts what a backup contains.
type backupSummary struct {
	File         string `json:"file"`
	Revision     uint64 `json:"revision"`
	Endpoints    int    `json:"endpoints"`
	Teams        int    `json:"teams"`
	Operators    int    `json:"operators"`
	Declarations int    `json:"declarations"`
}

func (a *app) addRestore(parent *kingpin.CmdClause) {
	var f changeFlags
	clause := parent.Command("restore", "Replace the configuration by that of a backup, as a new revision. Look at it with --dry-run first.")
	file := clause.Arg("file", "File of the backup.").Required().String()
	older := clause.Flag("allow-older", "Accept a backup that is older than the configuration.").Bool()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		data, err := a.verifySnapshot(*file)
		if err != nil {
			return err
		}
		c, err := a.connect()
		if err != nil {
			return err
		}
		base, err := f.request(ctx, c, nil)
		if err != nil {
			return err
		}
		return a.restore(ctx, c, &f, &filberthookv1.RestoreSnapshotRequest{
			ChangeId: base.ChangeId, ExpectedRevision: base.ExpectedRevision, DryRun: f.dryRun, Data: data, AllowOlder: *older,
		})
	})
}

func (a *app) restore(ctx context.Context, c *control, f *changeFlags, req *filberthookv1.RestoreSnapshotRequest) error {
	if req.ChangeId == "" {
		req.ChangeId = rand.Text()
	}
	resp, err := call(ctx, c, req, filberthookv1connect.OperatorServiceClient.RestoreSnapshot)
	if err != nil {
		return withChangeID(err, req.ChangeId)
	}
	shown := &filberthookv1.ApplyResponse{Revision: resp.Revision, Differences: resp.Differences}
	if err := a.printChange(shown, req.ChangeId, f.dryRun); err != nil {
		return err
	}
	if f.wait && !f.dryRun {
		return a.waitInForce(ctx, c, resp.Revision)
	}
	return nil
}
