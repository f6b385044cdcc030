package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
)

const (
	limitWindow    = 4 * time.Second // in which arrivals are counted
	limitSettled   = 3 * time.Second // after an instance has named its limit
	limitKnown     = 500 * time.Millisecond
	limitFactor    = 1.5
	limitAllowance = 5.0
)

// limitedRun plays entry hosts that send prompts and plain requests to instances, some of
// which name a limit from namedAt on.
type limitedRun struct {
	hosts, prefill, decode, plain int
	prompts, calls                float64 // per second, of all hosts
	limits                        map[string]float64
	endsAt                        time.Duration // of the limits, 0 for never
	until                         time.Duration

	fleets   []*Fleet
	random   *rand.Rand
	now      time.Duration
	due      map[time.Duration][]func()
	arrivals map[string][]limitedArrival // by instance
	heard    []map[string]time.Duration  // by host and instance
	served   int
	refused  int
	refusals []time.Duration
}

type limitedArrival struct {
	at   time.Duration
	host int
}

const (
	limitNamedAt = 2 * time.Second
	limitTick    = 5 * time.Millisecond
	// limitExchange is the interval at which 294 hosts exchange their load, rounded up.
	limitExchange = 250 * time.Millisecond
)

func (r *limitedRun) play() {
	r.random = rand.New(rand.NewPCG(7, uint64(r.hosts)))
	r.due, r.arrivals = map[time.Duration][]func(){}, map[string][]limitedArrival{}
	var list []instances.Instance
	add := func(endpoint, name string, n int, stage instances.Stage) {
		for i := range n {
			list = append(list, instances.Instance{
				ID: fmt.Sprint(name, i), Born: 1, Endpoint: endpoint, Address: fmt.Sprint(name, i), Zone: fmt.Sprint("z", i%4), Slots: 64, Stage: stage,
			})
		}
	}
	add("lm", "p", r.prefill, instances.Prefill)
	add("lm", "d", r.decode, instances.Decode)
	add("plain", "s", r.plain, instances.AnyStage)
	byEndpoint := map[string][]instances.Instance{}
	for _, in := range list {
		byEndpoint[in.Endpoint] = append(byEndpoint[in.Endpoint], in)
	}
	total := 0.0
	for i := range r.hosts {
		f := New(DefaultSettings(), r.random.Float64, connectedToAll)
		f.Update(&instances.Snapshot{Number: 1, ByEndpoint: byEndpoint})
		r.fleets, r.heard = append(r.fleets, f), append(r.heard, map[string]time.Duration{})
		total += hostWeight(i)
	}
	for ; r.now < r.until; r.now += limitTick {
		for _, step := range r.due[r.now] {
			step()
		}
		delete(r.due, r.now)
		if r.now%limitExchange == 0 {
			r.exchange()
		}
		for i := range r.hosts {
			share := hostWeight(i) / total * limitTick.Seconds()
			if r.random.Float64() < share*r.prompts {
				r.prompt(i)
			}
			if r.random.Float64() < share*r.calls {
				r.call(i)
			}
		}
	}
}

// hostWeight makes callers spread unevenly over hosts.
func hostWeight(host int) float64 { return float64(1 + host%3) }

// exchange tells each host the number of hosts, the load of the others and what they heard.
func (r *limitedRun) exchange() {
	sum := map[string]float64{}
	var reports []notice.Report
	for _, f := range r.fleets {
		for endpoint, rate := range f.Requests(r.clock()) {
			sum[endpoint] += rate
		}
		reports = append(reports, f.Notices(r.clock())...)
	}
	for _, f := range r.fleets {
		others := map[string]float64{}
		own := f.Requests(r.clock())
		for endpoint, rate := range sum {
			others[endpoint] = rate - own[endpoint]
		}
		f.SetPeers(r.hosts)
		f.SetPeerRequests(others, r.clock())
		f.LearnNotices(reports, r.clock())
	}
}

func (r *limitedRun) clock() time.Time { return start.Add(r.now) }

func (r *limitedRun) after(d time.Duration, step func()) {
	r.due[r.now+d] = append(r.due[r.now+d], step)
}

// arrive records a request at an instance, which answers after a time.
func (r *limitedRun) arrive(host int, target Target, takes time.Duration, answered func()) {
	r.arrivals[target.ID] = append(r.arrivals[target.ID], limitedArrival{r.now, host})
	sentAt := r.clock()
	r.after(takes, func() {
		limit := r.limits[target.ID]
		if r.now < limitNamedAt || r.endsAt > 0 && r.now >= r.endsAt {
			limit = 0
		}
		if _, known := r.heard[host][target.ID]; limit > 0 && !known {
			r.heard[host][target.ID] = r.now
		}
		r.fleets[host].Hear(target, notice.Said{Limit: limit}, sentAt, r.clock())
		answered()
	})
}

