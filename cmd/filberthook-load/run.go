package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/loadgen"
)

// defaultMix is the share of each class when no flag sets it.
var defaultMix = loadgen.Mix{Summary: 1, Check: 6, Lookup: 2, Booking: 1, Status: 1}

// runCommand puts a bounded load on entry hosts.
func runCommand(app *kingpin.Application) command {
	cmd := app.Command("run", "Puts a bounded load on entry hosts and verifies each answer.")
	var cfg loadgen.RunConfig
	cmd.Flag("entry", "IP:port of an entry host; repeat for more.").Required().StringsVar(&cfg.Entries)
	cmd.Flag("team-key", "Key of an approved team.").Envar("FILBERTHOOK_TEAM_KEY").StringVar(&cfg.TeamKey)
	cmd.Flag("model", "Model that the engines carry.").Default("assist").StringVar(&cfg.Model)
	cmd.Flag("endpoint", "Endpoint of that model at the entry hosts, when its name differs.").StringVar(&cfg.Endpoint)
	cmd.Flag("service", "Path prefix of the plain service.").Default("/services/bookings").StringVar(&cfg.Service)
	cmd.Flag("summary", "Share of long summaries.").Default(share(defaultMix.Summary)).Float64Var(&cfg.Mix.Summary)
	cmd.Flag("check", "Share of short checks.").Default(share(defaultMix.Check)).Float64Var(&cfg.Mix.Check)
	cmd.Flag("lookup", "Share of lookups that may wait.").Default(share(defaultMix.Lookup)).Float64Var(&cfg.Mix.Lookup)
	cmd.Flag("booking", "Share of bookings, which run at most once.").Default(share(defaultMix.Booking)).Float64Var(&cfg.Mix.Booking)
	cmd.Flag("status", "Share of status reads.").Default(share(defaultMix.Status)).Float64Var(&cfg.Mix.Status)
	cmd.Flag("rate", "Calls per second.").Default("20").Float64Var(&cfg.Rate)
	cmd.Flag("calls", "Number of calls.").Default("400").IntVar(&cfg.Calls)
	cmd.Flag("subjects", "Different beginnings of prompts.").Default("20").IntVar(&cfg.SharedPrefixes)
	cmd.Flag("timeout", "Longest time of one call.").Default("60s").DurationVar(&cfg.Timeout)
	cmd.Flag("seed", "Seed of the calls.").Default("1").Uint64Var(&cfg.Seed)
	return command{clause: cmd, run: func(ctx context.Context) error {
		report := loadgen.Run(ctx, cfg)
		report.Print(os.Stdout)
		bad := report.Count(loadgen.Wrong) + report.Count(loadgen.Broken)
		if bad > 0 {
			return fmt.Errorf("%d calls got a wrong answer or none: see the examples above", bad)
		}
		return nil
	}}
}

func share(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
