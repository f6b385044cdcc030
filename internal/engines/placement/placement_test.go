package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/dialect"
)

var start = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// connectedToAll reports an open connection to every address.
func connectedToAll(string) bool { return true }

// fleetOf returns a Fleet with prefill engines p0.. and decode engines d0.. .
func fleetOf(prefill, decode int) *Fleet {
	f := New(DefaultSettings(), rand.New(rand.NewPCG(1, 2)).Float64, connectedToAll)
	var list []instances.Instance
	add := func(name string, n int, stage instances.Stage) {
		for i := range n {
			list = append(list, instances.Instance{
				ID: fmt.Sprint(name, i), Born: start.UnixMilli(), Endpoint: "lm", Address: fmt.Sprint(name, i), Zone: fmt.Sprint("z", i%4),
				Slots: 64, Stage: stage, Models: []instances.Model{{Name: "m"}},
			})
		}
	}
	add("p", prefill, instances.Prefill)
	add("d", decode, instances.Decode)
	f.Update(&instances.Snapshot{Number: 1, ByEndpoint: map[string][]instances.Instance{"lm": list}})
	return f
}

// promptWithPrefix returns a prompt with a shared prefix block and tokens of its own.
func promptWithPrefix(prefix string, shared, own int) *Prompt {
	return &Prompt{
		Endpoint: "lm", Model: "m", Tokens: shared + own, Goal: 600 * time.Millisecond, TimeLeft: 2400 * time.Millisecond,
		PrefixBlocks: []dialect.PrefixBlock{{ID: prefix, Tokens: shared}, {ID: "own", Tokens: own}},
	}
}

