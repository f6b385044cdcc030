// Package capacity decides how many instances of an endpoint are ordered, of which kind and in
// which availability zone. It does no I/O and reads no clock.
//
// Demand comes in waves and bursts that are shorter than an instance takes to start, so the
// planner keeps standing headroom over the highest sustained demand of the recent past instead
// of following each swing. What exceeds that is given back in steps, the dearest first.
// Preemptible instances cost a fraction of regular ones and may be reclaimed, all those of a
// zone at once: they are spread over the zones, so that those of one zone can be missed.
package capacity

import (
	"time"

	"filberthook/internal/engines/instances"
)

// Pool is the instances of one kind in one availability zone, which are ordered by one number.
type Pool struct {
	Zone        string
	Preemptible bool
}

// Kind returns the name of the kind in logs and metrics.
func (p Pool) Kind() string {
	if p.Preemptible {
		return "preemptible"
	}
	return "regular"
}

// Demand is the work that callers send to the endpoint's engines.
type Demand struct {
	PrefillEngines float64 // engines that are busy with prefill on average
	DecodeSlots    float64 // decode slots in use on average; 0 if not measured yet
	// Backlog is how long a prefill engine takes for the prompts that wait at it now, on average. Unlike
	// PrefillEngines it includes prefixes that are cached nowhere.
	Backlog time.Duration
}

// Fleet is the instances of an endpoint as their heartbeats show them. Instances under a notice
// of reclaim, or that have said that they leave, are not in it.
type Fleet struct {
	Ready           map[Pool]int
	Reclaimed       map[Pool]int // under notice
	Prefill, Decode int          // ready ones by stage
	Slots           int          // of all ready ones
}

// FleetOf counts instances; leaving reports those that have said that they leave.
func FleetOf(list []instances.Instance, leaving func(instances.Instance) bool) Fleet {
	f := Fleet{Ready: map[Pool]int{}, Reclaimed: map[Pool]int{}}
	limit := instances.SlotsLimit(list)
	for _, in := range list {
		pool := Pool{in.Zone, in.Preemptible}
		if in.LeavesIn > 0 {
			f.Reclaimed[pool]++
			continue
		}
		if in.State != instances.Ready || leaving(in) {
			continue
		}
		f.Ready[pool]++
		f.Slots += min(in.Slots, limit)
		switch in.Stage {
		case instances.Prefill:
			f.Prefill++
		case instances.Decode:
			f.Decode++
		}
	}
	return f
}

// Total returns the number of ready instances.
func (f *Fleet) Total() int { return sum(f.Ready) }

// decoding returns the number of engines that decode. Without stages all do.
func (f *Fleet) decoding() int {
	if f.Prefill+f.Decode == 0 {
		return f.Total()
	}
	return f.Decode
}

// slots returns the mean number of slots of an instance.
func (f *Fleet) slots() float64 {
	if n := f.Total(); n > 0 && f.Slots > 0 {
		return float64(f.Slots) / float64(n)
	}
	return 1
}

// Reason is why instances are ordered or given back.
type Reason string

// Reasons of orders.
const (
	Minimum    Reason = "minimum"    // a zone has fewer than the configuration asks for
	Short      Reason = "short"      // the demand needs more
	Spread     Reason = "spread"     // the reclaim of one zone would leave too few
	Substitute Reason = "substitute" // preemptible ones cost less than the regular ones that they replace
	Idle       Reason = "idle"       // the demand needs fewer
)

// Order sets the number of instances of a pool.
type Order struct {
	Pool
	Desired int
	Ready   int // at the time of the order
	Reason  Reason
}

// Settings of the decision.
type Settings struct {
	PrefillUse float64 // target utilization of prefill engines at sustained demand
	DecodeUse  float64 // target use of decode slots at sustained demand
	// StepGrowth is how much longer an engine's step takes at a full batch, as a share of that of
	// an empty one. Decode slots are in use for longer when fewer engines run larger batches.
	StepGrowth float64
	// KeptPrefillUse and KeptDecodeUse are the uses at sustained demand above which a stage loses no
	// engines: staging replaces those that ended by chance of one stage only after seconds.
	KeptPrefillUse, KeptDecodeUse float64
	BusyUse                       float64 // use at which engines are taken to be saturated; nothing is given back below what that needs

	BacklogHold  time.Duration // nothing is given back above this backlog
	BacklogShort time.Duration // more are ordered above this backlog
	BacklogRise  float64       // how many times the present instances are then needed

	RegularShare float64 // part of the needed instances that stays regular
	Survivors    float64 // part of the needed instances that the reclaim of one zone must leave
	Slack        float64 // part of the needed instances by which they may be fewer without an order
	// PreemptibleSlack is the part by which they may be more before preemptible ones are given
	// back. It is large as they cost little and the next burst needs them again.
	PreemptibleSlack float64

	Known         time.Duration // demand and instances must be known for this long before the first order
	Sustained     time.Duration // demand counts once it has lasted for this long
	Memory        time.Duration // the highest sustained demand of this period counts
	DemandWindow  time.Duration // time constant of the demand averages
	MaxRise       float64       // greatest ratio of forecast to reported demand
	StepInterval  time.Duration // between two orders that give back
	StepShare     float64       // part of the instances that is given back at once
	HoldAfterRise time.Duration // nothing is given back for this long after an order for demand
	Avoidance     time.Duration // a pool without available instances gets no order for more for this long
	AppearGrace   time.Duration // from the boot time until an accepted order counts as not fulfilled
}

// DefaultSettings keep prefill engines below two fifths of their capacity at the crest of a wave of
// ±27% and carry a burst of twice the mean demand without an order.
func DefaultSettings() Settings {
	return Settings{
		PrefillUse: 0.32, DecodeUse: 0.2, StepGrowth: 1.6, BusyUse: 0.75,
		// Below the number of decode engines from which staging adds more, so that giving back goes on.
		KeptPrefillUse: 0.6, KeptDecodeUse: 0.4,
		// The backlog counts prompts from their placement to their first event, so the work in progress and the
		// delay of the reports are in it: with three quarters of the engines idle, prompts of 17,000 tokens
		// keep it at 200 to 300 ms. Beyond a goal of 800 ms more engines are missing.
		BacklogHold: 400 * time.Millisecond, BacklogShort: 800 * time.Millisecond, BacklogRise: 1.2,
		RegularShare: 0.125, Survivors: 0.8, Slack: 0.1, PreemptibleSlack: 0.3,
		// Reports begin with a rate over one second; after four the average is that of the load.
		Known: 4 * time.Second,
		// Most bursts end before instances that they ask for have started, and stay in the averages for
		// some seconds more.
		Sustained: 5 * time.Second,
		// Two crests of the longest waves that are expected, of 11 s.
		Memory: 22 * time.Second, DemandWindow: 6 * time.Second, MaxRise: 1.25,
		// An instance that ends takes the prefixes cached there along. A quarter of them is computed
		// again within a step, which the headroom covers.
		StepInterval: 1500 * time.Millisecond, StepShare: 0.25, HoldAfterRise: 4 * time.Second,
		Avoidance: 12 * time.Second, AppearGrace: 4 * time.Second,
	}
}

func sum(counts map[Pool]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
