package placement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
)

// containedFleet returns the Fleet of a host that knows some instances of a plain service.
func containedFleet(count int, at time.Time) (*Fleet, *instances.View) {
	view := instances.NewView(time.Hour)
	var changes []instances.Change
	for n := range count {
		changes = append(changes, instances.Change{Instance: instances.Instance{ID: fmt.Sprint("i-", n), Born: 1, Sequence: 1, Endpoint: "e", Address: fmt.Sprint("a", n), Zone: "z", Slots: 6}})
	}
	view.Update("control", "1", 1, changes, at)
	f := New(DefaultSettings(), func() float64 { return 0.5 }, func(string) bool { return true })
	f.Update(view.Snapshot())
	return f, view
}

// endedOf returns a function that reports the instances with the given IDs as ended.
func endedOf(ids ...string) func(string, int64) bool {
	return func(id string, _ int64) bool {
		for _, ended := range ids {
			if id == ended {
				return true
			}
		}
		return false
	}
}

func TestHostsPlaceAContainedRequestAtTheSameInstanceAndNotAtOneThatHasEnded(t *testing.T) {
	now := time.Now()
	first, _ := containedFleet(4, now)
	second, _ := containedFleet(4, now)
	for n := range 20 {
		key := fmt.Sprint("key ", n)
		a, errA := first.PlaceContained("e", key, nil, endedOf("i-0"), now)
		b, errB := second.PlaceContained("e", key, nil, endedOf("i-0"), now)
		if errA != nil || errB != nil || a.ID != b.ID || a.ID == "i-0" {
			t.Errorf("%s: placed at %s (%v) and %s (%v), want the same one that runs", key, a.ID, errA, b.ID, errB)
		}
	}
}

func TestLastInstanceOfSeveralGetsNoContainedRequest(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		instances int
		ended     []string
		refused   bool
	}{
		{4, []string{"i-0", "i-1", "i-2"}, true},
		{2, []string{"i-1"}, true},
		{4, []string{"i-0", "i-1"}, false},
		{1, nil, false}, // there is no other one to wait for
	} {
		f, _ := containedFleet(tt.instances, now)
		_, err := f.PlaceContained("e", "key", nil, endedOf(tt.ended...), now)
		var last *LastInstanceError
		if refused := errors.As(err, &last); refused != tt.refused || !refused && err != nil {
			t.Errorf("%d instances, %d ended: %v, want refused: %v", tt.instances, len(tt.ended), err, tt.refused)
		}
	}
}

func TestInstanceIsTheLastOneAlsoWhenTheOthersAreNoLongerAnnounced(t *testing.T) {
	now := time.Now()
	f, _ := containedFleet(2, now)
	alone := func(at time.Time) error {
		_, view := containedFleet(1, at)
		s := *view.Snapshot()
		s.At = at
		f.Update(&s)
		_, err := f.PlaceContained("e", "key", nil, endedOf(), at)
		return err
	}
	var last *LastInstanceError
	if err := alone(now.Add(5 * time.Second)); !errors.As(err, &last) {
		t.Errorf("5 s after there were two: %v, want a LastInstanceError", err)
	}
	if err := alone(now.Add(2 * peakPeriod)); err != nil {
		t.Errorf("%v after there were two: %v, want it placed", 2*peakPeriod, err)
	}
}
