package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/soak"
)

// soakCommand puts a long load on separate processes and checks their resource use.
func soakCommand(app *kingpin.Application) command {
	cmd := app.Command("soak", "Puts a long load on separate processes, strikes them with signals, and checks that memory, files and goroutines stay flat. See soak.sh beside this command.")
	var cfg soak.Config
	var watched, faultTargets []string
	cmd.Flag("entry", "IP:port of an entry host; repeat for more.").Required().StringsVar(&cfg.Load.Entries)
	cmd.Flag("team-key", "Key of an approved team.").Envar("FILBERTHOOK_TEAM_KEY").StringVar(&cfg.Load.TeamKey)
	cmd.Flag("model", "Model that the engines carry.").Default("assist").StringVar(&cfg.Load.Model)
	cmd.Flag("endpoint", "Endpoint of that model at the entry hosts, when its name differs.").StringVar(&cfg.Load.Endpoint)
	cmd.Flag("service", "Path prefix of the plain service.").Default("/services/bookings").StringVar(&cfg.Load.Service)
	cmd.Flag("rate", "Calls per second.").Default("50").Float64Var(&cfg.Load.Rate)
	cmd.Flag("timeout", "Longest time of one call.").Default("20s").DurationVar(&cfg.Load.Timeout)
	cmd.Flag("length", "Length of the soak.").Default("10m").DurationVar(&cfg.Duration)
	cmd.Flag("window", "Time between two samples of each process.").Default("5s").DurationVar(&cfg.Window)
	cmd.Flag("process", "Process to watch, as NAME=PIDFILE or NAME=PIDFILE@STATUS; repeat for more.").StringsVar(&watched)
	cmd.Flag("strike", "Process to pause and kill, as NAME=PIDFILE; its supervisor starts it again; repeat for more.").StringsVar(&faultTargets)
	cmd.Flag("fault-every", "Time between two faults; 0 makes none.").Default("0s").DurationVar(&cfg.FaultInterval)
	cmd.Flag("seed", "Seed of the calls and faults.").Default("1").Uint64Var(&cfg.Seed)
	return command{clause: cmd, run: func(ctx context.Context) (err error) {
		if cfg.Processes, err = parseProcesses(watched); err != nil {
			return err
		}
		if cfg.FaultTargets, err = parseProcesses(faultTargets); err != nil {
			return err
		}
		cfg.Load.Mix = defaultMix
		cfg.Load.SharedPrefixes = soakPrefixes
		report, err := soak.Run(ctx, cfg)
		report.Print(os.Stdout)
		if err != nil {
			return err
		}
		return report.Err()
	}}
}

// soakPrefixes is the number of distinct shared prefixes of prompts.
const soakPrefixes = 50

func parseProcesses(args []string) ([]soak.Process, error) {
	var out []soak.Process
	for _, a := range args {
		p, err := soak.ParseProcess(a)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}
