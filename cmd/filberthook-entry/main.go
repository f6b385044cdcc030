// Command filberthook-entry is the daemon between callers and endpoints.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"filberthook/internal/entry"
	"filberthook/internal/settings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	exitFailed = 1
	exitCut    = 3 // requests were cut by the stop
)

func main() {
	app := kingpin.New("filberthook-entry", "Serves callers and routes their requests to endpoints.")
	file := app.Flag("settings", "Settings file (TOML).").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s := settings.DefaultEntry()
	if err := settings.Load(*file, &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitCode)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	os.Exit(run(s))
}

// run serves until a signal and returns the exit code. A second signal cuts
// the requests under way.
func run(s settings.Entry) int {
	log := s.Log.Logger(os.Stderr)
	listeners, err := entry.Listen(s.Listen)
	if err != nil {
		log.Error("entry host not started", "err", err)
		return exitFailed
	}
	set := metrics.NewSet()
	set.RegisterMetricsWriter(metrics.WriteProcessMetrics)
	node, err := entry.New(s, listeners, log, set)
	if err != nil {
		log.Error("entry host not started", "err", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { killOnSignal(node) })
	err = node.Run(ctx)
	var cut *entry.CutError
	if errors.As(err, &cut) {
		log.Error("entry host stopped", "err", err)
		return exitCut
	}
	if err != nil {
		log.Error("entry host failed", "err", err)
		return exitFailed
	}
	log.Info("entry host stopped")
	return 0
}

// killOnSignal waits for a second signal.
func killOnSignal(node *entry.Node) {
	again := make(chan os.Signal, 1)
	signal.Notify(again, os.Interrupt, syscall.SIGTERM)
	<-again
	node.Kill()
}
