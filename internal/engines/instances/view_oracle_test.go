package instances

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// mergeWhole merges all lists of a view from scratch. It is how the View once worked, and
// the oracle of its merge by change.
func mergeWhole(v *View, now time.Time) map[string][]Instance {
	best := map[string]Instance{}
	for _, s := range v.sources {
		if s.connected || !v.anyConnected() || now.Sub(s.lostAt) < v.grace {
			collect(v, best, s.changes)
		}
		if !now.After(s.previousUntil) {
			collect(v, best, s.previous)
		}
	}
	dropReplaced(best)
	byEndpoint := map[string][]Instance{}
	for _, in := range best {
		byEndpoint[in.Endpoint] = append(byEndpoint[in.Endpoint], in)
	}
	for _, list := range byEndpoint {
		slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	}
	return byEndpoint
}

// collect adds the usable instances of one list to best, which keeps the newest report
// of each.
func collect(v *View, best map[string]Instance, changes map[string]Change) {
	for id, c := range changes {
		left, leaves := v.leaving[id]
		if c.Silent || c.State != Ready || leaves && left >= c.Born {
			continue
		}
		if known, ok := best[id]; !ok || c.supersedes(&known) {
			best[id] = c.Instance
		}
	}
}

// dropReplaced removes instances whose address is used by one with a later start.
func dropReplaced(best map[string]Instance) {
	newest := map[string]Instance{} // by address
	for _, in := range best {
		known, ok := newest[in.Address]
		if !ok || in.Born > known.Born || in.Born == known.Born && in.ID < known.ID {
			newest[in.Address] = in
		}
	}
	for id, in := range best {
		if newest[in.Address].ID != id {
			delete(best, id)
		}
	}
}

// withoutSequence clears what a snapshot need not renew.
func withoutSequence(lists map[string][]Instance) map[string][]Instance {
	out := map[string][]Instance{}
	for endpoint, list := range lists {
		for _, in := range list {
			in.Sequence = 0
			out[endpoint] = append(out[endpoint], in)
		}
	}
	return out
}

// Changes of few ids at few addresses, restarts and losses of control hosts in any order:
// the merge by change always gives what a merge of everything would.
func TestMergeByChangeEqualsMergeOfEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(interval)
		now, epochs := start, map[string]int{}
		held := v.Snapshot()
		kept := withoutSequence(held.ByEndpoint)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			host := rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "control")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				epochs[host]++
				v.Update(host, fmt.Sprint(epochs[host]), 0, nil, now)
			case 1:
				v.Disconnected(host, now)
			case 2:
				held = v.Snapshot()
				kept = maps.Clone(withoutSequence(held.ByEndpoint))
			default:
				changes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Change { return drawChange(t) }), 0, 4).Draw(t, "changes")
				v.Update(host, fmt.Sprint(epochs[host]), 0, changes, now)
			}
			v.Tick(now)
			if diff := cmp.Diff(withoutSequence(mergeWhole(v, now)), withoutSequence(v.Snapshot().ByEndpoint)); diff != "" {
				t.Fatalf("differs from a merge of everything (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(kept, withoutSequence(held.ByEndpoint)); diff != "" {
				t.Fatalf("a snapshot changed after it was taken (-before +after):\n%s", diff)
			}
		}
	})
}

// drawChange draws a report. What an instance says follows from its start and the number
// of its heartbeat.
func drawChange(t *rapid.T) Change {
	n := rapid.IntRange(1, 5).Draw(t, "id")
	born := rapid.Int64Range(0, 3).Draw(t, "born")
	sequence := rapid.Uint64Range(0, 5).Draw(t, "sequence")
	return Change{
		Instance: Instance{
			ID: fmt.Sprint("i-", n), Born: born, Sequence: sequence, Zone: "z",
			Endpoint: []string{"lm", "bookings"}[(n+int(born))%2],
			Address:  fmt.Sprintf("10.0.0.%d:80", (n*int(born+1))%3),
			Stage:    []Stage{Prefill, Decode}[sequence/2%2],
			State:    rapid.SampledFrom([]State{Ready, Ready, Ready, Draining, Gone}).Draw(t, "state"),
		},
		Silent: rapid.IntRange(0, 5).Draw(t, "silent") == 0,
	}
}
