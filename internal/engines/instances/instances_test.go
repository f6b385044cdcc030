package instances

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const interval = time.Second

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func engine(id string, born int64, sequence uint64) Instance {
	return Instance{ID: id, Born: born, Sequence: sequence, Endpoint: "lm", Address: "10.0.0.1:80", Zone: "bio", Slots: 4}
}

func ids(s *Snapshot) []string {
	var out []string
	for _, in := range s.ByEndpoint["lm"] {
		out = append(out, in.ID)
	}
	return out
}

// feed applies the changes of a registry to a view.
func feed(v *View, address, epoch string, r *Registry, now time.Time) {
	_, position := v.Position(address)
	changes, reached, _ := r.Since(position, 0)
	v.Update(address, epoch, reached, changes, now)
}

func TestRegistryIgnoresLateAndOldHeartbeats(t *testing.T) {
	r := NewRegistry(interval)
	r.Observe(engine("i-1", 100, 5), at(0))
	tests := []struct {
		name string
		in   Instance
		want bool
	}{
		{"same heartbeat again", engine("i-1", 100, 5), false},
		{"a late heartbeat", engine("i-1", 100, 4), false},
		{"an older start", engine("i-1", 99, 50), false},
		{"the next heartbeat, nothing new", engine("i-1", 100, 6), false},
		{"a new start under the same id", engine("i-1", 200, 1), true},
		{"an older start at the same address", Instance{ID: "i-0", Born: 50, Sequence: 900, Endpoint: "lm", Address: "10.0.0.1:80", Slots: 1}, false},
	}
	for _, tt := range tests {
		if _, changed := r.Observe(tt.in, at(0)); changed != tt.want {
			t.Errorf("%s: changed %v, want %v", tt.name, changed, tt.want)
		}
	}
}

func TestInstanceThatLeavesDoesNotComeBack(t *testing.T) {
	r := NewRegistry(interval)
	r.Observe(engine("i-1", 100, 1), at(0))
	draining := engine("i-1", 100, 2)
	draining.State = Draining
	r.Observe(draining, at(0))
	if _, changed := r.Observe(engine("i-1", 100, 3), at(0)); changed {
		t.Error("a draining instance became ready again")
	}
	r.Leave("i-1", 0, at(0))
	if _, changed := r.Observe(engine("i-1", 100, 4), at(0)); changed {
		t.Error("a late heartbeat brought a deregistered instance back")
	}
	if _, changed := r.Observe(engine("i-1", 300, 1), at(0)); !changed {
		t.Error("a new start after a deregistration was ignored")
	}
}

func TestSilentInstancesAreListedOnceAndComeBack(t *testing.T) {
	r := NewRegistry(interval)
	r.Observe(engine("i-1", 100, 1), at(0))
	if silent := r.Expire(at(2 * interval)); len(silent) != 0 {
		t.Errorf("silent after two intervals: %v", silent)
	}
	if silent := r.Expire(at(4 * interval)); len(silent) != 1 {
		t.Errorf("silent after four intervals: %v, want one", silent)
	}
	if silent := r.Expire(at(5 * interval)); len(silent) != 0 {
		t.Errorf("listed as silent again: %v", silent)
	}
	if _, changed := r.Observe(engine("i-1", 100, 2), at(5*interval)); !changed {
		t.Error("a heartbeat after the silence was not reported as a change")
	}
}

func TestViewMergesControlHosts(t *testing.T) {
	a, b := NewRegistry(interval), NewRegistry(interval)
	v := NewView(interval)
	a.Observe(engine("i-1", 100, 1), at(0))
	feed(v, "A", "a1", a, at(0))
	feed(v, "B", "b1", b, at(0))
	if got := ids(v.Snapshot()); len(got) != 1 {
		t.Fatalf("instances %v, want i-1", got)
	}

	// The instance moves to B; A receives no more heartbeats.
	b.Observe(engine("i-1", 100, 9), at(2*interval))
	a.Expire(at(5 * interval))
	feed(v, "B", "b1", b, at(5*interval))
	feed(v, "A", "a1", a, at(5*interval))
	if got := ids(v.Snapshot()); len(got) != 1 {
		t.Fatalf("instances %v after a move between control hosts, want i-1", got)
	}

	// It reports to A that it leaves; B's older report does not keep it in use.
	leaving := engine("i-1", 100, 10)
	leaving.State = Draining
	a.Observe(leaving, at(5*interval))
	feed(v, "A", "a1", a, at(5*interval))
	if got := ids(v.Snapshot()); len(got) != 0 {
		t.Errorf("instances %v after one reported that it leaves, want none", got)
	}
}

