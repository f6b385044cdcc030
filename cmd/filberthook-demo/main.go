// Command filberthook-demo shows a whole deployment inside one process on loopback:
// it starts a control group, entry hosts and stand-ins, approves a calling team,
// streams answers, books once, withdraws the team's approval and shows the refusal.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"filberthook/internal/bench/deployment"

	"github.com/alecthomas/kingpin/v2"
)

// demoTimeout bounds the whole run.
const demoTimeout = 30 * time.Second

func main() {
	app := kingpin.New("filberthook-demo", "Runs a whole deployment on loopback and shows the main job.")
	verbose := app.Flag("verbose", "Show the logs of all parts.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := run(ctx, *verbose); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

// run starts the deployment, runs the steps of the demo and stops everything.
func run(ctx context.Context, verbose bool) (err error) {
	dir, err := os.MkdirTemp("", "filberthook-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	logger := slog.New(slog.DiscardHandler)
	if verbose {
		logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	d, err := deployment.Start(options(dir, logger))
	if err != nil {
		return err
	}
	s := &demo{deployment: d, started: time.Now()}
	err = s.run(ctx)
	if stopErr := d.Stop(); err == nil {
		err = stopErr
	}
	if err == nil {
		s.summary()
	}
	return err
}

// Names used in the demo.
const (
	model            = "assist-7b"
	summaries        = "summaries"
	bookings         = "bookings"
	team             = "dispatch-bilbao"
	demoEngineSpeed  = 4
	demoServiceDelay = 20 * time.Millisecond
)

// options describe a small deployment with two availability zones.
func options(dir string, logger *slog.Logger) deployment.Options {
	o := deployment.Options{
		Dir:            dir,
		Zones:          []string{"bio", "sdr"},
		Controls:       3,
		EntriesPerZone: 2,
		Logger:         logger,
	}
	for _, zone := range o.Zones {
		for i := range 2 {
			o.Engines = append(o.Engines, deployment.Engine{
				Name:  fmt.Sprintf("engine-%s-%d", zone, i+1),
				Zone:  zone,
				Model: deployment.EngineModel(model),
				Speed: demoEngineSpeed,
			})
		}
		o.Services = append(o.Services, deployment.Service{
			Name: "booking-" + zone, Zone: zone, Endpoint: bookings, Duration: demoServiceDelay,
		})
	}
	return o
}
