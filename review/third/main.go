// Command third plays the cases of the third review: the project's hosts as processes on loopback
// addresses, with stand-ins for callers, workers, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
)

// record writes a line to the record.
func record(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, values...)...)
}

// cases are the cases by name. Each gets whether the disruption is played.
var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"prefix-memory": prefixMemory,
	"options":       options,
	"small-chunks":  smallChunks,
}

func main() {
	runtime.LockOSThread() // the hosts end with the thread that has started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(cannotRun)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Getenv("TROUBLE") != "0"))
}

func play(run func(*deployment, bool) (int, error), trouble bool) int {
	d, err := newDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer d.stop()
	record("trouble %v", trouble)
	code, err := run(d, trouble)
	if err != nil {
		record("error: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record("exit %d", code)
	fmt.Println(map[int]string{held: "held", broken: "BROKEN"}[code])
	return code
}
