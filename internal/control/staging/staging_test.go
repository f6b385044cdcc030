package staging

import (
	"fmt"
	"testing"

	"filberthook/internal/engines/instances"
)

func engines(prefill, decode, zones int) []instances.Instance {
	var out []instances.Instance
	for i := range prefill + decode {
		stage := instances.Prefill
		if i >= prefill {
			stage = instances.Decode
		}
		out = append(out, instances.Instance{ID: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%zones), Stage: stage})
	}
	return out
}

func apply(list []instances.Instance, changes []Change) []instances.Instance {
	out := append([]instances.Instance{}, list...)
	for _, c := range changes {
		for i := range out {
			if out[i].ID == c.Engine.ID {
				out[i].Stage = c.To
			}
		}
	}
	return out
}

func count(list []instances.Instance, stage instances.Stage) (n int, zones map[string]int) {
	zones = map[string]int{}
	for _, e := range list {
		if e.Stage == stage {
			n++
			zones[e.Zone]++
		}
	}
	return n, zones
}

func TestBeforeTrafficStagesFollowTheExpectedMix(t *testing.T) {
	s := DefaultSettings()
	list := engines(7, 11, 4)
	d := Demand{PromptTokens: 234_000, OutputTokens: 15_500}
	list = apply(list, s.Next(list, nil, d, false))
	n, zones := count(list, instances.Decode)
	// 15,500 tokens a second are two full batches at 6 ms a step, doubled for losses.
	if n != s.Desired(list, d) || n != 4 {
		t.Errorf("%d decode engines, want %d", n, s.Desired(list, d))
	}
	if len(zones) != 4 {
		t.Errorf("decode engines in zones %v, want all four", zones)
	}
	if more := s.Next(list, nil, d, false); len(more) != 0 {
		t.Errorf("further changes %v", more)
	}
}

// Load that swings between prompt and output tokens every few seconds must change no
// stage: a change takes longer than the swing.
func TestShortLoadSwingsChangeNoStage(t *testing.T) {
	s := DefaultSettings()
	list := engines(7, 11, 4)
	list = apply(list, s.Next(list, nil, Demand{PromptTokens: 236_000, OutputTokens: 13_800}, false))
	for _, d := range []Demand{
		{PromptTokens: 236_000, OutputTokens: 13_800},
		{PromptTokens: 330_000, OutputTokens: 10_500},
		{PromptTokens: 170_000, OutputTokens: 17_500},
	} {
		if changes := s.Next(list, nil, d, true); len(changes) != 0 {
			t.Errorf("demand %+v moves %d engines", d, len(changes))
		}
	}
}

func TestLastingLoadShiftsChangeStages(t *testing.T) {
	s := DefaultSettings()
	tests := []struct {
		name string
		list []instances.Instance
		d    Demand
		to   instances.Stage
	}{
		{"many answers, few decode engines", engines(14, 4, 4), Demand{PromptTokens: 100_000, OutputTokens: 40_000}, instances.Decode},
		{"few answers, many decode engines", engines(3, 15, 4), Demand{PromptTokens: 300_000, OutputTokens: 3_000}, instances.Prefill},
		{"no decode engine", engines(6, 0, 2), Demand{PromptTokens: 50_000, OutputTokens: 5_000}, instances.Decode},
	}
	for _, tt := range tests {
		changes := s.Next(tt.list, nil, tt.d, true)
		if len(changes) == 0 {
			t.Errorf("%s: no change", tt.name)
		}
		for _, c := range changes {
			if c.To != tt.to {
				t.Errorf("%s: engine moves to %v", tt.name, c.To)
			}
		}
		if most := max(1, int(s.MaxChangingShare*float64(len(tt.list)))); len(changes) > most {
			t.Errorf("%s: %d engines at once, at most %d under load", tt.name, len(changes), most)
		}
		busy := map[string]instances.Stage{}
		for _, c := range changes {
			busy[c.Engine.ID] = c.To
		}
		if more := s.Next(tt.list, busy, tt.d, true); len(more) > 0 && len(changes) == max(1, int(s.MaxChangingShare*float64(len(tt.list)))) {
			t.Errorf("%s: %d more while as many as allowed are changing", tt.name, len(more))
		}
	}
}

// Thirty engines that change to prefill at once refuse requests for three seconds, so
// only few may change at a time under load.
func TestFewEnginesChangeAtOnceUnderLoad(t *testing.T) {
	s := DefaultSettings()
	list := engines(92, 48, 4)
	d := Demand{PromptTokens: 1_200_000, OutputTokens: 80_000}
	if n := len(s.Next(list, nil, d, true)); n == 0 || n > 10 {
		t.Errorf("%d of 140 engines change at once under load, want some and at most 10", n)
	}
	if n := len(s.Next(list, nil, d, false)); n < 25 {
		t.Errorf("%d engines change before traffic, want all that are to change", n)
	}
}

func TestDesiredStaysInRange(t *testing.T) {
	s := DefaultSettings()
	for n := 1; n <= 40; n++ {
		for zones := 1; zones <= min(n, 5); zones++ {
			for _, d := range []Demand{{}, {PromptTokens: 1e6}, {OutputTokens: 1e6}, {PromptTokens: 1e6, OutputTokens: 1e6}, {PromptTokens: 1e6, DecodeSlots: 1e4}} {
				got := s.Desired(engines(n, 0, zones), d)
				if got < 1 || got > n || n > 1 && got == n {
					t.Fatalf("%d of %d engines decode for %+v", got, n, d)
				}
			}
		}
	}
}

