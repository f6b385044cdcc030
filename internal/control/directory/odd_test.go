package directory

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"filberthook/internal/engines/engineapi"
)

func TestOddAnnouncementsAreRefusedBesideSoundOnes(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	many := func(n int) []string { return strings.Split(strings.Repeat("adapter,", n-1)+"adapter", ",") }
	tests := map[string]func(*engineapi.Announcement){
		"empty instance":       func(a *engineapi.Announcement) { a.Instance = "" },
		"long instance":        func(a *engineapi.Announcement) { a.Instance = long },
		"instance is no text":  func(a *engineapi.Announcement) { a.Instance = "w\xff" },
		"zone is no text":      func(a *engineapi.Announcement) { a.Zone = "z\xff" },
		"endpoint is no text":  func(a *engineapi.Announcement) { a.Endpoint = "e\xff" },
		"long endpoint":        func(a *engineapi.Announcement) { a.Endpoint = long },
		"unknown kind":         func(a *engineapi.Announcement) { a.Kind = "thing" },
		"no port":              func(a *engineapi.Announcement) { a.Address = "10.0.0.1" },
		"port 0":               func(a *engineapi.Announcement) { a.Address = "10.0.0.1:0" },
		"port 65536":           func(a *engineapi.Announcement) { a.Address = "10.0.0.1:65536" },
		"host by name":         func(a *engineapi.Announcement) { a.Address = "engine:80" },
		"address of all":       func(a *engineapi.Announcement) { a.Address = "0.0.0.0:80" },
		"long IPv6 zone":       func(a *engineapi.Announcement) { a.Address = "[fe80::1%" + long + "]:80" },
		"no incarnation":       func(a *engineapi.Announcement) { a.Incarnation = 0 },
		"negative memory":      func(a *engineapi.Announcement) { a.KVBlocks = -1 },
		"memory without bound": func(a *engineapi.Announcement) { a.KVBlocks = 1 << 62 },
		"many models":          func(a *engineapi.Announcement) { a.State.Models = make([]engineapi.Model, MaxModels+1) },
		"long model":           func(a *engineapi.Announcement) { a.State.Models = []engineapi.Model{{Name: long}} },
		"long version":         func(a *engineapi.Announcement) { a.State.Models = []engineapi.Model{{Name: "m", Version: long}} },
		"many adapters": func(a *engineapi.Announcement) {
			a.State.Models = []engineapi.Model{{Name: "m", Adapters: many(MaxAdapters + 1)}}
		},
		"long adapter": func(a *engineapi.Announcement) {
			a.State.Models = []engineapi.Model{{Name: "m", Adapters: []string{long}}}
		},
		"more adapters than a message holds": func(a *engineapi.Announcement) {
			for range MaxModels {
				a.State.Models = append(a.State.Models, engineapi.Model{Name: "m", Adapters: many(MaxAdapters)})
			}
		},
		"long role":  func(a *engineapi.Announcement) { a.State.Role = engineapi.Role(long) },
		"long order": func(a *engineapi.Announcement) { a.State.Outstanding.ID = long },
		"long phase": func(a *engineapi.Announcement) { a.State.LastOrder.Phase = engineapi.OrderPhase(long) },
	}
	for name, change := range tests {
		d := New()
		mustPut(t, d, 0, announcement("sound", 1, 1))
		odd := announcement("odd", 1, 1)
		change(&odd)
		var invalid *InvalidError
		if _, err := d.Put(0, odd); !errors.As(err, &invalid) || len(err.Error()) > 300 {
			t.Errorf("%s: error %.200v, want a short InvalidError", name, err)
		}
		if _, err := d.Learn(0, 0, odd, 1); !errors.As(err, &invalid) {
			t.Errorf("%s: learned from another host, error %v", name, err)
		}
		if list := d.Snapshot().Records; len(list) != 1 || list[0].Announcement.Instance != "sound" {
			t.Errorf("%s: %d records, want the sound one", name, len(list))
		}
	}
	large := announcement("large", 1, 1)
	large.State.Models = []engineapi.Model{{Name: "m", Version: "1", Adapters: many(MaxAdapters)}}
	mustPut(t, New(), 0, large)
}

func TestLongReasonOfAnOrderIsCut(t *testing.T) {
	d := New()
	for n := range uint64(3) {
		a := announcement("w1", 1, n+1)
		a.State.LastOrder = engineapi.OrderStatus{ID: "o", Reason: strings.Repeat("\u20ac", 5000) + "\xff"}
		mustPut(t, d, 0, a)
	}
	r := d.Snapshot().Find("w1")
	if got := r.Announcement.State.LastOrder.Reason; len(got) > maxReasonBytes || !utf8.ValidString(got) || got == "" {
		t.Errorf("a reason of %d bytes is kept, text %v", len(got), utf8.ValidString(got))
	}
	if r.StateSequence != 1 {
		t.Errorf("the same reason three times changed the state, last with announcement %d", r.StateSequence)
	}
}
