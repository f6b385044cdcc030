package prefix

import (
	"math"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
)

func TestEngineIsFollowedAgainAfterAnOddPosition(t *testing.T) {
	const hash, later = 5, 6
	stored := func(sequence, h uint64) engineapi.CacheEvent {
		return engineapi.CacheEvent{Sequence: sequence, Kind: engineapi.CacheStored, Prefix: h}
	}
	tests := map[string]func(*Index){
		"a page that ends far ahead": func(ix *Index) {
			ix.Apply(time.Second, Page{Instance: "w1", After: 1, CacheEventPage: engineapi.CacheEventPage{Incarnation: 1, Complete: true, Next: math.MaxUint64}})
		},
		"a snapshot that ends far ahead": func(ix *Index) {
			ix.Apply(time.Second, Page{Instance: "w1", After: 1, CacheEventPage: engineapi.CacheEventPage{Incarnation: 1, Next: math.MaxUint64}})
		},
		"a load that is far ahead": func(ix *Index) { ix.Observe(time.Second, "w1", 1, math.MaxUint64) },
		"a page of a later start": func(ix *Index) {
			ix.Apply(time.Second, Page{Instance: "w1", CacheEventPage: engineapi.CacheEventPage{Incarnation: math.MaxUint64, Complete: true, Next: math.MaxUint64}})
		},
	}
	for name, odd := range tests {
		ix := NewIndex(DefaultConfig())
		ix.Observe(0, "w1", 1, 1)
		ix.Apply(0, Page{Instance: "w1", CacheEventPage: engineapi.CacheEventPage{Incarnation: 1, Complete: true, Next: 1, Events: []engineapi.CacheEvent{stored(1, hash)}}})
		odd(ix)
		events := []engineapi.CacheEvent{stored(1, hash), stored(2, later)}
		now := time.Second
		for range 5 {
			now += time.Second
			ix.Observe(now, "w1", 1, 2)
			if !ix.NeedsPage("w1") {
				break
			}
			_, after := ix.Next("w1")
			page := engineapi.CacheEventPage{Incarnation: 1, Complete: true, Next: 2}
			if after > 2 {
				page.Complete, page.Snapshot = false, events
			} else {
				page.Events = events[after:]
			}
			ix.Apply(now, Page{Instance: "w1", After: after, CacheEventPage: page})
		}
		var m Matches
		ix.Match(now, []uint64{hash, later}, &m)
		if got := m.Blocks(ix.Slot("w1")); got != 2 {
			t.Errorf("%s: %d of the engine's 2 prefixes are known", name, got)
		}
		if got := ix.Confidence(now, ix.Slot("w1")); got != 1 || ix.NeedsPage("w1") {
			t.Errorf("%s: confidence %v, needs a page %v, with all events applied", name, got, ix.NeedsPage("w1"))
		}
	}
}
