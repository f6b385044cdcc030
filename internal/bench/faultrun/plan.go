// Package faultrun runs a system of entry hosts and control replicas with
// stand-ins on loopback under seeded faults, lets callers check each of their
// answers, and audits the records of the stand-ins afterwards.
package faultrun

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"filberthook/internal/process/saturate"
)

// Kind is one kind of fault or planned change.
type Kind string

// Kinds of faults.
const (
	CrashEngine    Kind = "crash_engine"
	PauseEngine    Kind = "pause_engine"
	CutEngine      Kind = "cut_engine"      // cut in both directions
	CutEngineIn    Kind = "cut_engine_in"   // requests do not arrive, heartbeats do
	CutEngineOut   Kind = "cut_engine_out"  // answers do not arrive
	ResetEngine    Kind = "reset_engine"    // connections are reset
	DelayEngine    Kind = "delay_engine"    // the network is slow
	CrossEngine    Kind = "cross_engine"    // an answer belongs to another request
	CutStreams     Kind = "cut_streams"     // streams break in the middle
	CrashInChange  Kind = "crash_in_change" // an engine crashes during a change
	LeaveEngine    Kind = "leave_engine"    // planned: an engine drains and leaves
	CrashService   Kind = "crash_service"
	PauseService   Kind = "pause_service"
	LoseService    Kind = "lose_service" // a call runs and its answer is lost
	CrossService   Kind = "cross_service"
	CutServiceOut  Kind = "cut_service_out" // answers do not arrive
	LeaveService   Kind = "leave_service"   // planned: a worker drains and leaves
	KillEntry      Kind = "kill_entry"
	StopEntry      Kind = "stop_entry"      // planned: graceful stop
	CutEntryIn     Kind = "cut_entry_in"    // callers' requests do not arrive
	CutEntryOut    Kind = "cut_entry_out"   // callers get no answers
	CutControl     Kind = "cut_control"     // an entry host and the control group, both directions
	CutControlOut  Kind = "cut_control_out" // an entry host gets no answers from the control group
	KillControl    Kind = "kill_control"
	ChangeDeclared Kind = "change_declared" // planned: an operator changes the declared models
)

// target is the class of components that a fault is injected into.
type target uint8

const (
	onEngine target = iota + 1
	onService
	onEntry
	onControl
	onFleet
)

// faultKind is one kind with its target and its weight in a plan.
type faultKind struct {
	kind        Kind
	target      target
	weight      int
	longLasting bool // lasts long enough for a lease to run out
}

// faultKinds lists all kinds.
var faultKinds = []faultKind{
	{CrashEngine, onEngine, 3, false},
	{PauseEngine, onEngine, 3, false},
	{CutEngine, onEngine, 2, false},
	{CutEngineIn, onEngine, 2, true},
	{CutEngineOut, onEngine, 2, false},
	{ResetEngine, onEngine, 3, false},
	{DelayEngine, onEngine, 2, false},
	{CrossEngine, onEngine, 4, false},
	{CutStreams, onEngine, 4, false},
	{CrashInChange, onEngine, 2, false},
	{LeaveEngine, onEngine, 2, false},
	{CrashService, onService, 3, false},
	{PauseService, onService, 3, false},
	{LoseService, onService, 4, false},
	{CrossService, onService, 4, false},
	{CutServiceOut, onService, 2, false},
	{LeaveService, onService, 2, false},
	{KillEntry, onEntry, 3, false},
	{StopEntry, onEntry, 2, false},
	{CutEntryIn, onEntry, 1, false},
	{CutEntryOut, onEntry, 1, false},
	{CutControl, onEntry, 2, true},
	{CutControlOut, onEntry, 2, true},
	{KillControl, onControl, 3, false},
	{ChangeDeclared, onFleet, 3, false},
}

// Fault is one fault of a plan. It starts at At and ends after Length; momentary
// kinds, such as ResetEngine, ignore Length.
type Fault struct {
	At     time.Duration
	Kind   Kind
	Index  int // which engine, service, entry host or control replica
	Length time.Duration
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%8s %s %d for %s", f.At.Round(time.Millisecond), f.Kind, f.Index, f.Length.Round(time.Millisecond))
}

// Sizes is the size of the system under faults.
type Sizes struct {
	Engines, Services, Entries, Controls int
}

func (s Sizes) of(t target) int {
	switch t {
	case onEngine:
		return s.Engines
	case onService:
		return s.Services
	case onEntry:
		return s.Entries
	case onControl:
		return s.Controls
	default:
		return 1
	}
}

// Lengths of faults and the mean time between them.
const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	longFactor    = 3 // multiplies the lengths of long-lasting faults
	meanGap       = 400 * time.Millisecond
)

// Plan draws the random faults of a run. The same arguments give the same plan.
func Plan(seed uint64, total time.Duration, sizes Sizes) []Fault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var plan []Fault
	for at := gap(rng); at < total; at += gap(rng) {
		k := draw(rng, sizes)
		length := shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))
		if k.longLasting {
			length *= longFactor
		}
		plan = append(plan, Fault{
			At:     at,
			Kind:   k.kind,
			Index:  rng.IntN(sizes.of(k.target)),
			Length: length,
		})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func gap(rng *rand.Rand) time.Duration {
	return saturate.Nanoseconds(rng.ExpFloat64() * float64(meanGap))
}

// draw picks a kind whose target exists, at random by weight.
func draw(rng *rand.Rand, sizes Sizes) faultKind {
	sum := 0
	for _, k := range faultKinds {
		if sizes.of(k.target) > 0 {
			sum += k.weight
		}
	}
	left := rng.IntN(sum)
	for _, k := range faultKinds {
		if sizes.of(k.target) == 0 {
			continue
		}
		if left < k.weight {
			return k
		}
		left -= k.weight
	}
	return faultKinds[0]
}

// targetOf returns the target of a kind.
func targetOf(kind Kind) target {
	for _, k := range faultKinds {
		if k.kind == kind {
			return k.target
		}
	}
	return onFleet
}
