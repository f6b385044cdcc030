// Command filberthook-load puts load on entry hosts and endpoints, verifies
// every answer, and runs the project's measurements and fault runs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/experiment"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand. It is registered on the application before the
// command line is parsed and run afterwards.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() {
	app := kingpin.New("filberthook-load", "Puts load on entry hosts and endpoints and verifies every answer.")
	commands := []command{
		overheadCommand(app),
		runCommand(app),
		faultsCommand(app),
		liveCommand(app),
		slopesCommand(app),
		soakCommand(app),
		hostSoakCommand(app),
		stormCommand(app),
		claimsCommand(app),
	}
	experiment.Register(app) // runs during Parse
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "filberthook-load:", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() != chosen {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "filberthook-load:", err)
			os.Exit(exitFailed)
		}
	}
}
