package experiment

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// command holds the flags of the experiment subcommand.
type command struct {
	scenario string
	policies string
	seed     uint64
	seeds    int
	out      string
	parallel int
}

// Register adds the experiment subcommand to a command line.
func Register(app *kingpin.Application) {
	c := &command{}
	cmd := app.Command("experiment", "Run placement policies on a scenario, on a logical clock.")
	cmd.Flag("scenario", "Scenario file.").Required().ExistingFileVar(&c.scenario)
	cmd.Flag("policy", "Policies, separated by commas, or all. Known: "+strings.Join(append(slices.Clone(allNames), nameDeployment), ", ")+".").Default("all").StringVar(&c.policies)
	cmd.Flag("seed", "First seed of the traces.").Default("1").Uint64Var(&c.seed)
	cmd.Flag("seeds", "Number of seeds.").Default("1").IntVar(&c.seeds)
	cmd.Flag("out", "Directory for the table, JSON, CSV and plots; empty prints the table only.").StringVar(&c.out)
	cmd.Flag("parallel", "Runs at a time.").Default("2").IntVar(&c.parallel)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run(context.Background()) })
}

func (c *command) run(ctx context.Context) error {
	s, err := LoadScenario(c.scenario)
	if err != nil {
		return err
	}
	policies := allNames
	if c.policies != "all" {
		policies = strings.Split(c.policies, ",")
	}
	var seeds []uint64
	for i := range max(1, c.seeds) {
		seeds = append(seeds, c.seed+uint64(i))
	}
	result, err := Run(ctx, s, policies, seeds, min(c.parallel, runtime.GOMAXPROCS(0)))
	if err != nil {
		return err
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.out == "" {
		return nil
	}
	return result.Write(c.out)
}
