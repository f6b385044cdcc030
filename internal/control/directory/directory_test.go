package directory

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"

	"pgregory.net/rapid"
)

func announcement(instance string, incarnation, seq uint64) engineapi.Announcement {
	return engineapi.Announcement{
		Instance:     instance,
		Incarnation:  incarnation,
		Sequence:     seq,
		Kind:         engineapi.KindModel,
		Zone:         "bio",
		Address:      "127.0.0.1:9000",
		LeaseSeconds: 2,
	}
}

func mustPut(t *testing.T, d *Directory, now time.Duration, a engineapi.Announcement) bool {
	t.Helper()
	changed, err := d.Put(now, a)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

func TestOnlyNewerVersionsAreStored(t *testing.T) {
	cases := []struct {
		name             string
		incarnation, seq uint64
		want             bool
	}{
		{"the same again", 2, 5, false},
		{"older sequence", 2, 4, false},
		{"older incarnation with a higher sequence", 1, 9, false},
		{"newer sequence", 2, 6, true},
		{"newer incarnation with a lower sequence", 3, 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := New()
			mustPut(t, d, 0, announcement("w1", 2, 5))
			if got := mustPut(t, d, 0, announcement("w1", tc.incarnation, tc.seq)); got != tc.want {
				t.Errorf("changed = %v, want %v", got, tc.want)
			}
		})
	}
}

func TestExpiredInstanceIsNotRevived(t *testing.T) {
	d := New()
	mustPut(t, d, 10*time.Second, announcement("w1", 1, 1))
	if gone := d.Expire(12*time.Second - 1); len(gone) != 0 {
		t.Fatalf("expired early: %v", gone)
	}
	if gone := d.Expire(12 * time.Second); len(gone) != 1 {
		t.Fatalf("expired %d instances, want 1", len(gone))
	}
	if mustPut(t, d, 13*time.Second, announcement("w1", 1, 1)) {
		t.Error("an old announcement revived an expired instance")
	}
	if !mustPut(t, d, 13*time.Second, announcement("w1", 1, 2)) {
		t.Error("a newer announcement was not stored")
	}
}

func TestInstancesHeardThroughOtherHosts(t *testing.T) {
	learn := func(d *Directory, now, age time.Duration, a engineapi.Announcement) bool {
		changed, err := d.Learn(now, age, a, a.Sequence)
		if err != nil {
			t.Fatal(err)
		}
		return changed
	}
	cases := []struct {
		name string
		do   func(d *Directory) bool
		live bool
	}{
		{"kept until the backstop lease ends", func(d *Directory) bool { return true }, true},
		{"removed when another host saw the lease end", func(d *Directory) bool { return d.End(1, "w1", Version{1, 1}) }, false},
		{"kept when the reported end is of an older version", func(d *Directory) bool { return !d.End(1, "w1", Version{1, 0}) }, true},
		{"renewed on the same state", func(d *Directory) bool {
			changed, missing := d.Renew(1, 0, Renewal{Instance: "w1", Version: Version{1, 2}, StateSequence: 1})
			return changed && !missing
		}, true},
		{"a renewal of an unknown state reports a missing record", func(d *Directory) bool {
			changed, missing := d.Renew(1, 0, Renewal{Instance: "w1", Version: Version{1, 3}, StateSequence: 3})
			return !changed && missing
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := New()
			if !learn(d, 0, 0, announcement("w1", 1, 1)) {
				t.Fatal("the first record was not stored")
			}
			if !tc.do(d) {
				t.Error("the step did not do what its name says")
			}
			d.Expire(BackstopLease - 1)
			if live := d.Snapshot().Find("w1") != nil; live != tc.live {
				t.Errorf("live = %v, want %v", live, tc.live)
			}
		})
	}
}

func TestStateSequenceGrowsOnlyWithTheState(t *testing.T) {
	d := New()
	a := announcement("w1", 1, 1)
	mustPut(t, d, 0, a)
	a.Sequence, a.Load.Running = 2, 5
	mustPut(t, d, 1, a)
	if got := d.Snapshot().Find("w1").StateSequence; got != 1 {
		t.Errorf("state sequence %d after a change of load, want 1", got)
	}
	a.Sequence, a.Draining = 3, true
	mustPut(t, d, 2, a)
	if got := d.Snapshot().Find("w1").StateSequence; got != 3 {
		t.Errorf("state sequence %d after the drain began, want 3", got)
	}
}

