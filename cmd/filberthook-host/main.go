// Command filberthook-host runs an entry host or a control host on a platform that
// gives each process seed addresses instead of a list of hosts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/control/controlhost"
	"filberthook/internal/process/settings"
	"filberthook/internal/serve/entryhost"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = settings.ExitCode
	exitRefused  = 3 // a new group was not made
)

func main() { os.Exit(run(os.Args[1:], reloadSignals())) }

// reloadSignals returns a channel of SIGHUP, the signal to reload the settings. It is
// caught from the start of the process to its end, startup and shutdown included, because
// its default action ends the process.
func reloadSignals() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

func run(args []string, hup <-chan os.Signal) int {
	app := kingpin.New("filberthook-host", "Runs one host of filberthook that finds the others from seeds.")
	file := app.Flag("settings", "Settings file in TOML.").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	entry := app.Command("entry", "Serve callers.")
	control := app.Command("control", "Serve operators and endpoint instances.")
	recovery := addRecover(app)
	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "filberthook-host: %v; see --help\n", err)
		return exitSettings
	}
	switch command {
	case entry.FullCommand():
		var s entryhost.Settings
		return start(*file, *check, &s, func() int { return runEntry(*file, hup, s) })
	case control.FullCommand():
		var s controlhost.Settings
		return start(*file, *check, &s, func() int { return runControl(*file, hup, s) })
	case recovery.clause.FullCommand():
		var s controlhost.Settings
		return start(*file, *check, &s, func() int { return recovery.run(s, os.Stdout, os.Stderr) })
	}
	return exitSettings
}

// start loads the settings and runs the host, unless they were only to be checked.
func start(file string, check bool, s settings.Checkable, serve func() int) int {
	if err := settings.Load(file, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Println("settings are valid")
		return 0
	}
	return serve()
}
