// Command filberthook-entry runs one entry host, the daemon between callers and endpoints.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"filberthook"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
	exitCut      = 3 // requests were cut by the stop
)

func main() {
	app := kingpin.New("filberthook-entry", "Serves callers and routes their requests to endpoints.")
	file := app.Flag("settings", "Settings file (TOML).").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := filberthook.LoadEntrySettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	os.Exit(run(s))
}

// run serves until a signal to stop and returns the exit code. A second signal
// cuts running requests.
func run(s filberthook.EntrySettings) int {
	log := s.Log.Logger(os.Stderr)
	set := metrics.NewSet()
	set.RegisterMetricsWriter(metrics.WriteProcessMetrics)
	host, err := filberthook.NewEntry(s, log, set)
	if err != nil {
		log.Error("entry host not started", "err", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { killOnSignal(host) })
	err = host.Run(ctx)
	var cut *filberthook.CutError
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

// killOnSignal cuts running requests at the next signal to stop.
func killOnSignal(host *filberthook.Entry) {
	again := make(chan os.Signal, 1)
	signal.Notify(again, os.Interrupt, syscall.SIGTERM)
	<-again
	host.Kill()
}
