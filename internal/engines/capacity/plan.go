package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"filberthook/internal/process/saturate"
)

// plan is one decision in the making.
type plan struct {
	planner  *Planner
	need     need
	now      time.Time
	zones    []string
	open     []Pool // that orders for more may go to, the cheapest first
	ready    map[Pool]int
	expected map[Pool]int // once pending orders have taken effect
	target   map[Pool]int
	reasons  map[Pool]Reason // of the pools whose target is above what is expected
	raised   bool            // the orders are for demand, not for cost
}

func count(counts map[Pool]int, preemptible bool) int {
	n := 0
	for pool, c := range counts {
		if pool.Preemptible == preemptible {
			n += c
		}
	}
	return n
}

// survivors returns how many instances are left once the zone with the most preemptible ones
// has lost them.
func survivors(counts map[Pool]int) int {
	most := 0
	for pool, n := range counts {
		if pool.Preemptible {
			most = max(most, n)
		}
	}
	return sum(counts) - most
}

func (pl *plan) inZone(zone string) int {
	return pl.target[Pool{zone, false}] + pl.target[Pool{zone, true}]
}

// best returns the pool for one more instance: of the preemptible ones that with the fewest, so
// that they are spread, else the cheapest. The filter excludes pools.
func (pl *plan) best(filter func(Pool) bool) (Pool, bool) {
	var best Pool
	found := false
	for _, pool := range pl.open {
		if pl.inZone(pool.Zone) >= pl.planner.limits.Max || !filter(pool) {
			continue
		}
		fewer := pool.Preemptible && best.Preemptible && pl.target[pool] < pl.target[best]
		if !found || pool.Preemptible && !best.Preemptible || fewer {
			best, found = pool, true
		}
	}
	return best, found
}

// add adds an instance to the best pool. It returns false if there is no room in any.
func (pl *plan) add(reason Reason, filter func(Pool) bool) bool {
	pool, ok := pl.best(filter)
	if !ok {
		return false
	}
	pl.target[pool]++
	if pl.reasons[pool] == "" || reason != Substitute {
		pl.reasons[pool] = reason
	}
	pl.raised = pl.raised || reason != Substitute
	return true
}

func anyPool(Pool) bool { return true }

// grow raises targets until zones have their minimum, the demand is met, and the reclaim of a zone
// can be borne; then until no more instances are regular than must be.
func (pl *plan) grow() {
	p := pl.planner
	for _, zone := range pl.zones {
		for pl.inZone(zone) < p.limits.Min && pl.add(Minimum, func(pool Pool) bool { return pool.Zone == zone }) {
		}
	}
	if sum(pl.target)+p.slack(pl.need.total) <= pl.need.total {
		for sum(pl.target) < pl.need.total && pl.add(Short, anyPool) {
		}
	}
	if survivors(pl.target)+p.slack(pl.need.survivors) <= pl.need.survivors {
		for survivors(pl.target) < pl.need.survivors && pl.add(Spread, pl.spreads) {
		}
	}
	wanted := pl.need.total - pl.need.regular
	if count(pl.target, false) > pl.need.regular && count(pl.target, true)+p.slack(wanted) <= wanted {
		for count(pl.target, true) < wanted && pl.add(Substitute, func(pool Pool) bool { return pool.Preemptible }) {
		}
	}
}

// spreads reports whether more instances in a pool leave more after the reclaim of a zone: those
// of one pool do, or of several preemptible ones in turn.
func (pl *plan) spreads(pool Pool) bool {
	if pool.Preemptible && slices.ContainsFunc(pl.open, func(o Pool) bool { return o.Preemptible && o != pool && pl.inZone(o.Zone) < pl.planner.limits.Max }) {
		return true
	}
	more := maps.Clone(pl.target)
	more[pool]++
	return survivors(more) > survivors(pl.target)
}