func TestLeavingIsRememberedWhenItsControlHostRestarts(t *testing.T) {
	a, b := NewRegistry(interval), NewRegistry(interval)
	v := NewView(interval)
	b.Observe(engine("i-1", 100, 1), at(0))
	feed(v, "B", "b1", b, at(0))
	a.Leave("i-1", 0, at(0)) // A never received its heartbeats and does not know the start
	feed(v, "A", "a1", a, at(0))
	if got := ids(v.Snapshot()); len(got) != 0 {
		t.Fatalf("instances %v, want none", got)
	}
	v.Update("A", "a2", 0, nil, at(interval))
	v.Tick(at(time.Minute))
	if got := ids(v.Snapshot()); len(got) != 0 {
		t.Errorf("instances %v after the control host restarted, want none", got)
	}
}

func TestListOfRestartedControlHostCountsForGracePeriod(t *testing.T) {
	a := NewRegistry(interval)
	v := NewView(interval)
	a.Observe(engine("i-1", 100, 1), at(0))
	feed(v, "A", "a1", a, at(0))
	v.Update("A", "a2", 0, nil, at(0))
	if got := ids(v.Snapshot()); len(got) != 1 {
		t.Fatalf("instances %v right after a restart, want i-1", got)
	}
	v.Tick(at(4 * interval))
	if got := ids(v.Snapshot()); len(got) != 0 {
		t.Errorf("instances %v without a heartbeat since the restart, want none", got)
	}
}

func TestLastListStaysWithoutAnyControlHost(t *testing.T) {
	a, b := NewRegistry(interval), NewRegistry(interval)
	v := NewView(interval)
	a.Observe(engine("i-1", 100, 1), at(0))
	feed(v, "A", "a1", a, at(0))
	feed(v, "B", "b1", b, at(0))
	v.Disconnected("A", at(interval))
	v.Disconnected("B", at(interval))
	v.Tick(at(time.Hour))
	if got := ids(v.Snapshot()); len(got) != 1 {
		t.Fatalf("instances %v without control hosts, want i-1", got)
	}
	feed(v, "B", "b1", b, at(time.Hour))
	if got := ids(v.Snapshot()); len(got) != 0 {
		t.Errorf("instances %v though the reconnected control host does not know them", got)
	}
}

func TestReusedAddressBelongsToTheLaterStart(t *testing.T) {
	a := NewRegistry(interval)
	v := NewView(interval)
	old := engine("i-1", 100, 1)
	a.Observe(old, at(0))
	later := Instance{ID: "i-2", Born: 200, Sequence: 1, Endpoint: "bookings", Address: old.Address, Zone: "bio", Slots: 1}
	a.Observe(later, at(0))
	feed(v, "A", "a1", a, at(0))
	if got := ids(v.Snapshot()); len(got) != 0 {
		t.Errorf("instances %v at an address that a later start uses, want none", got)
	}
	if got := v.Snapshot().ByEndpoint["bookings"]; len(got) != 1 {
		t.Errorf("the later start is missing: %v", got)
	}
}

// Once any control host has reported that an instance leaves, no requests go to it until
// a later start, in whatever order the control hosts' lists arrive.
func TestNoRequestsAfterLeavingInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*Registry{NewRegistry(interval), NewRegistry(interval), NewRegistry(interval)}
		names := []string{"A", "B", "C"}
		v := NewView(interval)
		born, sequence, leftBorn := int64(1), uint64(0), int64(0)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 2).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				sequence++
				registries[n].Observe(engine("i-1", born, sequence), now)
			case 2:
				registries[n].Leave("i-1", born, now)
				feed(v, names[n], "1", registries[n], now)
				leftBorn = born
			case 3:
				born++
				sequence = 0
			case 4:
				feed(v, names[n], "1", registries[n], now)
			case 5:
				v.Disconnected(names[n], now)
			}
			for _, in := range v.Snapshot().ByEndpoint["lm"] {
				if in.Born <= leftBorn {
					t.Fatalf("start %d is used after start %d left", in.Born, leftBorn)
				}
			}
		}
	})
}

// The changes after any position are those of a walk over all entries.
func TestChangesAfterAPositionAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewRegistry(interval), start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			in := drawChange(t).Instance
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				r.Leave(in.ID, in.Born, now)
			case 1:
				r.Expire(now)
			case 2:
				now = now.Add(goneRetention)
				r.Expire(now)
			default:
				r.Observe(in, now)
			}
			position := rapid.Uint64Range(0, r.position).Draw(t, "position")
			want := map[string]Change{}
			for id, e := range r.entries {
				if e.position > position {
					want[id] = e.Change
				}
			}
			got := map[string]Change{}
			changes, _, _ := r.Since(position, 0)
			for _, c := range changes {
				got[c.ID] = c
			}
			if diff := cmp.Diff(want, got); diff != "" || len(changes) != len(got) {
				t.Fatalf("after position %d (-want +got):\n%s", position, diff)
			}
			for address, list := range r.byAddress {
				for _, e := range list {
					if r.entries[e.ID] != e || e.Address != address {
						t.Fatalf("%s is indexed under %s", e.ID, address)
					}
				}
			}
		}
	})
}
