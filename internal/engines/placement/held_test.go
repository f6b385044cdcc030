package placement

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestNewsTellWhatEnginesHold(t *testing.T) {
	a, b := fleetOf(6, 2), fleetOf(6, 2)
	p := about("s", 13000, 3000)
	a.BeginPrompt("p3", "", p, 16000, start)
	news := a.News()
	if len(news) != 1 || news[0].Instance != "p3" || len(news[0].Keys) != 1 {
		t.Fatalf("news %+v", news)
	}
	b.SetHeld(news, start)
	if got := b.known["p3"].unread(p, chain(p.Model, p.Parts), after(100)); got != 3000 {
		t.Errorf("another host expects %d tokens to be read, want 3000", got)
	}
	if again := a.News(); len(again) != 0 {
		t.Errorf("news told twice: %v", again)
	}
	a.Untold(news)
	if again := a.News(); len(again) != 1 {
		t.Error("news that could not be told are lost")
	}
	if got := b.known["p3"].unread(p, chain(p.Model, p.Parts), after(60_000)); got != 16000 {
		t.Errorf("a minute later %d tokens are expected to be read, want all", got)
	}
}

func TestOtherHostsFetchOnlyWhatWasRead(t *testing.T) {
	a, b := fleetOf(6, 2), fleetOf(6, 2)
	p := about("s", 13000, 3000)
	r := a.BeginPrompt("p3", "", p, 16000, start)
	b.SetHeld(a.News(), start)
	for range 120 {
		b.BeginPrompt("p3", "", about("other", 0, 2700), 2700, after(800)) // others are less busy
	}
	if got := mustPlace(t, b, p, after(900)); got.Fetch != "" {
		t.Errorf("fetches from %s, which has not read the parts", got.Fetch)
	}
	a.PromptRead(r, after(1000))
	b.SetHeld(a.News(), after(1100))
	got := mustPlace(t, b, p, after(1100))
	if got.Read.ID == "p3" || got.Fetch != "p3" {
		t.Errorf("read at %s, fetches from %q, want another engine that fetches from p3", got.Read.ID, got.Fetch)
	}
}

func TestPartsAreFetchedOnlyOnceTheyAreRead(t *testing.T) {
	f := fleetOf(4, 2)
	p := about("s", 13000, 1000)
	first := mustPlace(t, f, p, start)
	r := f.BeginPrompt(first.Read.ID, "", p, first.Tokens, start)
	soon := start.Add(50 * time.Millisecond)
	excluded := about("s", 13000, 1000)
	excluded.Excluded = map[string]bool{first.Read.ID: true}
	if elsewhere := mustPlace(t, f, excluded, soon); elsewhere.Fetch != "" || elsewhere.Tokens != 14000 {
		t.Errorf("%d tokens to read, fetches from %q, which is still reading", elsewhere.Tokens, elsewhere.Fetch)
	}
	if second := mustPlace(t, f, p, soon); second.Read.ID != first.Read.ID || second.Fetch != "" {
		t.Errorf("the second prompt is read at %s and fetches from %q, want it at %s behind the first", second.Read.ID, second.Fetch, first.Read.ID)
	}
	f.PromptRead(r, start.Add(250*time.Millisecond))
	f.EndPrompt(r, Answered, start.Add(250*time.Millisecond))
	for range 400 {
		f.BeginPrompt(first.Read.ID, "", about("other", 0, 800), 800, start.Add(260*time.Millisecond))
	}
	later := mustPlace(t, f, p, start.Add(270*time.Millisecond))
	if later.Read.ID == first.Read.ID || later.Fetch == "" {
		t.Errorf("read at %s, fetches from %q: want another engine that fetches the parts", later.Read.ID, later.Fetch)
	}
}

func TestPartsOfAFailedPromptAreNotCountedOn(t *testing.T) {
	f := fleetOf(4, 2)
	p := about("s", 13000, 1000)
	first := mustPlace(t, f, p, start)
	r := f.BeginPrompt(first.Read.ID, "", p, first.Tokens, start)
	f.EndPrompt(r, NoContact, start.Add(200*time.Millisecond))
	if got := mustPlace(t, f, p, start.Add(300*time.Millisecond)); got.Tokens != 14000 || got.Fetch != "" {
		t.Errorf("%d tokens to read at %s, fetch from %q: want all 14000", got.Tokens, got.Read.ID, got.Fetch)
	}
}

func TestKeysAreTheSameAfterTheWire(t *testing.T) {
	want := []Held{{Instance: "i", Keys: Keys{1, 1 << 63, 42}, Read: Keys{7}, Rate: 50}, {Instance: "j", Rate: 1}}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got []Held
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, bad := range []string{`{"keys":"AAAA"}`, `{"keys":"*"}`, `{"keys":5}`} {
		var h Held
		if json.Unmarshal([]byte(bad), &h) == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}
