package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"filberthook/platform/hostsoak"
)

var errViolations = errors.New("promises were broken, see above")

// hostSoakCommand runs hosts as separate processes and injects faults into them.
func hostSoakCommand(app *kingpin.Application) command {
	cmd := app.Command("host-soak", "Runs filberthook-host as separate processes, strikes them at random, and checks the promises to callers, operators and instances.")
	cfg := hostsoak.Config{}
	var seeds, parallel int
	var keep bool
	cmd.Flag("binary", "The program filberthook-host.").Default("target/filberthook-host").StringVar(&cfg.Binary)
	cmd.Flag("seed", "First seed; 0 draws one.").Default("0").Uint64Var(&cfg.Seed)
	cmd.Flag("seeds", "How many seeds, one after the other.").Default("1").IntVar(&seeds)
	cmd.Flag("parallel", "Runs at the same time.").Default("1").IntVar(&parallel)
	cmd.Flag("length", "Time with faults of each run.").Default("25s").DurationVar(&cfg.Length)
	cmd.Flag("entries", "Entry hosts.").Default("3").IntVar(&cfg.Entries)
	cmd.Flag("callers", "Callers, each with one request at a time.").Default("12").IntVar(&cfg.Callers)
	cmd.Flag("keep", "Keep settings, data and logs of all runs, not only of those that broke a promise.").BoolVar(&keep)
	return command{clause: cmd, run: func(ctx context.Context) error {
		if cfg.Seed == 0 {
			cfg.Seed = rand.Uint64N(1 << 32)
		}
		return soakSeeds(ctx, cfg, seeds, parallel, keep)
	}}
}

// soakSeeds runs consecutive seeds, at most parallel of them at a time.
func soakSeeds(ctx context.Context, cfg hostsoak.Config, seeds, parallel int, keep bool) error {
	root, err := os.MkdirTemp("", "filberthook-host-soak-")
	if err != nil {
		return err
	}
	var mu sync.Mutex
	bad := 0
	runs, ctx := errgroup.WithContext(ctx)
	runs.SetLimit(parallel)
	for n := range seeds {
		runs.Go(func() error {
			runConfig := cfg
			runConfig.Seed += uint64(n)
			runConfig.Dir = filepath.Join(root, fmt.Sprint(runConfig.Seed))
			report, err := soakSeed(ctx, runConfig)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			printSoak(report, runConfig.Dir, keep)
			if len(report.Violations) > 0 {
				bad++
			} else if !keep {
				return os.RemoveAll(runConfig.Dir)
			}
			return nil
		})
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d of %d seeds broke a promise\n", bad, seeds)
	if bad > 0 {
		return errViolations
	}
	return nil
}

func soakSeed(ctx context.Context, cfg hostsoak.Config) (hostsoak.Report, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return hostsoak.Report{}, err
	}
	return hostsoak.Run(ctx, cfg)
}

func printSoak(r hostsoak.Report, dir string, verbose bool) {
	fmt.Println(time.Now().Format(time.TimeOnly), r)
	if len(r.Violations) == 0 && !verbose {
		return
	}
	for _, f := range r.Faults {
		fmt.Println("   ", f)
	}
	for _, v := range r.Violations {
		fmt.Println("  broken:", v)
	}
	fmt.Println("  logs:", dir)
}
