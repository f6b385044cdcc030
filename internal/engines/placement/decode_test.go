package placement

import (
	"testing"
	"time"

	"filberthook/internal/engines/instances"
)

func TestPlaceDecodeSkipsRemovedEngines(t *testing.T) {
	f := fleetOf(2, 2)
	p := promptWithPrefix("s", 13000, 3000)
	first, err := f.PlaceDecode(p, "z0", start)
	if err != nil {
		t.Fatal(err)
	}
	var list []instances.Instance
	for _, in := range f.byEndpoint["lm"] {
		if in.ID != first.ID {
			list = append(list, in.Instance)
		}
	}
	f.Update(&instances.Snapshot{Number: 2, ByEndpoint: map[string][]instances.Instance{"lm": list}})
	if second, err := f.PlaceDecode(p, "z0", start); err != nil || second.ID == first.ID {
		t.Errorf("decode engine %s, %v after it was removed", second.ID, err)
	}
}

// Transferring KV cache between zones takes twice the time and costs twice as much as
// within a zone. PlaceDecode still picks another zone when the decode engines of the
// prefill's zone are busy.
func TestPlaceDecodePrefersThePrefillZone(t *testing.T) {
	f := fleetOf(8, 8)
	p := promptWithPrefix("s", 13000, 3000)
	for _, zone := range []string{"z0", "z1", "z2", "z3"} {
		got, err := f.PlaceDecode(p, zone, start)
		if err != nil || got.Zone != zone {
			t.Errorf("prefill in %s, decode in %s (%v)", zone, got.Zone, err)
		}
	}
	for range 40 {
		f.BeginPrompt("d0", "", p, 0, start)
		f.BeginPrompt("d4", "", p, 0, start)
	}
	if got, err := f.PlaceDecode(p, "z0", start); err != nil || got.Zone == "z0" {
		t.Errorf("decode at %s (%v), whose batch is full while others are idle", got.ID, err)
	}
}

// One host of many sends a dozen prompts a second to fifty engines. It must keep to a few
// of them, as every other one needs a new connection, until those are busy.
func TestPlaceDecodePrefersConnectedEngines(t *testing.T) {
	f := fleetOf(8, 48)
	p := promptWithPrefix("s", 13000, 3000)
	used := map[string]bool{}
	f.connected = func(address string) bool { return used[address] } // ids are addresses
	for i := range 60 {
		now := after(80 * i)
		got, err := f.PlaceDecode(p, "z0", now)
		if err != nil {
			t.Fatal(err)
		}
		used[got.ID] = true
		r := f.BeginPrompt(got.ID, "p0", p, 0, now)
		f.PrefillDone(r, now.Add(20*time.Millisecond))
		f.EndPrompt(r, Answered, now.Add(70*time.Millisecond))
	}
	if len(used) > 6 {
		t.Errorf("60 prompts went to %d engines", len(used))
	}
	for id := range used {
		for range 20 {
			f.BeginPrompt(id, "p0", p, 0, after(4800))
		}
	}
	if got, err := f.PlaceDecode(p, "z0", after(4800)); err != nil || used[got.ID] {
		t.Errorf("placed at %s (%v), which is busy while others are idle", got.ID, err)
	}
}

// Short prompts are sent to an idle engine that the host has a connection to. Once that
// engine is busy, a new connection costs less.
func TestPlacePrefersConnectedEngineForShortPrompts(t *testing.T) {
	f := fleetOf(12, 4)
	f.connected = func(address string) bool { return address == "p5" }
	p := promptWithPrefix("s", 0, 1400)
	for range 20 {
		if plan := mustPlace(t, f, p, start); prefillEngine(plan) != "p5" {
			t.Fatalf("prefill at %s, want p5, which is connected", prefillEngine(plan))
		}
	}
	for range 12 {
		f.BeginPrompt("p5", "", p, 1400, start)
	}
	if plan := mustPlace(t, f, p, start); prefillEngine(plan) == "p5" {
		t.Error("prefill at p5, where 12 prompts are queued, though other engines are idle")
	}
}
