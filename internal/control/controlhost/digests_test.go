package controlhost

import (
	"fmt"
	"math"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/placement"
)

// zoneGroup is a group of control hosts, each with entry hosts that report to it, on a
// logical clock.
type zoneGroup struct {
	now      time.Time
	controls []*loads
	hosts    int
	interval time.Duration // of each entry host's reports
	tokens   []int64       // that each entry host reports next
}

// run plays the exchange for some time and calls told with each answer.
func (g *zoneGroup) run(length time.Duration, told func(host int, answer controlapi.LoadReport)) {
	const step = 5 * time.Millisecond
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(step) {
		ticks := g.now.UnixMilli() / step.Milliseconds()
		for h := range g.hosts {
			if ticks%int64(g.interval/step) != int64(h)%int64(g.interval/step) {
				continue
			}
			report := controlapi.LoadReport{IntervalMS: g.interval.Milliseconds(), Tokens: map[string][]int64{"e": {g.tokens[h]}}}
			answer := g.controls[h%len(g.controls)].exchange(fmt.Sprint(h), report, g.now)
			if told != nil {
				told(h, answer)
			}
		}
		if ticks%int64(digestInterval/step) == 0 && len(g.controls) > 1 {
			for i, from := range g.controls {
				digest, _ := from.digest(0, g.now)
				for j, to := range g.controls {
					if i != j {
						to.receiveDigest(fmt.Sprint(i), digest, g.now)
					}
				}
			}
		}
	}
}

// With any number of entry hosts, each is told the work of all others. At 294 hosts, about
// half of it was missing while a report counted for 800 ms and came each 1,560 ms.
func TestToldLoadIsThatOfAllHosts(t *testing.T) {
	tests := []struct {
		hosts, controls int
		interval        time.Duration
	}{{8, 1, 120 * time.Millisecond}, {64, 8, 120 * time.Millisecond}, {294, 6, 245 * time.Millisecond}, {1000, 6, 830 * time.Millisecond}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts), func(t *testing.T) {
			g := &zoneGroup{now: time.Unix(1_800_000_000, 0), hosts: tt.hosts, interval: tt.interval}
			for range tt.controls {
				g.controls = append(g.controls, newLoads("1"))
			}
			total := int64(0)
			for h := range tt.hosts {
				g.tokens = append(g.tokens, int64(1000+h))
				total += g.tokens[h]
			}
			g.run(3*time.Second, nil)
			g.run(2*time.Second, func(host int, answer controlapi.LoadReport) {
				want := float64(total - g.tokens[host])
				if got := float64(answer.Tokens["e"][0]); math.Abs(got-want) > 0.1*want {
					t.Fatalf("host %d is told %v tokens, the others have %v", host, got, want)
				}
			})
			// Hosts that stop count for a limited time.
			stopped := g.hosts / 2
			g.hosts -= stopped
			g.run(4*time.Second, nil)
			left := int64(0)
			for h := range g.hosts {
				left += g.tokens[h]
			}
			g.run(time.Second, func(host int, answer controlapi.LoadReport) {
				if want := left - g.tokens[host]; answer.Tokens["e"][0] != want {
					t.Fatalf("host %d is told %v tokens after %d hosts stopped, want %v", host, answer.Tokens["e"], stopped, want)
				}
			})
		})
	}
}

// A digest carries what entry hosts have reported since the last one, and not what came in
// other digests.
func TestDigestsCarryLocalUpdatesOnce(t *testing.T) {
	a, b := newLoads("a"), newLoads("b")
	now := time.Unix(1_800_000_000, 0)
	update := func(key uint64) []placement.CacheUpdate {
		return []placement.CacheUpdate{{Instance: "i", PrefixKeys: placement.PrefixKeys{key}}}
	}
	a.exchange("host", controlapi.LoadReport{IntervalMS: 120, Updates: update(7)}, now)
	first, _ := a.digest(0, now)
	if len(first.Updates) != 1 {
		t.Fatalf("updates %v in the first digest, want one", first.Updates)
	}
	if second, _ := a.digest(first.UpdatesPosition, now); len(second.Updates) != 0 {
		t.Errorf("updates %v are repeated", second.Updates)
	}
	b.receiveDigest("a", first, now)
	if answer := b.exchange("other", controlapi.LoadReport{IntervalMS: 120}, now); len(answer.Updates) != 1 {
		t.Errorf("updates %v from another control host, want one", answer.Updates)
	}
	if back, _ := b.digest(0, now); len(back.Updates) != 0 {
		t.Errorf("updates %v are sent back", back.Updates)
	}
}
