package faultrun

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"filberthook/internal/bench/loadgen"
	"filberthook/internal/engines/enginemodel"
)

// maxNotes bounds the violations and problems that a report quotes.
const maxNotes = 20

// leaveBound is how long a leaving instance may still get new work.
const leaveBound = 3 * time.Second

// Violations counts broken guarantees. All counts must be 0.
type Violations struct {
	Wrong       int `json:"wrong"`         // answers that did not belong to their calls
	Lost        int `json:"lost"`          // calls still unfinished after all faults had healed
	Doubled     int `json:"doubled"`       // calls that may not be repeated but ran more than once
	Phantom     int `json:"phantom"`       // complete answers to calls that never ran
	FalseNotRun int `json:"false_not_run"` // calls refused as not run that did run
	DeniedRun   int `json:"denied_run"`    // resends refused as not run although an earlier send with the key had run
	CutByChange int `json:"cut_by_change"` // requests cut by orders or by graceful stops
	Conflicts   int `json:"conflicts"`     // orders that reached an engine while it executed another one
	StaleTaken  int `json:"stale_taken"`   // orders that took effect after one with a higher fencing number
	LateWork    int `json:"late_work"`     // instances that got new work more than leaveBound after they began to leave
}

// Sum returns the number of violations.
func (v Violations) Sum() int {
	return v.Wrong + v.Lost + v.Doubled + v.Phantom + v.FalseNotRun + v.DeniedRun + v.CutByChange + v.Conflicts + v.StaleTaken + v.LateWork
}

// Calls counts the sessions of one class by outcome.
type Calls struct {
	Sessions      int `json:"sessions"`
	Attempts      int `json:"attempts"`  // requests sent, including resends
	Whole         int `json:"whole"`     // ended with the complete, right answer
	Abandoned     int `json:"abandoned"` // ended with a refusal as not run
	Unknown       int `json:"unknown"`   // ended with an answer that the call may have run
	NeverRan      int `json:"never_ran"` // of the unknown ones, those that never ran
	AnsweredLater int `json:"told"`      // of the unknown ones, those whose answer a later query returned
}

// Report is the result of a run.
type Report struct {
	Violations Violations              `json:"violations"`
	Chats      Calls                   `json:"chats"`
	Bookings   Calls                   `json:"bookings"`
	Status     Calls                   `json:"status"`
	Faults     map[Kind]int            `json:"faults"`
	Skipped    int                     `json:"skipped"` // faults whose target was busy
	InChange   int                     `json:"crashed_in_change"`
	Codes      map[string]int          `json:"codes"`    // refusals by code
	Outcomes   map[loadgen.Outcome]int `json:"outcomes"` // of attempts
	Orders     enginemodel.OrderCounts `json:"orders"`
	Resumed    int                     `json:"resumed"`     // attempts that resumed a broken stream
	LastNew    time.Duration           `json:"last_new_ns"` // longest time from the start of leaving to a new request
	Notes      []string                `json:"notes,omitempty"`
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	for _, c := range []struct {
		name string
		Calls
	}{{"chats", r.Chats}, {"bookings", r.Bookings}, {"status", r.Status}} {
		fmt.Fprintf(w, "%-9s %d sessions, %d attempts: %d whole, %d refused as not run, %d unknown (%d never ran, %d told later)\n",
			c.name, c.Sessions, c.Attempts, c.Whole, c.Abandoned, c.Unknown, c.NeverRan, c.AnsweredLater)
	}
	printCounts(w, "attempts ", r.Outcomes)
	printCounts(w, "refusals ", r.Codes)
	fmt.Fprintf(w, "streams   %d taken up by callers after a break\n", r.Resumed)
	printCounts(w, "faults   ", r.Faults)
	fmt.Fprintf(w, "faults    %d skipped, target busy; %d engines crashed in a change\n", r.Skipped, r.InChange)
	fmt.Fprintf(w, "orders    %+v\n", r.Orders)
	fmt.Fprintf(w, "leaving   latest new request %s after an instance began to leave\n", r.LastNew.Round(time.Millisecond))
	fmt.Fprintf(w, "violations %+v\n", r.Violations)
	for _, n := range r.Notes {
		fmt.Fprintln(w, "note:", n)
	}
}

func printCounts[K ~string](w io.Writer, title string, counts map[K]int) {
	fmt.Fprint(w, title)
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, " %s %d", k, counts[k])
	}
	fmt.Fprintln(w)
}

// ledger collects the results of a run. Its methods are safe for concurrent use.
type ledger struct {
	mu        sync.Mutex // guards all fields below
	report    Report
	abandoned map[string]bool // keys of calls refused as not run at every attempt
	answered  map[string]bool // keys of calls with a complete answer
	unknown   []string        // keys of bookings whose outcome is not known
}

