package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/experiment"
	"filberthook/internal/bench/liverun"
)

// errWrongAnswers is the error of a run in which an answer was wrong.
var errWrongAnswers = errors.New("some answers were wrong: see the report")

// liveCommand plays a scenario against a deployment in this process and prints the simulated
// result of the same trace for comparison.
func liveCommand(app *kingpin.Application) command {
	clause := app.Command("live", "Plays a scenario of the experiment against a deployment on loopback, in real time.")
	file := clause.Flag("scenario", "Scenario file.").Required().ExistingFile()
	seed := clause.Flag("seed", "Seed of the trace.").Default("1").Uint64()
	length := clause.Flag("length", "Length of the trace that is played; 0 plays all.").Default("0s").Duration()
	verbose := clause.Flag("verbose", "Show warnings of all parts.").Bool()
	return command{clause: clause, run: func(ctx context.Context) error {
		s, err := experiment.LoadScenario(*file)
		if err != nil {
			return err
		}
		if *length > 0 {
			s.Duration.Duration = min(s.Duration.Duration, *length)
		}
		dir, err := os.MkdirTemp("", "filberthook-live-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		logger := slog.New(slog.DiscardHandler)
		if *verbose {
			logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
		}
		report, err := liverun.Run(ctx, s, *seed, dir, logger)
		if err != nil {
			return err
		}
		report.Write(os.Stdout)
		result, err := experiment.Run(ctx, s, []string{experiment.DeploymentPolicy}, []uint64{*seed}, 1)
		if err != nil {
			return err
		}
		model := result.Runs[0]
		fmt.Printf("model %s seed %d: good %d of %d offered (%.4f), role changes %d, first token p95 %v, gap p95 %v\n",
			s.Name, *seed, model.Good, model.Offered, model.OfOffered, model.RoleChanges, model.FirstP95, model.GapP95)
		if report.Wrong > 0 {
			return errWrongAnswers
		}
		return nil
	}}
}
