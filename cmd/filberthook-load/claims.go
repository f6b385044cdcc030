package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/faultrun"
	"filberthook/internal/bench/loadgen"
	"filberthook/internal/bench/standin"
)

// claimsCommand measures calls that may run at most once.
func claimsCommand(app *kingpin.Application) command {
	cmd := app.Command("claims", "Measures calls that run at most once beside status reads, on a system in this process with three control replicas.")
	var cfg loadgen.ClaimsConfig
	cmd.Flag("rate", "Claimed calls per second; repeat for more measurements.").Default("100", "400", "800").Float64ListVar(&cfg.Rates)
	cmd.Flag("length", "Time of each measurement.").Default("5s").DurationVar(&cfg.Duration)
	cmd.Flag("timeout", "Longest time of one call.").Default("10s").DurationVar(&cfg.Timeout)
	cmd.Flag("seed", "Seed of the calls.").Default("1").Uint64Var(&cfg.Seed)
	return command{clause: cmd, run: func(ctx context.Context) error { return runClaims(ctx, cfg) }}
}

func runClaims(ctx context.Context, cfg loadgen.ClaimsConfig) (err error) {
	log := slog.New(slog.DiscardHandler)
	zones := []string{"z1", "z2"}
	cluster, closeCluster, err := temporaryCluster(ctx, faultrun.ClusterConfig{Zones: zones, Controls: 3, EntriesPerZone: 1, Logger: log})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeCluster()) }()
	sys := cluster.System()
	cfg.Entries, cfg.TeamKey, cfg.Service = cluster.Entries(), sys.TeamKey, "/services/"+sys.Service
	var services []*standin.Service
	for _, e := range sys.Entries {
		service, stop, err := startService(e, sys.Service, log)
		if err != nil {
			return err
		}
		defer stop()
		services = append(services, service)
	}
	if err := awaitService(ctx, cfg); err != nil {
		return err
	}
	for _, r := range loadgen.Claims(ctx, cfg) {
		r.Print(os.Stdout)
		if r.Outcomes[loadgen.Wrong]+r.Outcomes[loadgen.Broken] > 0 {
			err = errors.Join(err, fmt.Errorf("%.0f calls/s: calls got a wrong answer or none", r.Rate))
		}
	}
	return errors.Join(err, checkRuns(services))
}

// startService starts a stand-in service that answers at once and announces
// itself to one entry host.
func startService(e faultrun.Entry, endpoint string, log *slog.Logger) (*standin.Service, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	id := standin.Identity{Instance: "service-" + e.Zone(), Endpoint: endpoint, Zone: e.Zone(), Address: ln.Addr().String(), Entries: []string{e.Announce()}, LeaveGrace: 1}
	service, err := standin.NewService(standin.ServiceConfig{Identity: id}, metrics.NewSet(), log)
	if err != nil {
		return nil, nil, errors.Join(err, ln.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.Serve(ctx, ln, service, standin.DefaultLeaveLimit, log) }()
	return service, func() { cancel(); <-done }, nil
}

// awaitService waits until each entry host answers a status read.
func awaitService(ctx context.Context, cfg loadgen.ClaimsConfig) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, address := range cfg.Entries {
		caller := loadgen.NewCaller(address, cfg.TeamKey)
		defer caller.Close()
		for {
			r := caller.Status(ctx, cfg.Service, "/cases/ready")
			if r.Outcome == loadgen.Whole {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("entry host %s answered no status read within %s: %w", address, readyLimit, r.Err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// checkRuns returns an error when a call ran more than once.
func checkRuns(services []*standin.Service) error {
	runs := make(map[string]int)
	duplicates := 0
	for _, s := range services {
		for key, n := range s.Runs() {
			runs[key] += n
			if runs[key] == 2 || n > 1 {
				duplicates++
			}
		}
	}
	if duplicates > 0 {
		return fmt.Errorf("%d of %d calls ran more than once", duplicates, len(runs))
	}
	return nil
}