func mustPlace(t *testing.T, f *Fleet, p *Prompt, now time.Time) Plan {
	t.Helper()
	plan, err := f.Place(p, now)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func prefillEngine(plan Plan) string {
	if plan.Prefill != nil {
		return plan.Prefill.ID
	}
	return plan.Decode.ID
}

func TestHostsAgreeOnAffinityEngine(t *testing.T) {
	one, two := fleetOf(10, 4), fleetOf(10, 4)
	used := map[string]bool{}
	for i := range 60 {
		p := promptWithPrefix(fmt.Sprint("subject", i), 13000, 3000)
		a, b := prefillEngine(mustPlace(t, one, p, start)), prefillEngine(mustPlace(t, two, p, start))
		if a != b {
			t.Errorf("prefix %d: prefill at %s by one host and at %s by another", i, a, b)
		}
		used[a] = true
	}
	if len(used) < 8 {
		t.Errorf("60 prefixes have %d of 10 engines as affinity engines, want at least 8", len(used))
	}
}

func TestLongPromptsAreNotPrefilledByDecodeEngines(t *testing.T) {
	f := fleetOf(3, 4)
	for i := range 200 {
		p := promptWithPrefix(fmt.Sprint("subject", i%20), 13000, 3000)
		plan, err := f.Place(p, after(i))
		if errors.As(err, new(*HopelessError)) {
			continue // refused rather than prefilled by a decode engine
		}
		if err != nil {
			t.Fatal(err)
		}
		if plan.Prefill == nil {
			t.Fatalf("prompt %d of %d tokens is prefilled by a decode engine", i, p.Tokens)
		}
		f.BeginPrompt(plan.Prefill.ID, "", p, plan.PrefillTokens, after(i))
	}
	if plan := mustPlace(t, fleetOf(0, 3), promptWithPrefix("s", 13000, 3000), start); plan.Prefill != nil || plan.Decode.ID == "" {
		t.Errorf("plan without prefill engines: %+v", plan)
	}
}

func TestBusyAffinityEngineIsReplacedByOneThatFetches(t *testing.T) {
	f := fleetOf(10, 4)
	p := promptWithPrefix("s", 13000, 3000)
	affinity := mustPlace(t, f, p, start)
	r := f.BeginPrompt(affinity.Prefill.ID, "", p, affinity.PrefillTokens, start)
	f.PrefillDone(r, after(300))
	f.EndPrompt(r, Answered, after(300))
	again := mustPlace(t, f, p, after(400))
	if prefillEngine(again) != prefillEngine(affinity) || again.PrefillTokens != 3000 {
		t.Fatalf("the cached prefix is computed again: %d tokens at %s", again.PrefillTokens, prefillEngine(again))
	}
	f.SetPeerLoads(map[string]Backlog{affinity.Prefill.ID: {0: 100_000}}, after(400))
	moved := mustPlace(t, f, p, after(400))
	if prefillEngine(moved) == prefillEngine(affinity) {
		t.Fatal("placed at the affinity engine, behind 100,000 tokens of other hosts")
	}
	if moved.FetchFrom != affinity.Prefill.Address || moved.PrefillTokens != 3000 {
		t.Errorf("prefill of %d tokens with source %q, want the shared prefix fetched from the affinity engine", moved.PrefillTokens, moved.FetchFrom)
	}
}

func TestHopelessErrorHasRetryAfter(t *testing.T) {
	f := fleetOf(1, 1)
	p := promptWithPrefix("s", 0, 3000)
	if _, err := f.Place(p, start); err != nil {
		t.Fatalf("refused with an idle engine: %v", err)
	}
	f.SetPeerLoads(map[string]Backlog{"p0": {0: 500_000}, "d0": {0: 500_000}}, start)
	_, err := f.Place(p, start)
	var hopeless *HopelessError
	if !errors.As(err, &hopeless) || hopeless.RetryAfter() <= 0 {
		t.Fatalf("got %v, want a HopelessError with a time to return", err)
	}
	// After that time the queue is short enough.
	left := 500_000 - hopeless.RetryAfter().Seconds()*1000*f.settings.PrefillRate
	f.SetPeerLoads(map[string]Backlog{"p0": {0: left}, "d0": {0: left}}, after(5000))
	if _, err := f.Place(p, after(5000)); err != nil {
		t.Errorf("refused again after the time in RetryAfter: %v", err)
	}
}

func TestNoDecodeEngineIsNoInstanceError(t *testing.T) {
	f := fleetOf(2, 0)
	_, err := f.Place(promptWithPrefix("s", 0, 10), start)
	var none *NoInstanceError
	if !errors.As(err, &none) || none.Known != 2 {
		t.Errorf("got %v, want a NoInstanceError of 2 engines", err)
	}
}

func TestEjectedInstanceIsRetriedLater(t *testing.T) {
	f := fleetOf(0, 2)
	p := promptWithPrefix("s", 0, 100)
	chosen := mustPlace(t, f, p, start).Decode.ID
	r := f.BeginPrompt(chosen, "", p, 100, start)
	f.EndPrompt(r, NoContact, start)
	used := func(ms int) bool {
		for range 50 {
			if mustPlace(t, f, p, after(ms)).Decode.ID == chosen {
				return true
			}
		}
		return false
	}
	if used(100) {
		t.Error("an unreachable engine is used again at once")
	}
	if !used(60_000) {
		t.Error("an unreachable engine is not used again a minute later")
	}
}

func TestEjectedInstanceIsUsedWhenThereIsNoOther(t *testing.T) {
	f := fleetOf(0, 1)
	p := promptWithPrefix("s", 0, 100)
	r := f.BeginPrompt("d0", "", p, 100, start)
	f.EndPrompt(r, NoContact, start)
	if got := mustPlace(t, f, p, after(1)).Decode.ID; got != "d0" {
		t.Errorf("placed at %q", got)
	}
}

func serviceFleet(n int) *Fleet {
	f := New(DefaultSettings(), rand.New(rand.NewPCG(3, 4)).Float64, connectedToAll)
	var list []instances.Instance
	for i := range n {
		list = append(list, instances.Instance{ID: fmt.Sprint("s", i), Born: 1, Endpoint: "b", Zone: fmt.Sprint("z", i), Slots: 6})
	}
	f.Update(&instances.Snapshot{Number: 1, ByEndpoint: map[string][]instances.Instance{"b": list}})
	return f
}

// One of four instances of a plain service fails 40% of its calls, or takes eight times
// as long, while it announces itself as ready.
func TestFailingAndSlowInstancesGetFewCalls(t *testing.T) {
	tests := []struct {
		name string
		end  func(random *rand.Rand) (Outcome, time.Duration)
	}{
		{"fails", func(r *rand.Rand) (Outcome, time.Duration) {
			if r.Float64() < 0.4 {
				return Failed, 5 * time.Millisecond
			}
			return Answered, 30 * time.Millisecond
		}},
		{"slow", func(*rand.Rand) (Outcome, time.Duration) { return Answered, 240 * time.Millisecond }},
	}
	for _, tt := range tests {
		f := serviceFleet(4)
		random := rand.New(rand.NewPCG(5, 6))
		bad := 0
		const calls = 2000
		for i := range calls {
			now := after(i * 25)
			target, err := f.PlaceService("b", fmt.Sprint("z", i%4), nil, now)
			if err != nil {
				t.Fatal(err)
			}
			f.Begin(target.ID)
			if target.ID == "s0" {
				bad++
				o, took := tt.end(random)
				f.End(target.ID, o, took, now.Add(took))
			} else {
				f.End(target.ID, Answered, 30*time.Millisecond, now.Add(30*time.Millisecond))
			}
		}
		if bad > calls/8 {
			t.Errorf("%s: the bad instance got %d of %d calls, want less than half of its share", tt.name, bad, calls)
		}
	}
}

func TestServiceCallsPreferTheirZone(t *testing.T) {
	f := serviceFleet(4)
	local := 0
	for i := range 200 {
		now := after(i * 50)
		target, err := f.PlaceService("b", "z2", nil, now)
		if err != nil {
			t.Fatal(err)
		}
		if target.ID == "s2" {
			local++
		}
		f.Begin(target.ID)
		f.End(target.ID, Answered, 30*time.Millisecond, now)
	}
	if local < 180 {
		t.Errorf("%d of 200 calls stayed in their zone", local)
	}
}

// A host that starts while engines have been up for long assumes that the affinity engines
// have their prefixes cached, as the hosts before it sent prompts there. When the engines
// have just started, it assumes nothing.
func TestStartingHostAssumesWarmAffinityEngines(t *testing.T) {
	p := promptWithPrefix("s", 13000, 3000)
	if plan := mustPlace(t, fleetOf(10, 4), p, start); plan.PrefillTokens != 16000 {
		t.Errorf("prefill of %d tokens at engines that have just started, want 16000", plan.PrefillTokens)
	}
	old := fleetOf(10, 4)
	if plan := mustPlace(t, old, p, after(60_000)); plan.PrefillTokens != 3000 {
		t.Errorf("prefill of %d tokens at engines that have been up for long, want 3000", plan.PrefillTokens)
	}
	if plan := mustPlace(t, old, promptWithPrefix("other", 13000, 3000), after(90_000)); plan.PrefillTokens != 16000 {
		t.Errorf("prefill of %d tokens for a prefix without recent prompts, want 16000", plan.PrefillTokens)
	}
}

// When the path to a zone is down, the host must not time out at each of its instances.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	f := serviceFleet(4)
	for range zoneFailureThreshold {
		f.Begin("s1")
		f.End("s1", NoContact, time.Millisecond, start)
	}
	f.mu.Lock()
	avoided, other := f.avoidsZone("z1", after(100)), f.avoidsZone("z2", after(100))
	again := f.avoidsZone("z1", after(100+int(zoneAvoidance/time.Millisecond)))
	f.mu.Unlock()
	if !avoided || other || again {
		t.Errorf("zone avoided %v, another one %v, after zoneAvoidance %v; want true, false, false", avoided, other, again)
	}
	f.Begin("s1")
	f.End("s1", Answered, time.Millisecond, after(100))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.avoidsZone("z1", after(101)) {
		t.Error("the zone is avoided after an answer from it")
	}
}

