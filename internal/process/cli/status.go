package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/api/filberthook/v1/filberthookv1connect"
)

func (a *app) addStatus(parser *kingpin.Application) {
	clause := parser.Command("status", "Show which revision each host has in force.")
	revision := clause.Flag("wait", "Return when all live hosts have this revision; 0 takes the newest.").Default("-1").Int64()
	a.command(clause, func(ctx context.Context) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		if *revision >= 0 {
			if err := a.waitForRevision(ctx, c, uint64(*revision)); err != nil {
				return err
			}
		}
		resp, err := call(ctx, c, &filberthookv1.GetStatusRequest{}, filberthookv1connect.OperatorServiceClient.GetStatus)
		if err != nil {
			return err
		}
		return a.printMessage(resp, func() { a.printStatus(resp) })
	})
}

func (a *app) waitForRevision(ctx context.Context, c *control, revision uint64) error {
	if revision == 0 {
		newest, err := newestRevision(ctx, c)
		if err != nil {
			return err
		}
		revision = newest
	}
	return a.waitInForce(ctx, c, revision)
}

func (a *app) printStatus(resp *filberthookv1.GetStatusResponse) {
	fmt.Fprintf(a.out, "revision %d, leader %s, answered by %s\n", resp.Revision, orDash(resp.Leader), resp.Replica)
	if resp.Stale {
		fmt.Fprintln(a.out, "warning: this control host cannot reach the leader; a newer revision may be agreed")
	}
	if len(resp.UnreachableReplicas) > 0 {
		fmt.Fprintf(a.out, "warning: no reports from control hosts %s\n", strings.Join(resp.UnreachableReplicas, ", "))
	}
	var rows [][]string
	for _, h := range resp.Hosts {
		rows = append(rows, []string{h.Host, h.Zone, fmt.Sprint(h.Revision), yesNo(h.Applied), yesNo(h.Live), age(h.AgeMs), h.Replica})
	}
	a.table("HOST ZONE REVISION APPLIED LIVE AGE WATCHES", rows)
	if len(resp.Leases) == 0 {
		return
	}
	fmt.Fprintln(a.out)
	rows = nil
	for _, l := range resp.Leases {
		rows = append(rows, []string{l.Zone, orDash(l.Holder), fmt.Sprint(l.Fence)})
	}
	a.table("ZONE PLANNER FENCE", rows)
}

// age formats milliseconds; a negative age is unknown.
func age(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func (a *app) addEngines(parser *kingpin.Application) {
	clause := parser.Command("engines", "Show what each engine carries and should carry.")
	a.command(clause, func(ctx context.Context) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		resp, err := call(ctx, c, &filberthookv1.ListEnginesRequest{}, filberthookv1connect.OperatorServiceClient.ListEngines)
		if err != nil {
			return err
		}
		return a.printMessage(resp, func() { a.printEngines(resp.Engines) })
	})
}

func (a *app) printEngines(engines []*filberthookv1.EngineStatus) {
	var rows [][]string
	for _, e := range engines {
		rows = append(rows, []string{e.Engine, orDash(e.Zone), orDash(e.Role), formatModels(e.Carried), formatModels(e.Declared),
			yesNo(e.ChecksFence), fmt.Sprint(e.Fence), orDash(e.OutstandingOrder), orDash(e.LastOrder), yesNo(e.Draining), age(e.AgeMs)})
	}
	a.table("ENGINE ZONE ROLE CARRIES DECLARED CHECKS-FENCE FENCE ORDER LAST DRAINING AGE", rows)
}

func (a *app) addAudit(parser *kingpin.Application) {
	clause := parser.Command("audit", "Show the accepted changes, newest first.")
	limit := clause.Flag("limit", "Highest number of changes.").Default("20").Int32()
	a.command(clause, func(ctx context.Context) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		resp, err := call(ctx, c, &filberthookv1.ListAuditRequest{Limit: *limit}, filberthookv1connect.OperatorServiceClient.ListAudit)
		if err != nil {
			return err
		}
		return a.printMessage(resp, func() {
			var rows [][]string
			for _, e := range resp.Entries {
				at := time.UnixMilli(e.AcceptedAtMs).UTC().Format(time.RFC3339)
				rows = append(rows, []string{fmt.Sprint(e.Revision), at, e.Operator, e.ChangeId, strings.Join(e.Summary, "; ")})
			}
			a.table("REVISION AT OPERATOR CHANGE CHANGES", rows)
		})
	})
}