// orders returns the orders for more, those for demand first.
func (pl *plan) orders() []Order {
	var out []Order
	for _, pool := range pl.open {
		if pl.target[pool] > pl.expected[pool] {
			out = append(out, Order{Pool: pool, Desired: pl.target[pool], Ready: pl.ready[pool], Reason: pl.reasons[pool]})
		}
	}
	slices.SortStableFunc(out, func(a, b Order) int {
		switch cost, other := a.Reason == Substitute, b.Reason == Substitute; {
		case cost == other:
			return 0
		case other:
			return -1
		}
		return 1
	})
	return out
}

// giveBack returns the order that gives back one step of instances, if some are idle. Only what
// takes requests now counts: what was ordered may not come.
func (pl *plan) giveBack(f *Fleet) []Order {
	p := pl.planner
	if pl.now.Sub(p.shrunkAt) < p.settings.StepInterval || pl.now.Sub(p.raisedAt) < p.settings.HoldAfterRise {
		return nil
	}
	if _, backlog := p.history.recent(p.settings.Sustained).backlogs(); backlog > p.settings.BacklogHold {
		return nil
	}
	left := make(map[Pool]int, len(pl.ready)) // without those that were given back already
	for pool, n := range pl.ready {
		left[pool] = min(n, pl.expected[pool])
	}
	total := sum(left)
	step := max(1, saturate.Int(math.Floor(p.settings.StepShare*float64(total))))
	// The platform chooses which instances end: all may be of the stage that can spare fewer, and
	// twice as many as on average are.
	if n := f.Prefill + f.Decode; n > 0 {
		step = min(step, f.Prefill-pl.need.busyPrefill, f.Decode-pl.need.busyDecode,
			n*(f.Prefill-pl.need.prefill)/(2*max(1, f.Prefill)), n*(f.Decode-pl.need.decode)/(2*max(1, f.Decode)))
	}
	step -= f.Total() - total // instances of an earlier step that still count in their stage
	for _, pool := range pl.dearest(left) {
		spare := min(total-pl.need.total, pl.spare(pool, left))
		k := min(step, spare)
		// Preemptible ones that are ordered to replace regular ones are not given back elsewhere.
		if k <= 0 || pl.now.Before(p.state(pool).keptUntil) || pool.Preemptible && len(pl.reasons) > 0 {
			continue
		}
		return []Order{{Pool: pool, Desired: left[pool] - k, Ready: pl.ready[pool], Reason: Idle}}
	}
	return nil
}

// dearest returns the pools that have instances in the order in which they are given back: the
// regular ones, the most expensive first, then the preemptible ones, the largest first, so that they stay spread.
func (pl *plan) dearest(left map[Pool]int) []Pool {
	pools := slices.Collect(maps.Keys(left))
	slices.SortFunc(pools, func(a, b Pool) int {
		switch {
		case a.Preemptible != b.Preemptible && b.Preemptible:
			return -1
		case a.Preemptible != b.Preemptible:
			return 1
		case a.Preemptible && left[a] != left[b]:
			return left[b] - left[a]
		}
		return comparePrice(pl.planner.price(b), pl.planner.price(a), b, a)
	})
	return pools
}

// spare returns how many instances of a pool can be given back.
func (pl *plan) spare(pool Pool, left map[Pool]int) int {
	p := pl.planner
	other := Pool{pool.Zone, !pool.Preemptible}
	n := min(left[pool], left[pool]+left[other]-p.limits.Min)
	if pool.Preemptible {
		extra := sum(left) - pl.need.total
		if float64(extra) <= p.settings.PreemptibleSlack*float64(pl.need.total) {
			return 0
		}
		pools := 0
		for pool, n := range left {
			if pool.Preemptible && n > 0 {
				pools++
			}
		}
		even := (count(left, true) - extra) / pools
		return min(n, left[pool]-max(0, even))
	}
	// A regular instance in each zone holds the minimum while preemptible ones are reclaimed.
	n = min(n, left[pool]-min(1, p.limits.Min), count(left, false)-pl.need.regular)
	return min(n, survivors(left)-pl.need.survivors)
}
