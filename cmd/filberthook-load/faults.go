package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/faultrun"
	"filberthook/internal/process/invariant"
)

// faultOptions are the flags of the faults command.
type faultOptions struct {
	run      faultrun.Config
	zones    []string
	controls int
	entries  int
	verbose  bool
}

// faultsCommand injects seeded faults into a system in this process and checks
// its guarantees.
func faultsCommand(app *kingpin.Application) command {
	cmd := app.Command("faults", "Runs a system on loopback under seeded faults and audits every promise.")
	var o faultOptions
	cmd.Flag("seed", "Seed of the faults and the calls.").Default("1").Uint64Var(&o.run.Seed)
	cmd.Flag("duration", "Length of the faults.").Default("60s").DurationVar(&o.run.Length)
	cmd.Flag("engines", "Stand-in engines.").Default("4").IntVar(&o.run.Engines)
	cmd.Flag("services", "Stand-in workers of a plain service.").Default("4").IntVar(&o.run.Services)
	cmd.Flag("callers", "Callers that work at the same time.").Default("24").IntVar(&o.run.Callers)
	cmd.Flag("zone", "Availability zone; repeat for more.").Default("bio", "sdr").StringsVar(&o.zones)
	cmd.Flag("controls", "Control replicas.").Default("3").IntVar(&o.controls)
	cmd.Flag("entries", "Entry hosts per availability zone.").Default("2").IntVar(&o.entries)
	cmd.Flag("verbose", "Log what all parts do.").BoolVar(&o.verbose)
	return command{clause: cmd, run: func(ctx context.Context) error { return runFaults(ctx, o) }}
}

func runFaults(ctx context.Context, o faultOptions) error {
	log := slog.New(slog.DiscardHandler)
	if o.verbose {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	cluster, closeCluster, err := temporaryCluster(ctx, faultrun.ClusterConfig{
		Zones: o.zones, Controls: o.controls, EntriesPerZone: o.entries, Logger: log,
	})
	if err != nil {
		return err
	}
	start := time.Now()
	report, err := faultrun.Run(ctx, o.run, cluster.System(), log)
	if closeErr := closeCluster(); err == nil {
		err = closeErr
	}
	report.Print(os.Stdout)
	fmt.Printf("seed %d, %s in all, %d invariant checks in this process\n", o.run.Seed, time.Since(start).Round(time.Second), invariant.Checks())
	if err != nil {
		return err
	}
	if n := report.Violations.Sum(); n > 0 {
		return fmt.Errorf("%d violations with seed %d: run the seed again with --verbose", n, o.run.Seed)
	}
	return nil
}
