package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
)

// addQuarantine adds the commands on prompt blocks and requests that end the instances which run
// them.
func (a *app) addQuarantine(parser *kingpin.Application) {
	parent := parser.Command("quarantine", "Show and change which prompt blocks and requests filberthook-host refuses because they end instances.")
	var hosts []string
	parent.Flag("control", "listen.peers of a control host, host:port; repeat it for more, which are tried in turn.").
		Envar("FILBERTHOOK_CONTROL").Required().StringsVar(&hosts)
	a.command(parent.Command("list", "List the blocks and requests in quarantine and the instances that ended under them."), func(ctx context.Context) error {
		return a.blocks(ctx, hosts, controlapi.BlocksRequest{})
	})
	for word, help := range map[controlapi.BlockWord]string{
		controlapi.HoldBlock:    "Refuse a request, or all with a block, at all entry hosts until it is released.",
		controlapi.ReleaseBlock: "Let a request, or those with a block, through again; only later ends can blame it.",
	} {
		clause := parent.Command(string(word), help)
		block := clause.Arg("suspect", "MODEL/ID or request:ENDPOINT:DIGEST, as in the list and in the log lines of refused requests.").Required().String()
		a.command(clause, func(ctx context.Context) error {
			if !quarantine.Suspect(*block).Valid() {
				return &usageError{fmt.Errorf("%q is neither a block, MODEL/ID, nor a request, request:ENDPOINT:DIGEST", *block)}
			}
			return a.blocks(ctx, hosts, controlapi.BlocksRequest{Word: word, Block: quarantine.Suspect(*block)})
		})
	}
}

// blocks sends a request to the first control host that answers, and prints the list.
func (a *app) blocks(ctx context.Context, hosts []string, req controlapi.BlocksRequest) error {
	options := controlapi.PeerOptions(peer.Identity{Host: "operator"}, true, metrics.NewSet(), slog.New(slog.DiscardHandler))
	var failures []error
	for _, host := range hosts {
		client := peer.NewClient(host, options)
		var answer controlapi.BlocksResponse
		err := client.Call(ctx, controlapi.MethodBlocks, req, &answer)
		client.Close()
		if err == nil {
			return a.printBlocks(answer.Blocks)
		}
		failures = append(failures, fmt.Errorf("%s: %w", host, err))
	}
	return errors.Join(failures...)
}

func (a *app) printBlocks(blocks []quarantine.Entry) error {
	if a.options.output == outputJSON {
		return a.printJSON(blocks)
	}
	var rows [][]string
	for _, b := range blocks {
		rows = append(rows, []string{string(b.Suspect), sinceMS(b.SinceMS), yesNo(b.ByOperator), fmt.Sprint(b.Ends), fmt.Sprint(b.Probes)})
		for _, e := range b.Instances {
			rows = append(rows, []string{"  " + e.Instance, sinceMS(e.AgeMS), "", "", ""})
		}
	}
	a.table("SUSPECT SINCE HELD ENDS PROBES", rows)
	return nil
}

// sinceMS prints an age in milliseconds.
func sinceMS(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