func TestEstimatesAreCorrectedByObservedLatency(t *testing.T) {
	f := fleetOf(1, 1)
	p := promptWithPrefix("s", 0, 3000)
	before := mustPlace(t, f, p, start).ExpectedTTFT
	for i := range 60 {
		now := after(i * 1000)
		r := f.BeginPrompt("p0", "", p, 3000, now)
		took := time.Duration(3 * r.expectedMs * float64(time.Millisecond))
		f.PrefillDone(r, now.Add(took))
		f.EndPrompt(r, Answered, now.Add(took))
	}
	if got := mustPlace(t, f, p, after(120_000)).ExpectedTTFT; got < 2*before {
		t.Errorf("TTFT estimate %v after prompts took three times as long, before %v", got, before)
	}
}

// Prompts are refused when the queue exceeds twice the goal, whatever their own length.
func TestQueueLimitIgnoresPromptLength(t *testing.T) {
	for _, own := range []int{500, 20_000} {
		f := fleetOf(1, 1)
		p := promptWithPrefix("s", 0, own)
		p.TimeLeft = time.Minute
		if _, err := f.Place(p, start); err != nil {
			t.Errorf("%d tokens refused by an idle engine: %v", own, err)
		}
		f.SetPeerLoads(map[string]Backlog{"p0": {0: 90_000}, "d0": {0: 90_000}}, start)
		var hopeless *HopelessError
		if _, err := f.Place(p, start); !errors.As(err, &hopeless) {
			t.Errorf("%d tokens behind a queue of more than twice the goal: %v", own, err)
		}
	}
}

