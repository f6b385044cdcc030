package placement

import (
	"math"
	"testing"
	"time"

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
