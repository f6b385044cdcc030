package instances

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestViewForgetsWhatHasGone(t *testing.T) {
	const starts = 2000
	v := NewView(interval)
	v.Update("A", "1", 1, []Change{{Instance: engine("i-stays", 100, 1)}}, at(0))
	var now time.Time
	for n := range starts {
		now = at(time.Duration(n) * interval)
		in := Instance{ID: fmt.Sprint("i-", n), Born: 100, Endpoint: "lm", Address: fmt.Sprint("10.0.0.2:", n+1)}
		c := Change{Instance: in}
		c.State = Gone
		v.Update("A", "1", uint64(n+2), []Change{c}, now)
	}
	known := len(v.leaving)
	for _, s := range v.sources {
		known += len(s.changes)
	}
	if limit := 3 * int((2*goneRetention)/interval); known > limit {
		t.Errorf("%d entries are kept of %d that have gone; want at most %d", known, starts, limit)
	}
	if got := ids(v.Snapshot()); len(got) != 1 || got[0] != "i-stays" {
		t.Errorf("instances %v, want i-stays", got)
	}
}

func TestWhatHasLeftStaysOutWhileAnyListNamesIt(t *testing.T) {
	v := NewView(interval)
	v.Update("B", "1", 1, []Change{{Instance: engine("i-1", 100, 1)}}, at(0))
	gone := Change{Instance: engine("i-1", 100, 2)}
	gone.State = Gone
	v.Update("A", "1", 1, []Change{gone}, at(0))
	for n := range 100 {
		v.Tick(at(time.Duration(n) * time.Minute))
		v.Update("A", "1", 1, nil, at(time.Duration(n)*time.Minute))
	}
	if got := ids(v.Snapshot()); len(got) != 0 {
		t.Errorf("instances %v, want none: a list that has not been renewed brought one back", got)
	}
}

func TestFloodOfGoneEntriesTakesBoundedMemoryAtAnEntryHost(t *testing.T) {
	v := NewView(interval)
	for n := range 20 {
		changes := make([]Change, maxForgettable/4)
		for i := range changes {
			changes[i] = Change{Instance: Instance{ID: fmt.Sprint("odd-", n, "-", i), Born: 100, State: Gone}}
		}
		v.Update("A", "1", uint64(n), changes, at(time.Duration(n)*2*interval))
	}
	if got := len(v.leaving); got > 2*maxForgettable {
		t.Errorf("%d entries are kept, want at most %d", got, 2*maxForgettable)
	}
}

func TestSoundInstanceIsListedAgainAfterAnOddHeartbeat(t *testing.T) {
	later := engine("odd", 200, 1)
	tests := []struct {
		name string
		odd  Instance
	}{
		{"the highest sequence under its id", engine("i-1", 100, math.MaxUint64)},
		{"a later start under its id", engine("i-1", 200, 1)},
		{"a later start at its address", later},
	}
	for _, tt := range tests {
		r := NewRegistry(interval)
		v := NewView(interval)
		r.Observe(engine("i-1", 100, 1), at(0))
		r.Observe(tt.odd, at(0))
		const outage = 2 * silentAfterIntervals
		for n := 1; n <= outage; n++ {
			now := at(time.Duration(n) * interval)
			r.Observe(engine("i-1", 100, uint64(n+1)), now)
			r.Expire(now)
			feed(v, "A", "1", r, now)
		}
		listed := v.Snapshot().ByEndpoint["lm"]
		if len(listed) != 1 || listed[0].ID != "i-1" || listed[0].Born != 100 {
			t.Errorf("%s: after %d heartbeats of the sound instance %v is listed", tt.name, outage, listed)
		}
	}
}

func TestLateHeartbeatsBringNoEndedInstanceBack(t *testing.T) {
	for _, newest := range []Instance{engine("i-1", 100, 50), engine("i-1", 200, 1), engine("i-2", 200, 1)} {
		r := NewRegistry(interval)
		r.Observe(newest, at(0))
		r.Expire(at(10 * interval))
		for n := range 5 {
			if _, changed := r.Observe(engine("i-1", 100, uint64(10+n)), at(10*interval)); changed {
				t.Errorf("after %+v: late heartbeats that arrive together are taken for a live instance", newest)
			}
		}
		for n := range 5 {
			if _, changed := r.Observe(engine("i-1", 100, 14), at(time.Duration(11+n)*interval)); changed {
				t.Errorf("after %+v: one heartbeat that is repeated is taken for a live instance", newest)
			}
		}
	}
	r := NewRegistry(interval)
	r.Observe(engine("i-1", 100, 50), at(0))
	r.Leave("i-1", 100, at(0))
	for n := range 10 {
		if _, changed := r.Observe(engine("i-1", 100, uint64(10+n)), at(time.Duration(10+n)*interval)); changed {
			t.Error("an instance that has deregistered came back")
		}
	}
}

func TestStartKeepsItsEndpointAndAddress(t *testing.T) {
	tests := map[string]func(*Instance){
		"another address":  func(in *Instance) { in.Address = "10.0.0.9:9" },
		"another endpoint": func(in *Instance) { in.Endpoint = "bookings" },
		"another zone":     func(in *Instance) { in.Zone = "elsewhere" },
	}
	for name, change := range tests {
		r, v := NewRegistry(interval), NewView(interval)
		r.Observe(engine("i-1", 100, 1), at(0))
		odd := engine("i-1", 100, 2)
		change(&odd)
		r.Observe(odd, at(0))
		feed(v, "A", "1", r, at(0))
		if got := v.Snapshot().ByEndpoint["lm"]; len(got) != 1 || !got[0].sameAs(ptr(engine("i-1", 100, 1))) {
			t.Errorf("%s: %+v is listed after an odd heartbeat, want what the instance said before", name, got)
		}
		// The odd one came first: the instance is listed once that is silent.
		r, v = NewRegistry(interval), NewView(interval)
		r.Observe(odd, at(0))
		for n := 1; n <= 2*silentAfterIntervals; n++ {
			now := at(time.Duration(n) * interval)
			r.Observe(engine("i-1", 100, uint64(10+n)), now)
			r.Expire(now)
			feed(v, "A", "1", r, now)
		}
		if got := v.Snapshot().ByEndpoint["lm"]; len(got) != 1 || !got[0].sameAs(ptr(engine("i-1", 100, 1))) {
			t.Errorf("%s first: %+v is listed, want the instance", name, got)
		}
	}
}

func ptr[T any](v T) *T { return &v }
