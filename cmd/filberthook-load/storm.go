package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/faultrun"
)

// stormCommand measures how far retries multiply the requests to engines during outages.
func stormCommand(app *kingpin.Application) command {
	cmd := app.Command("storm", "Counts the requests that reach engines per call while engines are out of order, on a system in this process.")
	var cfg faultrun.StormConfig
	limit := cmd.Flag("limit", "Highest number of requests per call that is accepted.").Default("1.1").Float64()
	cmd.Flag("engines", "Stand-in engines.").Default("8").IntVar(&cfg.Engines)
	cmd.Flag("rate", "Calls per second.").Default("200").Float64Var(&cfg.Rate)
	cmd.Flag("calls", "Calls per outage.").Default("2000").IntVar(&cfg.Calls)
	cmd.Flag("timeout", "Longest time of one call.").Default("5s").DurationVar(&cfg.Timeout)
	cmd.Flag("seed", "Seed of the calls.").Default("1").Uint64Var(&cfg.Seed)
	return command{clause: cmd, run: func(ctx context.Context) error { return runStorm(ctx, cfg, *limit) }}
}

func runStorm(ctx context.Context, cfg faultrun.StormConfig, limit float64) (err error) {
	cluster, closeCluster, err := temporaryCluster(ctx, faultrun.ClusterConfig{
		Zones: []string{"bio", "sdr"}, Controls: 1, EntriesPerZone: 1, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeCluster()) }()
	storms, err := faultrun.MeasureStorms(ctx, cfg, cluster.System())
	if err != nil {
		return err
	}
	var errs []error
	for _, s := range storms {
		s.Print(os.Stdout)
		if s.Amplification() > limit {
			errs = append(errs, fmt.Errorf("%s: %.3f requests reached engines per call, the limit is %.3f", s.Outage, s.Amplification(), limit))
		}
	}
	return errors.Join(errs...)
}

// temporaryCluster starts a cluster in a temporary folder, which the returned
// function removes after it has stopped the cluster.
func temporaryCluster(ctx context.Context, cfg faultrun.ClusterConfig) (*faultrun.Cluster, func() error, error) {
	dir, err := os.MkdirTemp("", "filberthook-load-")
	if err != nil {
		return nil, nil, err
	}
	cfg.Dir = dir
	cluster, err := faultrun.StartCluster(ctx, cfg)
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(dir))
	}
	return cluster, func() error { return errors.Join(cluster.Close(), os.RemoveAll(dir)) }, nil
}
