// Command review-second plays the script cases of the second review: it starts the project's
// programs as separate processes on loopback addresses, with small stand-ins for clients,
// workers, the operator and the platform, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// limit ends a case that takes too long, with all processes that it started.
const limit = 115 * time.Second

// cases are the cases by their name.
var cases = map[string]func(*run) (broken bool, err error){
	"long-cut":     longCut,
	"late-beat":    lateBeat,
	"reserved":     reservedDecode,
	"lone-control": loneControl,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE FOLDER")
		os.Exit(exitNoRun)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(exitNoRun)
	}
	os.Exit(start(play, os.Args[2]))
}

func start(play func(*run) (bool, error), folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer os.RemoveAll(dir)
	r := &run{record: newRecord(file), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	r.record.log("trouble: %v", r.trouble)
	defer r.close()
	type outcome struct {
		broken bool
		err    error
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan outcome, 1)
	go func() {
		if err := r.place(); err != nil {
			done <- outcome{err: err}
			return
		}
		broken, err := play(r)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case s := <-stop:
		o.err = fmt.Errorf("ended by %v", s)
	case <-time.After(limit):
		o.err = fmt.Errorf("the case took more than %v", limit)
	}
	switch {
	case o.err != nil:
		r.record.log("could not run: %v", o.err)
		return exitNoRun
	case o.broken:
		r.record.log("result: the rule was broken")
		return exitBroken
	}
	r.record.log("result: the rule held")
	return exitHeld
}
