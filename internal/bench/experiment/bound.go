package experiment

import (
	"slices"
	"time"
)

// hindsight computes an upper bound on the number of good answers that any policy can
// reach on a trace, even if it knew the whole trace and changed roles instantly at no cost.
//
// It solves a relaxed problem whose optimum is never below that of the real one:
//   - all live engines form one pool, without zones, delays or memory limits;
//   - prefix blocks that an earlier request of the trace has are cached and cost nothing;
//     the first request with a block pays for it, as no engine can have computed it before;
//   - a prompt token costs only its prefill time within a step; an output token costs its
//     per-sequence time and the smallest possible share of the step's fixed time;
//   - good requests that arrive in [a, b) need all their prefill work done in
//     [a, b + first-token target); so in each interval of a binary tree, the good requests
//     of a target are at most those whose prefill work fits, cheapest first;
//   - the work of all good requests fits into the run.
//
// A request that even an idle engine could not serve in time cannot be good.
type hindsight struct {
	s    *Scenario
	jobs []boundJob
}

// boundJob is the minimum work of one request, in engine seconds.
type boundJob struct {
	at      time.Duration
	target  time.Duration
	prefill float64
	decode  float64
	counted bool // arrives after the warm-up
	service bool // call of a plain service
}

// Bound is the upper bound on good answers among the counted requests of a trace.
type Bound struct {
	Good int
}

// newBound computes the bound of a trace.
func newBound(s *Scenario, trace []arrival) Bound {
	h := &hindsight{s: s}
	cached := make(map[uint64]bool)
	for i := range trace {
		if j, reachable := h.job(&trace[i], cached); reachable && j.counted {
			h.jobs = append(h.jobs, j)
		}
	}
	services := 0
	for i := range h.jobs {
		if h.jobs[i].service {
			services++
		}
	}
	h.jobs = slices.DeleteFunc(h.jobs, func(j boundJob) bool { return j.service })
	good := h.intervalBound(s.Warmup.Duration, s.Duration.Duration)
	return Bound{Good: services + min(good, h.totalWorkBound())}
}

// job returns the minimum work of an arrival, and whether an idle engine could serve it in
// time. It adds the arrival's prefix blocks to cached.
func (h *hindsight) job(a *arrival, cached map[uint64]bool) (boundJob, bool) {
	w := &h.s.Fleet.Workloads[a.workload]
	j := boundJob{at: a.at, counted: a.at >= h.s.Warmup.Duration, service: w.Endpoint != ""}
	if j.service {
		return j, w.Deadline.Duration == 0 || a.serviceTime <= w.Deadline.Duration
	}
	costs := &h.s.Fleet.Routing.Costs
	tokens := a.prompt
	for _, hash := range a.prefixes {
		if cached[hash] {
			tokens -= blockTokens
		}
		cached[hash] = true
	}
	perToken := costs.StepPerSequence.Seconds() + costs.StepBase.Seconds()/float64(costs.MaxBatch)
	j.prefill = float64(max(1, tokens)) / costs.PrefillPerSec
	j.decode = float64(a.output) * perToken
	j.target = h.s.Fleet.Routing.Targets.Of(w.Class).FirstToken.Duration
	least := j.prefill + costs.StepBase.Seconds() + 2*h.s.Fleet.ClientDelay.Seconds()
	return j, least <= j.target.Seconds()
}

// intervalBound bounds the good requests that arrive in [from, to). It takes the tighter of
// the interval's own bound and the sum of its halves' bounds; intervals of up to 1 s are not
// halved.
func (h *hindsight) intervalBound(from, to time.Duration) int {
	whole := h.prefillBound(from, to)
	if to-from <= time.Second {
		return whole
	}
	middle := from + (to-from)/2
	return min(whole, h.intervalBound(from, middle)+h.intervalBound(middle, to))
}

// prefillBound bounds the good requests of an interval by their prefill work: for each
// target, only requests with that target or a shorter one must fit; all others may be good.
func (h *hindsight) prefillBound(from, to time.Duration) int {
	jobs := h.between(from, to)
	best := len(jobs)
	for _, target := range h.targets() {
		var work []float64
		for _, j := range jobs {
			if j.target <= target {
				work = append(work, j.prefill)
			}
		}
		others := len(jobs) - len(work)
		best = min(best, others+countFitting(work, h.capacity(from, to+target)))
	}
	return best
}

// targets returns the distinct first-token targets in ascending order.
func (h *hindsight) targets() []time.Duration {
	table := &h.s.Fleet.Routing.Targets
	all := []time.Duration{table.Check.FirstToken.Duration, table.Summary.FirstToken.Duration, table.Lookup.FirstToken.Duration}
	slices.Sort(all)
	return slices.Compact(all)
}

// totalWorkBound bounds the good requests by their total work over the whole run.
func (h *hindsight) totalWorkBound() int {
	var work []float64
	for _, j := range h.jobs {
		work = append(work, j.prefill+j.decode)
	}
	return countFitting(work, h.capacity(h.s.Warmup.Duration, h.s.Duration.Duration+drainTime))
}

// between returns the jobs that arrive in [from, to).
func (h *hindsight) between(from, to time.Duration) []boundJob {
	less := func(j boundJob, t time.Duration) int { return int(j.at - t) }
	start, _ := slices.BinarySearchFunc(h.jobs, from, less)
	end, _ := slices.BinarySearchFunc(h.jobs, to, less)
	return h.jobs[start:end]
}

// countFitting returns how many jobs fit into the capacity, cheapest first.
func countFitting(work []float64, capacity float64) int {
	slices.Sort(work)
	for i, w := range work {
		capacity -= w
		if capacity < 0 {
			return i
		}
	}
	return len(work)
}

// capacity returns the engine seconds available in [from, to). A withdrawn engine still
// counts, since it keeps working while it drains.
func (h *hindsight) capacity(from, to time.Duration) float64 {
	total := float64(h.s.engines()) * (to - from).Seconds()
	for _, e := range h.s.Events {
		lost := 0.0
		switch e.Kind {
		case EventCrash:
			lost = 1
		case EventZoneLost:
			lost = float64(h.s.Fleet.Zones[h.s.zone(e.Zone)].engines())
		}
		total -= lost * max(0, to-max(from, e.At.Duration)).Seconds()
	}
	return total
}
