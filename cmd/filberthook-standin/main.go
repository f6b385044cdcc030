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

	"filberthook/internal/bench/standin"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/settings"
)

// exitFailed is the exit code after an error that is not in the settings.
const exitFailed = 1

func main() {
	app := kingpin.New("filberthook-standin", "Runs one stand-in for an endpoint: a model engine or a plain service.")
	file := app.Flag("settings", "Settings file (TOML).").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	var s standin.Settings
	if err := settings.Load(*file, &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitCode)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "filberthook-standin:", err)
		os.Exit(exitFailed)
	}
}

// run serves the stand-in until a signal to stop. The first signal lets it
// finish running work, the second one ends the process.
func run(s standin.Settings) error {
	log := s.Log.Logger(os.Stderr)
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
