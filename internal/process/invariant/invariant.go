// Package invariant reports broken invariants of the running program. A broken
// invariant stops the process before it can do harm; it is never an ordinary
// error and is never retried.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"
)

// Violation describes one broken invariant. It is the value that Check panics
// with, so that a test can recover it.
type Violation struct {
	Name   string // name of the invariant, stable, as listed in docs/PROMISES.md
	Detail string // values that broke it
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s broken: %s; stop this process and keep its data folder for study", v.Name, v.Detail)
}

// checks counts the calls of Check, so that a run can show that invariants were checked.
var checks atomic.Uint64

// Checks returns how many checks this process has made.
func Checks() uint64 { return checks.Load() }

// Check panics with a Violation when ok is false. The process must not recover
// from it outside tests.
func Check(ok bool, name, format string, args ...any) {
	checks.Add(1)
	if ok {
		return
	}
	v := &Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	slog.Error("invariant broken", "name", v.Name, "detail", v.Detail)
	panic(v)
}
