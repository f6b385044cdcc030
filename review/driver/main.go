// Command driver plays the cases of this review that are scripts.
package main

import (
	"fmt"
	"os"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(rec *recorder, trouble bool) (int, error){"memory": memoryCase, "firststart": firstStartCase}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD-FILE")
		os.Exit(couldNot)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case could not run: %v", err)
		code = couldNot
	}
	rec.log("exit %d", code)
	os.Exit(code)
}
