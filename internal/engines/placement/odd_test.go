package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/dialect"
)

func TestInstanceThatIsNeverReachedStaysEjected(t *testing.T) {
	f := fleetOf(0, 2)
	p := promptWithPrefix("s", 0, 100)
	for range 40 {
		f.BeginPrompt("d1", "", p, 100, start) // the other engine is busy
	}
	for n := range 100 {
		now := start.Add(time.Duration(n) * maxEjection)
		sent := f.BeginPrompt("d0", "", p, 100, now)
		f.EndPrompt(sent, NoContact, now)
		for range 20 {
			plan, err := f.Place(p, now.Add(zoneAvoidance+firstEjection))
			if n >= 4 && (err != nil || plan.Decode.ID != "d1") {
				t.Fatalf("after %d failures in a row: %q, error %v; want the other engine", n+1, plan.Decode.ID, err)
			}
		}
	}
}

func TestPrefillRateThatNoEngineHasChangesNoEstimate(t *testing.T) {
	for _, rate := range []float64{1e9, math.MaxFloat64, math.Inf(1), math.NaN(), -1} {
		f := fleetOf(2, 2)
		want := f.typicalRate("lm")
		for range 2 * typicalSamples {
			f.ApplyUpdates([]CacheUpdate{{Instance: "p0", PrefillRate: rate}}, start)
		}
		if got := f.typicalRate("lm"); got != want {
			t.Errorf("after reports of a rate of %v engines count as reading %v tokens per ms, want %v", rate, got, want)
		}
	}
}

func TestPromptOfAnyLengthLeavesTheOthersTheirEngines(t *testing.T) {
	for _, tokens := range []int{math.MaxInt, 1 << 40} {
		f := fleetOf(2, 2)
		huge, p := promptWithPrefix("s", 0, 100), promptWithPrefix("t", 0, 100)
		huge.Tokens, huge.OutputTokens = tokens, tokens
		huge.PrefixBlocks = []dialect.PrefixBlock{{ID: "a", Tokens: tokens}, {ID: "b", Tokens: tokens}}
		_, _ = f.Place(huge, start) // may be refused
		sent := f.BeginPrompt("p0", "", huge, tokens, start)
		for id, backlog := range f.Loads() {
			if v := backlog.upTo(lowestPriority); !(v >= 0) {
				t.Errorf("%d tokens: a backlog of %v at %s", tokens, v, id)
			}
		}
		f.EndPrompt(sent, Canceled, start)
		for range 20 {
			mustPlace(t, f, p, start)
		}
		if d := f.Demand(start)["lm"]; !(d.PromptTokens >= 0 && d.OutputTokens >= 0) {
			t.Errorf("%d tokens: demand %+v", tokens, d)
		}
	}
}

func TestInstanceWithUnusualSlotsDrawsNoMoreThanTwoUsualOnes(t *testing.T) {
	f := New(DefaultSettings(), rand.New(rand.NewPCG(1, 2)).Float64, connectedToAll)
	list := []instances.Instance{{ID: "odd", Born: 1, Endpoint: "e", Address: "odd", Zone: "z", Slots: instances.MaxSlots}}
	for n := range 4 {
		list = append(list, instances.Instance{ID: fmt.Sprint("s", n), Born: 1, Endpoint: "e", Address: fmt.Sprint("s", n), Zone: "z", Slots: 6})
	}
	f.Update(&instances.Snapshot{Number: 1, ByEndpoint: map[string][]instances.Instance{"e": list}})
	sent := map[string]int{}
	const requests = 60
	for range requests {
		target, err := f.PlaceService("e", "z", nil, start)
		if err != nil {
			t.Fatal(err)
		}
		f.Begin(target.ID)
		sent[target.ID]++
	}
	if limit := requests * 2 / (len(list) + 1); sent["odd"] > limit+limit/10 {
		t.Errorf("%d of %d requests under way are at the instance with %d slots, want about %d: %v", sent["odd"], requests, instances.MaxSlots, limit, sent)
	}
}