func TestLeaseIsBounded(t *testing.T) {
	a := announcement("w1", 1, 1)
	a.LeaseSeconds = 3600
	d := New()
	mustPut(t, d, 0, a)
	if gone := d.Expire(MaxLease); len(gone) != 1 {
		t.Error("a lease longer than MaxLease was granted")
	}
}

func TestNewerLoadReportReplacesOlderAnnouncement(t *testing.T) {
	d := New()
	a := announcement("w1", 1, 1)
	a.Load = engineapi.LoadReport{Sequence: 3, Running: 1}
	mustPut(t, d, 0, a)
	d.ObserveLoad(time.Second, "w1", 1, engineapi.LoadReport{Sequence: 7, Running: 4})
	d.ObserveLoad(time.Second, "w1", 9, engineapi.LoadReport{Sequence: 99, Running: 99})
	a.Sequence = 2
	a.Load.Sequence = 5
	mustPut(t, d, time.Second, a)
	if got := d.Snapshot().Find("w1").Announcement.Load.Running; got != 4 {
		t.Errorf("running = %d, want the newer report's 4", got)
	}
}

func TestMarkDraining(t *testing.T) {
	d := New()
	mustPut(t, d, 0, announcement("w1", 1, 1))
	d.MarkDraining("w1", 2)
	if d.Snapshot().Find("w1").Announcement.Draining {
		t.Error("a refusal of another incarnation marked the instance as draining")
	}
	d.MarkDraining("w1", 1)
	if !d.Snapshot().Find("w1").Announcement.Draining {
		t.Error("not marked as draining")
	}
}

func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		change func(*engineapi.Announcement)
	}{
		{"no instance", func(a *engineapi.Announcement) { a.Instance = "" }},
		{"no zone", func(a *engineapi.Announcement) { a.Zone = "" }},
		{"host name as address", func(a *engineapi.Announcement) { a.Address = "worker:80" }},
		{"no incarnation", func(a *engineapi.Announcement) { a.Incarnation = 0 }},
		{"unknown kind", func(a *engineapi.Announcement) { a.Kind = "database" }},
		{"service without endpoint", func(a *engineapi.Announcement) { a.Kind = engineapi.KindService }},
		{"negative KV blocks", func(a *engineapi.Announcement) { a.KVBlocks = -1 }},
		{"too many models", func(a *engineapi.Announcement) { a.State.Models = make([]engineapi.Model, MaxModels+1) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := announcement("w1", 1, 1)
			tc.change(&a)
			var invalid *InvalidError
			if _, err := New().Put(0, a); !errors.As(err, &invalid) {
				t.Errorf("got %v, want an InvalidError", err)
			}
		})
	}
}

// TestMergeOrderDoesNotMatter checks that two hosts that receive the same
// announcements in different orders end with the same versions.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) engineapi.Announcement {
			name := rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "instance")
			return announcement(name, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 5).Draw(t, "sequence"))
		}), 0, 20).Draw(t, "heard")
		shuffled := rapid.Permutation(heard).Draw(t, "shuffled")
		if a, b := versions(t, heard), versions(t, shuffled); a != b {
			t.Fatalf("orders disagree: %s and %s", a, b)
		}
	})
}

func versions(t *rapid.T, heard []engineapi.Announcement) string {
	d := New()
	for _, a := range heard {
		if _, err := d.Put(0, a); err != nil {
			t.Fatal(err)
		}
	}
	var out string
	for _, r := range d.Snapshot().Records {
		out += fmt.Sprint(r.Announcement.Instance, r.Version(), " ")
	}
	return out
}

func BenchmarkSnapshotAfterPut(b *testing.B) {
	d := New()
	for i := range 120 {
		if _, err := d.Put(0, announcement(fmt.Sprintf("w%d", i), 1, 1)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := d.Put(0, announcement("w7", 1, uint64(i+2))); err != nil {
			b.Fatal(err)
		}
		d.Snapshot()
	}
}

func TestLeaseBeyondTheRangeOfADurationIsTheLongest(t *testing.T) {
	for asked, want := range map[float64]time.Duration{1e300: MaxLease, -1e300: MinLease, math.Inf(1): MaxLease, math.NaN(): MinLease} {
		r := Record{Announcement: engineapi.Announcement{LeaseSeconds: asked}}
		if got := r.lease(); got != want {
			t.Errorf("a lease of %v s is %v, want %v", asked, got, want)
		}
	}
}
