// Command filberthook-standin runs one stand-in for an endpoint: a model
// engine or a plain service.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/engineapi"
	"filberthook/internal/standin"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("filberthook-standin", "Runs one stand-in for an endpoint: a model engine or a plain service.")
	path := app.Flag("settings", "Settings file in TOML.").Required().String()
	check := app.Flag("check", "Validate the settings and exit.").Bool()
	instance := app.Flag("instance", "Instance name in place of the one in the settings.").String()
	listen := app.Flag("listen", "IP:port in place of listen in the settings.").String()
	zone := app.Flag("zone", "Availability zone in place of the one in the settings.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	settings, err := standin.LoadSettings(*path)
	if err == nil {
		override(&settings, *instance, *listen, *zone)
		err = settings.Validate()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "filberthook-standin:", err)
		os.Exit(exitSettings)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "filberthook-standin:", err)
		os.Exit(exitFailed)
	}
}

func override(s *standin.Settings, instance, listen, zone string) {
	if instance != "" {
		s.Instance = instance
	}
	if listen != "" {
		s.Listen, s.Address = listen, ""
	}
	if zone != "" {
		s.Zone = zone
	}
}

// run serves the stand-in until a signal. The first signal lets it finish its
// work, the second one ends the process.
func run(s standin.Settings) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen address is not free, choose another one: %w", err)
	}
	worker, err := build(s, log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	log.Info("stand-in started", "instance", s.Instance, "kind", s.Kind, "zone", s.Zone, "listen", s.Listen)
	return standin.Serve(ctx, ln, worker, leaveLimit(s), log)
}

func build(s standin.Settings, log *slog.Logger) (standin.Standin, error) {
	set := metrics.NewSet()
	if s.Kind == engineapi.KindService {
		return standin.NewService(s.ServiceConfig(), set, log)
	}
	return standin.NewEngine(s.EngineConfig(), set, log)
}

func leaveLimit(s standin.Settings) time.Duration {
	if s.LeaveLimit.Duration > 0 {
		return s.LeaveLimit.Duration
	}
	return standin.DefaultLeaveLimit
}
