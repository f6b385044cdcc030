package gossip

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
)

// oddAnnouncements are announcements whose values no instance has.
func oddAnnouncements() map[string]engineapi.Announcement {
	odd := func(change func(*engineapi.Announcement)) engineapi.Announcement {
		a := engineapi.Announcement{
			Instance: "odd", Incarnation: 1, Sequence: 1, Kind: engineapi.KindModel, Zone: "z0", Address: "127.0.0.1:9000", KVBlocks: 64, LeaseSeconds: 2,
			State: engineapi.EngineState{Role: engineapi.RoleMixed, Models: []engineapi.Model{{Name: "assist", Version: "1"}}},
			Load:  engineapi.LoadReport{Sequence: 1},
		}
		change(&a)
		return a
	}
	long := strings.Repeat("x", 4000)
	return map[string]engineapi.Announcement{
		"long endpoint":    odd(func(a *engineapi.Announcement) { a.Endpoint = long }),
		"long model":       odd(func(a *engineapi.Announcement) { a.State.Models[0].Name = long }),
		"long version":     odd(func(a *engineapi.Announcement) { a.State.Models[0].Version = long }),
		"many adapters":    odd(func(a *engineapi.Announcement) { a.State.Models[0].Adapters = strings.Split(long, "") }),
		"long adapters":    odd(func(a *engineapi.Announcement) { a.State.Models[0].Adapters = []string{long, long} }),
		"usual adapters":   odd(func(a *engineapi.Announcement) { a.State.Models[0].Adapters = manyAdapters(100) }),
		"long role":        odd(func(a *engineapi.Announcement) { a.State.Role = engineapi.Role(long) }),
		"long reason":      odd(func(a *engineapi.Announcement) { a.State.LastOrder = engineapi.OrderStatus{ID: "o", Reason: long} }),
		"last incarnation": odd(func(a *engineapi.Announcement) { a.Incarnation = math.MaxUint64 }),
		"last sequence":    odd(func(a *engineapi.Announcement) { a.Sequence = math.MaxUint64 }),
		"port 0":           odd(func(a *engineapi.Announcement) { a.Address = "127.0.0.1:0" }),
		"no text":          odd(func(a *engineapi.Announcement) { a.Instance = "odd\xff\xfe" }),
		"lease too long":   odd(func(a *engineapi.Announcement) { a.LeaseSeconds = math.MaxFloat64 }),
		"negative lease":   odd(func(a *engineapi.Announcement) { a.LeaseSeconds = -math.MaxFloat64 }),
		"age too large":    odd(func(a *engineapi.Announcement) { a.Load.AgeMillis = math.MaxInt64 }),
		"negative age":     odd(func(a *engineapi.Announcement) { a.Load.AgeMillis = math.MinInt64 }),
		"infinite step":    odd(func(a *engineapi.Announcement) { a.Load.StepMillis = math.MaxFloat64 }),
		"infinite rates": odd(func(a *engineapi.Announcement) {
			a.Load.PrefillPerSec, a.Load.DecodePerSec = math.MaxFloat64, math.MaxFloat64
		}),
		"negative counts": odd(func(a *engineapi.Announcement) {
			a.Load.Running, a.Load.Queued, a.Load.UsedKVBlocks = math.MinInt, -1, -1
		}),
		"counts too large": odd(func(a *engineapi.Announcement) { a.Load.Running, a.Load.QueuedPrefill = math.MaxInt, math.MaxInt }),
		"last load and seq": odd(func(a *engineapi.Announcement) {
			a.Load.Sequence, a.Load.CacheEventsSeq = math.MaxUint64, math.MaxUint64
		}),
	}
}

func manyAdapters(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("adapter-", i)
	}
	return out
}

// withOdd runs a network in which another writer goes on announcing, while a worker begins to drain.
func withOdd(t *testing.T, odd engineapi.Announcement) *network {
	w := newNetwork(8, 22, 4, 500*time.Millisecond)
	w.run(t, time.Second)
	for n := range 16 {
		for _, host := range w.names {
			if w.machines[host].core.Self().Zone == odd.Zone {
				_, _ = w.machines[host].instances.receiveAnnouncement(w.now, odd) // may be refused
			}
		}
		odd.Sequence++
		if n == 10 {
			w.workers["w000"].Draining = true
		}
		w.run(t, 500*time.Millisecond)
	}
	return w
}

func TestOddAnnouncementKeepsNoOtherFromSpreading(t *testing.T) {
	for name, odd := range oddAnnouncements() {
		t.Run(name, func(t *testing.T) {
			w := withOdd(t, odd)
			for instance := range w.workers {
				if got := w.knownBy(instance, anyRecord); got != 8 {
					t.Errorf("%s known by %d hosts, want 8", instance, got)
				}
			}
			if got := w.knownBy("w000", func(r *directory.Record) bool { return !r.Announcement.Draining }); got != 0 {
				t.Errorf("%d hosts do not know that an instance drains", got)
			}
			if got := w.knownBy("odd", anyRecord); name == "usual adapters" && got != 8 {
				t.Errorf("an engine with a hundred adapters is known by %d hosts, want 8", got)
			}
		})
	}
}

func TestOddLoadIsKnownWithinBounds(t *testing.T) {
	for name, odd := range oddAnnouncements() {
		t.Run(name, func(t *testing.T) {
			w := withOdd(t, odd)
			for _, host := range w.names {
				for _, r := range w.dirs[host].Snapshot().Records {
					l := &r.Announcement.Load
					for _, v := range []float64{l.StepMillis, l.PrefillPerSec, l.DecodePerSec} {
						if !(v >= 0 && v <= math.MaxFloat32) {
							t.Errorf("%s knows %s with a load of %v", host, r.Announcement.Instance, v)
						}
					}
					if l.Running < 0 || l.Queued < 0 || l.QueuedPrefill < 0 || l.UsedKVBlocks < 0 || r.LoadAt > r.HeardAt {
						t.Errorf("%s knows %s with a load of %+v, measured %v after it was heard", host, r.Announcement.Instance, l, r.LoadAt-r.HeardAt)
					}
				}
			}
		})
	}
}
