package capacity

import (
	"maps"
	"slices"
	"strings"
	"time"

	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/routes"
)

// Planner plans the orders of one endpoint. One goroutine uses it.
type Planner struct {
	settings Settings
	limits   routes.Autoscale

	history    history
	knownSince time.Time // zero while the demand or the fleet is unknown
	pools      map[Pool]*poolState
	shrunkAt   time.Time // of the last order that gave back
	raisedAt   time.Time // of the last order for demand
	last       need
	floor      int // instances that a backlog has shown to be needed
	floorUntil time.Time
}

// New returns a Planner.
func New(s Settings) *Planner { return &Planner{settings: s, pools: map[Pool]*poolState{}} }

// SetLimits replaces the bounds and prices.
func (p *Planner) SetLimits(limits routes.Autoscale) { p.limits = limits }

// Needed returns how many instances the demand takes by the last plan, 0 while it is unknown.
func (p *Planner) Needed() int { return p.last.total }

// Plan records the demand and the fleet, and returns the orders that are due, the most urgent
// first. It returns none until both have been known for a while. The demand is nil while it is unknown.
func (p *Planner) Plan(d *Demand, f Fleet, now time.Time) []Order {
	if d == nil || d.DecodeSlots <= 0 || f.Total() == 0 {
		p.history, p.knownSince, p.last = nil, time.Time{}, need{}
		return nil
	}
	if p.knownSince.IsZero() {
		p.knownSince = now
	}
	p.history.add(sample{
		at: now, prefill: d.PrefillEngines, backlog: d.Backlog, ready: maps.Clone(f.Ready),
		decode: p.settings.emptyPace(d.DecodeSlots, float64(f.decoding())*f.slots()),
	}, p.limits.Boot+trendSpan/2, p.settings)
	zones := p.zones(f)
	lowest := max(len(zones)*p.limits.Min, p.backlogFloor(&f, now))
	p.last = p.settings.needOf(p.history, f.slots()).bounded(lowest, len(zones)*p.limits.Max, p.settings)
	pl := p.newPlan(zones, f, now)
	if now.Sub(p.knownSince) < p.settings.Known {
		return nil
	}
	pl.grow()
	orders := pl.orders()
	if pl.raised {
		return orders
	}
	// What is given back saves more than what replaces it, and a slow platform takes few orders at once.
	return append(pl.giveBack(&f), orders...)
}

// backlogFloor returns how many instances are needed since prompts waited for long, 0 for any
// number. The floor stays for a while: without it the same instances would be given back again.
func (p *Planner) backlogFloor(f *Fleet, now time.Time) int {
	lowest, _ := p.history.recent(p.settings.Sustained).backlogs()
	if now.After(p.floorUntil) {
		p.floor = 0
	}
	if lowest > p.settings.BacklogShort && now.Sub(p.knownSince) >= p.settings.Known && now.Sub(p.raisedAt) >= p.limits.Boot+p.settings.AppearGrace {
		p.floor = max(p.floor, saturate.Int(p.settings.BacklogRise*float64(f.Total()))+1)
		p.floorUntil = now.Add(2 * p.settings.Memory)
	}
	return p.floor
}

// Sent records an order that is sent now. Until its answer is known it counts as lost.
func (p *Planner) Sent(o Order, now time.Time) {
	st := p.state(o.Pool)
	st.pending, st.answered, st.desired, st.ready, st.orderedAt = true, false, o.Desired, o.Ready, now
	switch o.Reason {
	case Idle:
		p.shrunkAt = now
	case Short, Spread, Minimum:
		p.raisedAt = now
	}
}

// Accepted records that the platform accepted the last order of a pool.
func (p *Planner) Accepted(pool Pool) { p.state(pool).answered = true }

// Refused records that the last order of a pool had no effect. If it would be refused again, as
// where no instances are available, other pools are preferred for a while.
func (p *Planner) Refused(pool Pool, lasting bool, now time.Time) {
	st := p.state(pool)
	st.pending = false
	switch {
	case !lasting:
	case st.desired < st.ready:
		st.keptUntil = now.Add(p.settings.Avoidance)
	default:
		st.avoidedUntil = now.Add(p.settings.Avoidance)
	}
}

func (p *Planner) state(pool Pool) *poolState {
	st := p.pools[pool]
	if st == nil {
		st = &poolState{}
		p.pools[pool] = st
	}
	return st
}

// price returns what an instance of a pool costs for a second. Zones without a price cost 1.
func (p *Planner) price(pool Pool) float64 {
	price, ok := p.limits.ZonePrices[pool.Zone]
	if !ok {
		price = 1
	}
	if pool.Preemptible {
		price *= p.limits.PreemptiblePrice
	}
	return price
}

// zones returns the zones in which instances can be ordered or are, sorted.
func (p *Planner) zones(f Fleet) []string {
	zones := map[string]bool{}
	for zone := range p.limits.ZonePrices {
		zones[zone] = true
	}
	for pool := range f.Ready {
		zones[pool.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// newPlan settles pending orders and returns the state that they lead to.
func (p *Planner) newPlan(zones []string, f Fleet, now time.Time) *plan {
	pl := &plan{planner: p, need: p.last, zones: zones, now: now, ready: f.Ready, target: map[Pool]int{}, expected: map[Pool]int{}, reasons: map[Pool]Reason{}}
	cheaper := p.limits.PreemptiblePrice > 0 && p.limits.PreemptiblePrice < 1
	for _, zone := range zones {
		for _, pool := range []Pool{{zone, false}, {zone, true}} {
			st := p.state(pool)
			st.settle(f.Ready[pool], p.limits.Boot, p.settings, now)
			if st.reclaimed(pool, &f, p.history, now) {
				st.pending, st.avoidedUntil = false, now.Add(p.settings.Avoidance)
			}
			pl.expected[pool] = st.expected(f.Ready[pool])
			if !now.Before(st.avoidedUntil) && (!pool.Preemptible || cheaper) {
				pl.open = append(pl.open, pool)
			}
		}
	}
	pl.target = maps.Clone(pl.expected)
	slices.SortStableFunc(pl.open, func(a, b Pool) int { return comparePrice(p.price(a), p.price(b), a, b) })
	return pl
}

func comparePrice(a, b float64, x, y Pool) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return strings.Compare(x.Zone, y.Zone)
}

// slack returns by how many instances a number may differ without an order.
func (p *Planner) slack(n int) int { return 1 + saturate.Int(p.settings.Slack*float64(n)) }
