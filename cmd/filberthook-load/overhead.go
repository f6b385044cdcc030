package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/loadgen"
)

// overheadCommand compares calls through an entry host with direct calls.
func overheadCommand(app *kingpin.Application) command {
	cmd := app.Command("overhead", "Measures what an entry host adds to a call, in pairs with direct calls to an engine.")
	var cfg loadgen.OverheadConfig
	cmd.Flag("direct", "IP:port of a model engine.").Required().StringVar(&cfg.Direct)
	cmd.Flag("entry", "IP:port of an entry host that reaches that engine only.").Required().StringVar(&cfg.Entry)
	cmd.Flag("team-key", "Key of an approved team.").Envar("FILBERTHOOK_TEAM_KEY").StringVar(&cfg.TeamKey)
	cmd.Flag("model", "Model that the engines carry.").Default("assist").StringVar(&cfg.Model)
	cmd.Flag("endpoint", "Endpoint of that model at the entry hosts, when its name differs.").StringVar(&cfg.Endpoint)
	cmd.Flag("pairs", "Measured pairs.").Default("5000").IntVar(&cfg.Pairs)
	cmd.Flag("warmup", "Pairs before the measured ones.").Default("500").IntVar(&cfg.Warmup)
	cmd.Flag("rate", "Pairs per second.").Default("500").Float64Var(&cfg.Rate)
	cmd.Flag("prompt", "Prompt tokens.").Default("50").IntVar(&cfg.Prompt)
	cmd.Flag("output", "Output tokens.").Default("20").IntVar(&cfg.Output)
	cmd.Flag("timeout", "Longest time of one call.").Default("10s").DurationVar(&cfg.Timeout)
	cmd.Flag("entry-pid", "Process of the entry host, to measure its processor time.").IntVar(&cfg.EntryPID)
	cmd.Flag("seed", "Seed of prompts and order.").Default("1").Uint64Var(&cfg.Seed)
	return command{clause: cmd, run: func(ctx context.Context) error {
		report, err := loadgen.Overhead(ctx, cfg)
		if err != nil {
			return err
		}
		report.Print(os.Stdout)
		if report.Failed > 0 {
			return fmt.Errorf("%d of %d pairs failed: see the first failure above", report.Failed, report.Pairs)
		}
		return nil
	}}
}