// A zone loses its decode engine and is partitioned later. Callers there get answers only
// if another engine of the zone has changed to decode by then.
func TestZoneThatLosesItsDecodeEngineGetsAnother(t *testing.T) {
	s := DefaultSettings()
	d := Demand{PromptTokens: 234_000, OutputTokens: 12_000}
	var list []instances.Instance
	for _, e := range engines(12, 6, 4) {
		if e.Zone != "z1" || e.Stage != instances.Decode {
			list = append(list, e)
		}
	}
	changes := s.Next(list, nil, d, true)
	if len(changes) != 1 || changes[0].Engine.Zone != "z1" || changes[0].To != instances.Decode {
		t.Fatalf("changes %v, want one engine of zone z1 to change to decode", changes)
	}
	busy := map[string]instances.Stage{changes[0].Engine.ID: instances.Decode}
	if more := s.Next(list, busy, d, true); len(more) != 0 {
		t.Errorf("further changes %v", more)
	}
	if more := s.Next(apply(list, changes), nil, d, true); len(more) != 0 {
		t.Errorf("changes after it %v", more)
	}
}

// A zone of three engines keeps one decode engine at any demand, without further changes.
func TestZonesKeepADecodeEngine(t *testing.T) {
	s := DefaultSettings()
	for _, loaded := range []bool{false, true} {
		for _, d := range []Demand{{PromptTokens: 1e6, OutputTokens: 1}, {PromptTokens: 1, OutputTokens: 1e6}} {
			list := engines(3, 15, 6)
			for range 30 {
				list = apply(list, s.Next(list, nil, d, loaded))
			}
			if _, zones := count(list, instances.Decode); len(zones) != 6 {
				t.Errorf("demand %v: decode engines by zone %v, want one in each of 6", d, zones)
			}
			if more := s.Next(list, nil, d, loaded); len(more) != 0 {
				t.Errorf("demand %v: further changes: %v", d, more)
			}
		}
	}
}

// In zones of two engines a decode engine per zone would take half of a small deployment,
// and prompts would queue.
func TestZonesOfTwoEnginesFollowTheDemandAlone(t *testing.T) {
	s := DefaultSettings()
	list := engines(7, 3, 5)
	if changes := s.Next(list, nil, Demand{PromptTokens: 200_000, OutputTokens: 8_000}, true); len(changes) != 0 {
		t.Errorf("changes %v", changes)
	}
}

// Two of four decode engines crash under load. Requests queue at the other two until
// replacements have changed, which takes three seconds: both are replaced at once, and
// further changes may start when an engine has finished its own.
func TestLostDecodeEnginesAreReplacedTogether(t *testing.T) {
	s := DefaultSettings()
	d := Demand{PromptTokens: 234_000, OutputTokens: 12_000}
	list := engines(14, 2, 4)
	if !s.DecodeShort(list, nil, d) {
		t.Fatal("two decode engines of sixteen are not reported as too few")
	}
	changes := s.Next(list, nil, d, true)
	if len(changes) != 2 {
		t.Fatalf("%d changes at once, want 2", len(changes))
	}
	busy := map[string]instances.Stage{}
	for _, c := range changes {
		busy[c.Engine.ID] = c.To
	}
	if s.DecodeShort(list, busy, d) || len(s.Next(list, busy, d, true)) != 0 {
		t.Error("changing engines are not counted")
	}
	twoDecode := engines(22, 2, 4)
	first := s.Next(twoDecode, nil, Demand{PromptTokens: 234_000, OutputTokens: 40_000}, true)
	busy = map[string]instances.Stage{}
	for _, c := range first {
		busy[c.Engine.ID] = c.To
	}
	if more := s.Next(apply(twoDecode, first), busy, Demand{PromptTokens: 234_000, OutputTokens: 40_000}, true); len(more) == 0 {
		t.Error("engines that have finished changing block further changes")
	}
}

// Long answers fill the decode engines' batches, which slows them down and fills them
// further: more engines change to decode at once than for a slow shift of the mix.
func TestFullDecodeBatchesAreRelievedQuickly(t *testing.T) {
	s := DefaultSettings()
	list := engines(9, 3, 3)
	for i := range list {
		list[i].Slots = 96
	}
	// 280 of 288 slots are used.
	d := Demand{PromptTokens: 297_000, OutputTokens: 380_000, DecodeSlots: 280, PrefillEngines: 1.2}
	if !s.DecodeShort(list, nil, d) {
		t.Fatal("decode engines whose batches are nearly full are not short")
	}
	changes := s.Next(list, nil, d, true)
	if len(changes) < 2 {
		t.Errorf("%d engines change to decode, want at least 2", len(changes))
	}
	for _, c := range changes {
		if c.To != instances.Decode {
			t.Errorf("engine changes to %v", c.To)
		}
	}
	d.DecodeSlots = 120
	if s.DecodeShort(list, nil, d) {
		t.Error("decode engines with half-empty batches are short")
	}
}

// An engine with 16 slots decodes a quarter of what one with 64 does.
func TestDecodeEnginesFollowTheirSlots(t *testing.T) {
	s := DefaultSettings()
	list := engines(112, 208, 6)
	for i := range list {
		list[i].Slots = 16
	}
	// 548 slots are used, those of 34 engines.
	d := Demand{PromptTokens: 2_600_000, OutputTokens: 122_000, DecodeSlots: 548}
	if got := s.Desired(list, d); got < 51 || got > 102 {
		t.Errorf("%d decode engines, want 1.5 to three times the 34 that the answers fill", got)
	}
	d.DecodeSlots = 0 // not measured yet
	if got := s.Desired(list, d); got < 68 {
		t.Errorf("%d decode engines before the slots are measured, want at least 68", got)
	}
}
