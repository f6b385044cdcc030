package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/loadgen"
)

// readyLimit is how long a local system may take to answer its first call.
const readyLimit = 20 * time.Second

// overheadOptions are the flags of the overhead command.
type overheadOptions struct {
	pairs loadgen.OverheadConfig
	cost  loadgen.CostConfig
}

// overheadCommand compares calls through an entry host with direct calls.
func overheadCommand(app *kingpin.Application) command {
	cmd := app.Command("overhead", "Measures what an entry host adds to a call, in pairs with direct calls to an engine. Without --entry and --direct it measures a system in this process.")
	var o overheadOptions
	cmd.Flag("direct", "IP:port of a model engine.").StringVar(&o.pairs.Direct)
	cmd.Flag("entry", "IP:port of an entry host that reaches that engine only.").StringVar(&o.pairs.Entry)
	cmd.Flag("team-key", "Key of an approved team.").Envar("FILBERTHOOK_TEAM_KEY").StringVar(&o.pairs.TeamKey)
	cmd.Flag("model", "Model that the engines carry.").Default("assist").StringVar(&o.pairs.Model)
	cmd.Flag("endpoint", "Endpoint of that model at the entry hosts, when its name differs.").StringVar(&o.pairs.Endpoint)
	cmd.Flag("pairs", "Measured pairs.").Default("5000").IntVar(&o.pairs.Pairs)
	cmd.Flag("warmup", "Pairs before the measured ones.").Default("500").IntVar(&o.pairs.Warmup)
	cmd.Flag("rate", "Pairs per second.").Default("500").Float64Var(&o.pairs.Rate)
	cmd.Flag("prompt", "Prompt tokens.").Default("50").IntVar(&o.pairs.Prompt)
	cmd.Flag("output", "Output tokens.").Default("20").IntVar(&o.pairs.Output)
	cmd.Flag("timeout", "Longest time of one call.").Default("10s").DurationVar(&o.pairs.Timeout)
	cmd.Flag("entry-pid", "Process of the entry host, to measure its processor time.").IntVar(&o.pairs.EntryPID)
	cmd.Flag("cost-calls", "Calls per block when measuring processor time.").Default("500").IntVar(&o.cost.Calls)
	cmd.Flag("cost-blocks", "Blocks of each kind when measuring processor time.").Default("6").IntVar(&o.cost.Blocks)
	cmd.Flag("workers", "Calls under way when measuring processor time.").Default("32").IntVar(&o.cost.Workers)
	cmd.Flag("seed", "Seed of prompts and order.").Default("1").Uint64Var(&o.pairs.Seed)
	return command{clause: cmd, run: func(ctx context.Context) error { return runOverhead(ctx, o) }}
}

// Lengths of answers when measuring processor time, in tokens.
const (
	costShort = 1
	costLong  = 200
)

func runOverhead(ctx context.Context, o overheadOptions) (err error) {
	if (o.pairs.Direct == "") != (o.pairs.Entry == "") {
		return errors.New("only one of --direct and --entry is set: set both, or none for a system in this process")
	}
	if o.pairs.Entry == "" {
		local, err := startLocal(ctx)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, local.close()) }()
		o.pairs.Direct, o.pairs.Entry, o.pairs.TeamKey = local.engine, local.entry, local.teamKey
		o.pairs.Model, o.pairs.Endpoint = local.model, local.endpoint
	}
	if err := awaitAnswer(ctx, o.pairs); err != nil {
		return err
	}
	return measure(ctx, o)
}

func measure(ctx context.Context, o overheadOptions) error {
	report, err := loadgen.Overhead(ctx, o.pairs)
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	p := o.pairs
	o.cost.Direct, o.cost.Entry, o.cost.TeamKey, o.cost.Model, o.cost.Endpoint = p.Direct, p.Entry, p.TeamKey, p.Model, p.Endpoint
	o.cost.EntryPID, o.cost.Timeout, o.cost.Seed, o.cost.Prompt = p.EntryPID, p.Timeout, p.Seed, p.Prompt
	o.cost.Short, o.cost.Long = costShort, costLong
	cost, err := loadgen.Cost(ctx, o.cost)
	if err != nil {
		return err
	}
	cost.Print(os.Stdout)
	if bad := report.Failed + cost.Failed; bad > 0 {
		return fmt.Errorf("%d calls got no whole right answer: see the first failure above", bad)
	}
	return nil
}

// awaitAnswer waits until the entry host answers a call.
func awaitAnswer(ctx context.Context, cfg loadgen.OverheadConfig) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	trial := cfg
	trial.Pairs, trial.Warmup, trial.Rate = 1, 0, 1000
	for {
		report, err := loadgen.Overhead(ctx, trial)
		if err == nil && report.Failed == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("no answer through the entry host within %s, check team, endpoint and engine: %s", readyLimit, report.FirstFailure)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