func TestPrefillRateIsTheHighestRecentObservation(t *testing.T) {
	f := fleetOf(2, 1)
	in := f.byID["p0"]
	for _, ms := range []float64{100, 140, 100, 400, 125, 110, 300, 104} {
		f.recordPrefillRate(in, 4000, ms)
	}
	if got := f.prefillRate(in); got != 40 {
		t.Errorf("rate %v, want 40", got)
	}
	f.recordPrefillRate(in, 4000, 10) // as if its prefix was cached
	if got := f.prefillRate(in); got != 40 {
		t.Errorf("rate %v after a prompt with cached blocks, want 40", got)
	}
	other := fleetOf(2, 1)
	for range rateSamples {
		other.ApplyUpdates([]CacheUpdate{{Instance: "p0", PrefillRate: 40}}, start)
	}
	if got := other.prefillRate(other.byID["p0"]); got != 40 {
		t.Errorf("another host's rate %v, want 40", got)
	}
}

// An engine that this host has not used yet is taken to be as fast as the others of its
// endpoint.
func TestRateOfAnUnusedEngineIsTheTypicalOne(t *testing.T) {
	f := fleetOf(3, 1)
	for n := range typicalSamples {
		f.recordPrefillRate(f.byID[[]string{"p0", "p1"}[n%2]], 4000, 4000/40.0)
	}
	for _, id := range []string{"p0", "p2"} {
		if got := f.prefillRate(f.byID[id]); got != 40 {
			t.Errorf("rate of %s %v, want 40", id, got)
		}
	}
}

// The slots that answers take follow from their tokens and from the pace of those that
// have ended, so that they are known when a burst of long answers begins.
func TestDecodeSlotsFollowThePaceOfAnswers(t *testing.T) {
	f := fleetOf(1, 1)
	p := &Prompt{Endpoint: "lm", Tokens: 200, OutputTokens: 1000}
	now := start
	for range 100 { // ten a second, each takes two seconds: 20 slots
		f.countDemand(p, now)
		r := f.BeginPrompt("d0", "", p, 200, now)
		f.EndPrompt(r, Answered, now.Add(2*time.Second))
		now = now.Add(100 * time.Millisecond)
	}
	if got := f.Demand(now)["lm"].DecodeSlots; got < 18 || got > 22 {
		t.Errorf("%v decode slots, want about 20", got)
	}
	for range 60 { // twice as many
		f.countDemand(p, now)
		f.countDemand(p, now)
		now = now.Add(100 * time.Millisecond)
	}
	if got := f.Demand(now)["lm"].DecodeSlots; got < 30 {
		t.Errorf("%v decode slots 6 s after the demand has doubled, before any of it has ended; want at least 30", got)
	}
}