func newLedger() *ledger {
	return &ledger{
		report: Report{
			Faults:   make(map[Kind]int),
			Codes:    make(map[string]int),
			Outcomes: make(map[loadgen.Outcome]int),
		},
		abandoned: make(map[string]bool),
		answered:  make(map[string]bool),
	}
}

// note adds a violation or problem to the report; the caller holds l.mu.
func (l *ledger) note(format string, args ...any) {
	if len(l.report.Notes) < maxNotes {
		l.report.Notes = append(l.report.Notes, fmt.Sprintf(format, args...))
	}
}

func (l *ledger) fault(kind Kind, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Faults[kind]++
	if err != nil {
		l.note("%s: %v", kind, err)
	}
}

func (l *ledger) skipped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Skipped++
}

func (l *ledger) crashedInChange() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.InChange++
}

func (l *ledger) workerLeft(name string, last time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.LastNew = max(l.report.LastNew, last)
	if last > leaveBound {
		l.report.Violations.LateWork++
		l.note("%s got new work %s after it began to leave", name, last)
	}
}

func (l *ledger) cutByStop(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Violations.CutByChange++
	l.note("graceful stop: %v", err)
}

// attempt records one answer of a session. A graceful stop of its entry host must not
// break a stream that has begun.
func (l *ledger) attempt(c *Calls, r loadgen.Result, hostStopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Attempts++
	if r.Resumed > 0 {
		l.report.Resumed++
	}
	l.report.Outcomes[r.Outcome]++
	if r.Code != "" {
		l.report.Codes[r.Code]++
	}
	switch {
	case r.Outcome == loadgen.Wrong:
		l.report.Violations.Wrong++
		l.note("key %s: %v", r.Key, r.Err)
	case r.Outcome == loadgen.Broken && r.Tokens > 0 && hostStopped:
		l.report.Violations.CutByChange++
		l.note("key %s: stream cut by a graceful stop: %v", r.Key, r.Err)
	}
}

// deniedRun records a refusal as not run although the call had run before.
func (l *ledger) deniedRun(r loadgen.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Violations.DeniedRun++
	l.note("key %s ran, and a resend was refused as not run with code %s", r.Key, r.Code)
}

// lateAnswer records the answer to a later query for the outcome of a booking.
func (l *ledger) lateAnswer(key string, r loadgen.Result, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Outcome == loadgen.Whole:
		l.report.Bookings.AnsweredLater++
	case r.Outcome == loadgen.Wrong:
		l.report.Violations.Wrong++
		l.note("asked for %s: %v", key, r.Err)
	case r.Outcome == loadgen.NotRun && ran:
		l.report.Violations.DeniedRun++
		l.note("asked for %s: it ran, and was said not to have run with code %s", key, r.Code)
	}
}

// unknownBookings returns the keys of the bookings whose outcome is not known.
func (l *ledger) unknownBookings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.unknown)
}

// end is how a session ended.
type end uint8

const (
	endWhole end = iota + 1
	endAbandoned
	endUnknown
	endLost
	endWrong
)

func (l *ledger) sessionEnded(c *Calls, key string, e end, last loadgen.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Sessions++
	switch e {
	case endWhole:
		c.Whole++
		l.answered[key] = true
	case endAbandoned:
		c.Abandoned++
		l.abandoned[key] = true
	case endUnknown:
		c.Unknown++
		l.unknown = append(l.unknown, key)
	case endLost:
		l.report.Violations.Lost++
		l.note("key %s lost, last answer: %s %s %v", key, last.Outcome, last.Code, last.Err)
	}
}

// audit compares the answers that callers got with the runs that the stand-ins recorded.
func (l *ledger) audit(bookings, chats map[string]int, orders enginemodel.OrderCounts) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &l.report.Violations
	for key, runs := range bookings {
		if runs > 1 {
			v.Doubled++
			l.note("booking %s ran %d times", key, runs)
		}
	}
	for key := range l.abandoned {
		if n := bookings[key] + chats[key]; n > 0 {
			v.FalseNotRun++
			l.note("key %s was refused as not run and ran %d times", key, n)
		}
	}
	for key := range l.answered {
		if isBooking(key) && bookings[key] == 0 {
			v.Phantom++
			l.note("booking %s was answered and never ran", key)
		}
	}
	for _, key := range l.unknown {
		if bookings[key] == 0 {
			l.report.Bookings.NeverRan++
		}
	}
	v.CutByChange += orders.Aborted
	v.Conflicts = orders.Conflicts
	v.StaleTaken = orders.StaleTaken
	l.report.Orders = orders
	return l.report
}
