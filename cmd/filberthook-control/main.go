// Command filberthook-control runs one control host: a replica of the control
// group's configuration that serves operators' calls.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"

	"filberthook"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	app := kingpin.New("filberthook-control", "Runs one control host of filberthook.")
	file := app.Flag("settings", "Settings file in TOML.").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "filberthook-control: %v; see --help\n", err)
		return exitSettings
	}
	s, err := filberthook.LoadControlSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return 0
	}
	return serve(s)
}

// serve runs the daemon until a signal to stop.
func serve(s filberthook.ControlSettings) int {
	logger := s.Log.Logger(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	node, err := filberthook.NewControl(s, logger, metrics.NewSet())
	if err != nil {
		logger.Error("control host not started", "err", err)
		return exitFailed
	}
	if err := node.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("stopped", "err", err)
		return exitFailed
	}
	return 0
}
