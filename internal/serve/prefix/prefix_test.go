package prefix

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
)

func stored(seq uint64, hashes ...uint64) []engineapi.CacheEvent {
	var events []engineapi.CacheEvent
	for i, h := range hashes {
		events = append(events, engineapi.CacheEvent{Sequence: seq + uint64(i), Kind: engineapi.CacheStored, Prefix: h})
	}
	return events
}

func page(after uint64, incarnation uint64, events []engineapi.CacheEvent) Page {
	p := Page{Instance: "w1", After: after}
	p.Incarnation, p.Complete, p.Events = incarnation, true, events
	p.Next = after
	if len(events) > 0 {
		p.Next = events[len(events)-1].Sequence
	}
	return p
}

func cachedBlocks(ix *Index, now time.Duration, instance string, prefixes ...uint64) int {
	var m Matches
	ix.Match(now, prefixes, &m)
	return m.Blocks(ix.Slot(instance))
}

func TestPrefixHashesChainFullBlocks(t *testing.T) {
	block := strings.Repeat("a ", engineapi.KVBlockTokens)
	first := PrefixHashes("m", "", block+"tail")
	second := PrefixHashes("m", "", block+block)
	if len(first) != 1 || len(second) != 2 {
		t.Fatalf("hashes for 1 and 2 blocks: %d and %d", len(first), len(second))
	}
	if diff := cmp.Diff(first[0], second[0]); diff != "" {
		t.Errorf("the same first block has different hashes: %s", diff)
	}
	if second[0] == second[1] {
		t.Error("equal blocks at different depths have the same hash")
	}
	if got := PrefixHashes("m", "", block[:len(block)-1]); !cmp.Equal(got, first) {
		t.Errorf("a block that ends with the text has hashes %v, want %v", got, first)
	}
	if got := PrefixHashes("m", "", block[:len(block)-2]); got != nil {
		t.Errorf("a partial block has hashes %v", got)
	}
	if PrefixHashes("m", "x", block)[0] == first[0] {
		t.Error("the adapter is not part of the hash")
	}
}

func TestApply(t *testing.T) {
	snapshot := page(3, 1, nil)
	snapshot.Complete, snapshot.Snapshot, snapshot.Next = false, stored(0, 7, 8), 9
	tests := []struct {
		name  string
		pages []Page
		want  int // leading blocks of 7, 8, 9 cached
		gap   bool
	}{
		{"events in order", []Page{page(0, 1, stored(1, 7, 8)), page(2, 1, stored(3, 9))}, 3, false},
		{"page repeated", []Page{page(0, 1, stored(1, 7)), page(0, 1, stored(1, 7))}, 1, false},
		{"page lost", []Page{page(0, 1, stored(1, 7)), page(5, 1, stored(6, 8))}, 1, true},
		{"event lost inside a page", []Page{page(0, 1, append(stored(1, 7), stored(4, 8)...))}, 1, true},
		{"snapshot ends a gap", []Page{page(0, 1, stored(1, 5)), page(5, 1, stored(6, 8)), snapshot}, 2, false},
		{"partial pages in a gap are not applied", []Page{page(0, 1, stored(1, 7)), page(5, 1, nil), page(1, 1, stored(2, 8))}, 1, true},
		{"full history ends a gap", []Page{page(0, 1, stored(1, 7)), page(5, 1, stored(6, 8)), page(0, 1, stored(1, 7, 8, 9))}, 3, false},
		{"restart clears", []Page{page(0, 1, stored(1, 7, 8)), page(0, 2, stored(1, 7))}, 1, false},
		{"earlier incarnation is ignored", []Page{page(0, 2, stored(1, 7)), page(0, 1, stored(1, 7, 8, 9))}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ix := NewIndex(DefaultConfig())
			gap := false
			for _, p := range tt.pages {
				gap = ix.Apply(0, p)
			}
			if got := cachedBlocks(ix, 0, "w1", 7, 8, 9); got != tt.want {
				t.Errorf("blocks = %d, want %d", got, tt.want)
			}
			if gap != tt.gap {
				t.Errorf("gap = %v, want %v", gap, tt.gap)
			}
			if _, next := ix.Next("w1"); gap && next != 0 {
				t.Errorf("next = %d after a gap, want 0", next)
			}
		})
	}
}

func TestConfidenceHalvesWhileEventsAreMissing(t *testing.T) {
	ix := NewIndex(Config{MaxPerEngine: 10, HalfLife: tomltime.Of(time.Second), ExpectationLife: tomltime.Of(time.Second)})
	ix.Apply(0, page(0, 1, stored(1, 7)))
	slot := ix.Slot("w1")
	ix.Observe(time.Second, "w1", 1, 1)
	ix.Observe(2*time.Second, "w1", 1, 4)
	if got := ix.Confidence(2*time.Second, slot); got != 0.5 {
		t.Errorf("confidence one half-life after the last sync = %v, want 0.5", got)
	}
	ix.Apply(2*time.Second, page(1, 1, stored(2, 8, 9, 10)))
	if got := ix.Confidence(9*time.Second, slot); got != 1 {
		t.Errorf("confidence without missing events = %v, want 1", got)
	}
}

func TestExpectedPrefixesExpireUnlessConfirmed(t *testing.T) {
	ix := NewIndex(Config{MaxPerEngine: 10, HalfLife: tomltime.Of(time.Second), ExpectationLife: tomltime.Of(time.Second)})
	ix.Expect(0, "w1", []uint64{7, 8})
	if got := cachedBlocks(ix, time.Second, "w1", 7, 8); got != 2 {
		t.Fatalf("blocks while expected = %d, want 2", got)
	}
	ix.Apply(time.Second, page(0, 1, stored(1, 7)))
	if got := cachedBlocks(ix, 3*time.Second, "w1", 7, 8); got != 1 {
		t.Errorf("blocks after expiry = %d, want the confirmed 1", got)
	}
}

// TestIndexAgreesWithModel applies random events and compares the matches with a model
// of plain sets.
func TestIndexAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ix := NewIndex(DefaultConfig())
		model := map[string]map[uint64]bool{"a": {}, "b": {}}
		next := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "engine")
			h := rapid.Uint64Range(1, 6).Draw(rt, "hash")
			kind := rapid.SampledFrom([]engineapi.CacheEventKind{engineapi.CacheStored, engineapi.CacheStored, engineapi.CacheRemoved, engineapi.CacheCleared}).Draw(rt, "kind")
			p := Page{Instance: name, After: next[name]}
			next[name]++
			p.Incarnation, p.Complete, p.Next = 1, true, next[name]
			p.Events = []engineapi.CacheEvent{{Sequence: next[name], Kind: kind, Prefix: h}}
			if p.After == 0 {
				model[name] = map[uint64]bool{}
			}
			ix.Apply(0, p)
			switch kind {
			case engineapi.CacheStored:
				model[name][h] = true
			case engineapi.CacheRemoved:
				delete(model[name], h)
			case engineapi.CacheCleared:
				model[name] = map[uint64]bool{}
			}
		}
		for name, set := range model {
			want := 0
			for h := uint64(1); set[h]; h++ {
				want++
			}
			if got := cachedBlocks(ix, 0, name, 1, 2, 3, 4, 5, 6); got != want {
				rt.Fatalf("%s: blocks = %d, want %d", name, got, want)
			}
		}
		ix.Forget("a")
		if got := cachedBlocks(ix, 0, "b", 1); (got == 1) != model["b"][1] {
			rt.Fatalf("forgetting a changed b")
		}
	})
}
