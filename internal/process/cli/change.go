package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/control/operator"
)

// conflictRetries is how often a change with neither --expected-revision nor
// --change-id is sent again after a conflict.
const conflictRetries = 3

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	changeID string
	expected string
	dryRun   bool
	wait     bool
}

func (f *changeFlags) add(clause *kingpin.CmdClause) {
	clause.Flag("change-id", "Identifier of the change; a resend under the same one is applied once. Drawn without it.").StringVar(&f.changeID)
	clause.Flag("expected-revision", "Revision that the change was made for; any other one is a conflict. The newest without it.").StringVar(&f.expected)
	clause.Flag("dry-run", "Check the change and show the difference only.").BoolVar(&f.dryRun)
	clause.Flag("wait", "Return when all live hosts have the change in force.").BoolVar(&f.wait)
}

// request returns the request of a change. Without --expected-revision it reads and
// expects the newest revision.
func (f *changeFlags) request(ctx context.Context, c *control, changes []*filberthookv1.Change) (*filberthookv1.ApplyRequest, error) {
	req := &filberthookv1.ApplyRequest{ChangeId: f.changeID, Changes: changes, DryRun: f.dryRun}
	if req.ChangeId == "" {
		req.ChangeId = rand.Text()
	}
	if f.expected != "" {
		var revision uint64
		if _, err := fmt.Sscanf(f.expected, "%d", &revision); err != nil {
			return nil, usage("--expected-revision %q is not a number; copy it from `filberthook status`", f.expected)
		}
		req.ExpectedRevision = &revision
		return req, nil
	}
	revision, err := newestRevision(ctx, c)
	if err != nil {
		return nil, err
	}
	req.ExpectedRevision = &revision
	return req, nil
}

func newestRevision(ctx context.Context, c *control) (uint64, error) {
	config, err := configuration(ctx, c)
	if err != nil {
		return 0, err
	}
	return config.Revision, nil
}

func configuration(ctx context.Context, c *control) (*filberthookv1.Configuration, error) {
	resp, err := call(ctx, c, &filberthookv1.GetConfigurationRequest{}, filberthookv1connect.OperatorServiceClient.GetConfiguration)
	if err != nil {
		return nil, err
	}
	return resp.Configuration, nil
}

// change sends changes and prints the outcome.
func (a *app) change(ctx context.Context, f *changeFlags, changes ...*filberthookv1.Change) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	resp, id, err := send(ctx, c, f, changes)
	if err != nil {
		return err
	}
	if err := a.printChange(resp, id, f.dryRun); err != nil {
		return err
	}
	if f.wait && !f.dryRun {
		return a.waitInForce(ctx, c, resp.Revision)
	}
	return nil
}

// send sends changes. After a conflict it retries, with a new change id, unless the
// operator gave --expected-revision or --change-id.
func send(ctx context.Context, c *control, f *changeFlags, changes []*filberthookv1.Change) (*filberthookv1.ApplyResponse, string, error) {
	for attempt := 0; ; attempt++ {
		req, err := f.request(ctx, c, changes)
		if err != nil {
			return nil, "", err
		}
		resp, err := call(ctx, c, req, filberthookv1connect.OperatorServiceClient.Apply)
		if err == nil {
			return resp, req.ChangeId, nil
		}
		retryable := f.expected == "" && f.changeID == ""
		if !retryable || !isConflict(err) || attempt == conflictRetries {
			return nil, req.ChangeId, withChangeID(err, req.ChangeId)
		}
	}
}

func isConflict(err error) bool {
	d := operator.DetailOf(err)
	return d != nil && d.Reason == "conflict"
}

// withChangeID adds the change id to an error of unknown outcome, for the resend.
func withChangeID(err error, id string) error {
	if exitCode(err) != ExitUnknown {
		return err
	}
	return fmt.Errorf("%w (change id %s)", err, id)
}

// waitInForce returns once all live hosts have applied a revision, or with a
// notInForceError when ctx ends first.
func (a *app) waitInForce(ctx context.Context, c *control, revision uint64) error {
	req := &filberthookv1.GetStatusRequest{WaitRevision: revision, WaitMs: (5 * time.Second).Milliseconds()}
	var late []string
	for {
		resp, err := call(ctx, c, req, filberthookv1connect.OperatorServiceClient.GetStatus)
		if ctx.Err() != nil {
			return &notInForceError{revision: revision, hosts: late}
		}
		if err != nil {
			return err
		}
		if resp.InForce {
			a.progress("revision %d is in force at all live hosts", revision)
			a.warnSilent(resp)
			return nil
		}
		late = lateHosts(resp)
		a.progress("waiting for %v", late)
	}
}

// warnSilent prints the hosts that have neither reported lately nor applied the
// revision, for example in an unreachable zone.
func (a *app) warnSilent(resp *filberthookv1.GetStatusResponse) {
	var silent []string
	for _, h := range resp.Hosts {
		if !h.Live && !h.Applied {
			silent = append(silent, h.Host)
		}
	}
	if len(silent) > 0 {
		a.progress("warning: not in force at hosts that do not report: %v", silent)
	}
}

func lateHosts(resp *filberthookv1.GetStatusResponse) []string {
	var late []string
	for _, h := range resp.Hosts {
		if h.Live && !h.Applied {
			late = append(late, h.Host)
		}
	}
	return late
}
