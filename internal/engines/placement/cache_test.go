package placement

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestCacheUpdatesReachOtherHosts(t *testing.T) {
	a, b := fleetOf(6, 2), fleetOf(6, 2)
	p := promptWithPrefix("s", 13000, 3000)
	a.BeginPrompt("p3", "", p, 16000, start)
	updates := a.TakeUpdates()
	if len(updates) != 1 || updates[0].Instance != "p3" || len(updates[0].PrefixKeys) != 1 {
		t.Fatalf("updates %+v", updates)
	}
	b.ApplyUpdates(updates, start)
	if got := b.byID["p3"].prefillTokens(p, prefixKeys(p.Model, p.PrefixBlocks), after(100)); got != 3000 {
		t.Errorf("another host expects a prefill of %d tokens, want 3000", got)
	}
	if again := a.TakeUpdates(); len(again) != 0 {
		t.Errorf("updates returned twice: %v", again)
	}
	a.RequeueUpdates(updates)
	if again := a.TakeUpdates(); len(again) != 1 {
		t.Error("requeued updates are lost")
	}
	if got := b.byID["p3"].prefillTokens(p, prefixKeys(p.Model, p.PrefixBlocks), after(60_000)); got != 16000 {
		t.Errorf("a minute later a prefill of %d tokens is expected, want all 16000", got)
	}
}

// Another host may fetch blocks once their prefill is reported, not when the prompt was
// sent: under load its prefill may be queued for a second.
func TestOtherHostsFetchOnlyPrefilledBlocks(t *testing.T) {
	a, b := fleetOf(6, 2), fleetOf(6, 2)
	p := promptWithPrefix("s", 13000, 3000)
	r := a.BeginPrompt("p3", "", p, 16000, start)
	b.ApplyUpdates(a.TakeUpdates(), start)
	for range 120 {
		b.BeginPrompt("p3", "", promptWithPrefix("other", 0, 2700), 2700, after(800)) // others are less busy
	}
	if got := mustPlace(t, b, p, after(900)); got.FetchFrom != "" {
		t.Errorf("fetches from %s, which has not finished the prefill", got.FetchFrom)
	}
	a.PrefillDone(r, after(1000))
	b.ApplyUpdates(a.TakeUpdates(), after(1100))
	got := mustPlace(t, b, p, after(1100))
	if got.Prefill.ID == "p3" || got.FetchFrom != "p3" {
		t.Errorf("prefill at %s, fetches from %q, want another engine that fetches from p3", got.Prefill.ID, got.FetchFrom)
	}
}

// Many prompts share a prefix that no engine has cached. Before the first prefill is done
// a fetch would return nothing, so the other prompts must queue behind it: elsewhere the
// whole prefix would be computed again.
func TestBlocksAreFetchedOnlyAfterPrefill(t *testing.T) {
	f := fleetOf(4, 2)
	p := promptWithPrefix("s", 13000, 1000)
	first := mustPlace(t, f, p, start)
	r := f.BeginPrompt(first.Prefill.ID, "", p, first.PrefillTokens, start)
	soon := start.Add(50 * time.Millisecond)
	excluded := promptWithPrefix("s", 13000, 1000)
	excluded.Excluded = map[string]bool{first.Prefill.ID: true}
	if elsewhere := mustPlace(t, f, excluded, soon); elsewhere.FetchFrom != "" || elsewhere.PrefillTokens != 14000 {
		t.Errorf("prefill of %d tokens, fetches from %q, which is still computing them", elsewhere.PrefillTokens, elsewhere.FetchFrom)
	}
	if second := mustPlace(t, f, p, soon); second.Prefill.ID != first.Prefill.ID || second.FetchFrom != "" {
		t.Errorf("prefill of the second prompt at %s, fetches from %q, want it at %s behind the first", second.Prefill.ID, second.FetchFrom, first.Prefill.ID)
	}
	f.PrefillDone(r, start.Add(250*time.Millisecond))
	f.EndPrompt(r, Answered, start.Add(250*time.Millisecond))
	for range 400 {
		f.BeginPrompt(first.Prefill.ID, "", promptWithPrefix("other", 0, 800), 800, start.Add(260*time.Millisecond))
	}
	later := mustPlace(t, f, p, start.Add(270*time.Millisecond))
	if later.Prefill.ID == first.Prefill.ID || later.FetchFrom == "" {
		t.Errorf("prefill at %s, fetches from %q: want another engine that fetches the blocks", later.Prefill.ID, later.FetchFrom)
	}
}

// An engine that could not be reached has nothing cached.
func TestBlocksOfAFailedPromptAreNotCached(t *testing.T) {
	f := fleetOf(4, 2)
	p := promptWithPrefix("s", 13000, 1000)
	first := mustPlace(t, f, p, start)
	r := f.BeginPrompt(first.Prefill.ID, "", p, first.PrefillTokens, start)
	f.EndPrompt(r, NoContact, start.Add(200*time.Millisecond))
	if got := mustPlace(t, f, p, start.Add(300*time.Millisecond)); got.PrefillTokens != 14000 || got.FetchFrom != "" {
		t.Errorf("prefill of %d tokens at %s, fetches from %q: want all 14000", got.PrefillTokens, got.Prefill.ID, got.FetchFrom)
	}
}

func TestCacheUpdateJSONRoundTrip(t *testing.T) {
	want := []CacheUpdate{{Instance: "i", PrefixKeys: PrefixKeys{1, 1 << 63, 42}, Prefilled: PrefixKeys{7}, PrefillRate: 50}, {Instance: "j", PrefillRate: 1}}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got []CacheUpdate
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, bad := range []string{`{"keys":"AAAA"}`, `{"keys":"*"}`, `{"keys":5}`} {
		var h CacheUpdate
		if json.Unmarshal([]byte(bad), &h) == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