func (r *limitedRun) prompt(host int) {
	f := r.fleets[host]
	p := promptWithPrefix(fmt.Sprint("s", r.random.IntN(40)), 300+3000*r.random.IntN(5), 1100)
	plan, err := f.Place(p, r.clock())
	if err != nil {
		r.refuse()
		return
	}
	decode := func(target Target, tokens int) {
		flight := f.BeginPrompt(target.ID, "", p, tokens, r.clock())
		r.arrive(host, target, 150*time.Millisecond, func() {
			f.EndPrompt(flight, Answered, r.clock())
			r.served++
		})
	}
	if plan.Prefill == nil {
		decode(plan.Decode, plan.PrefillTokens)
		return
	}
	flight := f.BeginPrompt(plan.Prefill.ID, "", p, plan.PrefillTokens, r.clock())
	r.arrive(host, *plan.Prefill, 60*time.Millisecond, func() {
		f.PrefillDone(flight, r.clock())
		f.EndPrompt(flight, Answered, r.clock())
		target, err := f.PlaceDecode(p, plan.Prefill.Zone, r.clock())
		if err != nil {
			r.refuse()
			return
		}
		decode(target, 0)
	})
}

func (r *limitedRun) call(host int) {
	f := r.fleets[host]
	target, err := f.PlaceService("plain", "z0", nil, r.clock())
	if err != nil {
		r.refuse()
		return
	}
	f.Begin(target.ID)
	r.arrive(host, target, 30*time.Millisecond, func() {
		f.End(target.ID, Answered, 30*time.Millisecond, r.clock())
		r.served++
	})
}

// check compares the arrivals from hosts that know the limit with what it allows.
func (r *limitedRun) check(t *testing.T) {
	t.Helper()
	for id, limit := range r.limits {
		allowed := limitFactor*limitWindow.Seconds()*limit + limitAllowance
		var counted []time.Duration
		most := 0
		for _, a := range r.arrivals[id] {
			heard, known := r.heard[a.host][id]
			if !known || a.at < heard+limitKnown || r.endsAt > 0 && a.at >= r.endsAt {
				continue
			}
			counted = append(counted, a.at)
			for counted[0] <= a.at-limitWindow {
				counted = counted[1:]
			}
			if a.at >= limitNamedAt+limitSettled {
				most = max(most, len(counted))
			}
		}
		t.Logf("%d hosts: %s, %.1f a second: at most %d in %v, allowed %.0f", r.hosts, id, limit, most, limitWindow, allowed)
		if float64(most) > allowed {
			t.Errorf("%d hosts: %s takes %.1f requests a second and got %d in %v from hosts that knew, allowed %.0f", r.hosts, id, limit, most, limitWindow, allowed)
		}
	}
}

// refuse records a request that no instance may take.
func (r *limitedRun) refuse() {
	r.refused++
	r.refusals = append(r.refusals, r.now)
}

func TestLimitOfAnInstanceIsKeptByAllHostsTogether(t *testing.T) {
	for _, r := range []*limitedRun{
		{hosts: 1, prefill: 2, decode: 7, plain: 4, prompts: 52, calls: 23},
		{hosts: 8, prefill: 2, decode: 7, plain: 4, prompts: 52, calls: 23},
		{hosts: 70, prefill: 40, decode: 100, plain: 5, prompts: 600, calls: 210},
		{hosts: 294, prefill: 100, decode: 220, plain: 9, prompts: 1020, calls: 360},
	} {
		r.limits = map[string]float64{"p0": 3.1, "d0": 4.5, "d1": 2.7, "s0": 1.5}
		r.until = 16 * time.Second
		r.play()
		r.check(t)
		if r.refused > 0 {
			t.Errorf("%d hosts: %d of %d requests refused while other instances have no limit", r.hosts, r.refused, r.served+r.refused)
		}
	}
}

func TestLimitsOfAllInstancesAreUsedAndEndTogether(t *testing.T) {
	for _, r := range []*limitedRun{
		{hosts: 1, plain: 4, calls: 40},
		{hosts: 8, plain: 4, calls: 40},
		{hosts: 70, plain: 5, calls: 210},
		{hosts: 294, plain: 9, calls: 360},
	} {
		const ends = 14 * time.Second
		r.limits, r.endsAt, r.until = map[string]float64{}, ends, ends+3*time.Second
		total := r.calls / 2
		for i := range r.plain {
			r.limits[fmt.Sprint("s", i)] = total / float64(r.plain)
		}
		r.play()
		r.check(t)
		used := 0
		for id := range r.limits {
			for _, a := range r.arrivals[id] {
				if a.at >= ends-8*time.Second && a.at < ends {
					used++
				}
			}
		}
		share := float64(used) / (8 * total)
		t.Logf("%d hosts: %.2f used", r.hosts, share)
		if share < 0.7 {
			t.Errorf("%d hosts use %.2f of what the limits allow, want at least 0.7", r.hosts, share)
		}
		late := 0
		for _, at := range r.refusals {
			if at >= ends+time.Second {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d hosts: %d requests refused over a second after the limits have ended", r.hosts, late)
		}
	}
}
