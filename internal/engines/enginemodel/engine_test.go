package enginemodel

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filberthook/internal/engines/engineapi"
)

const blockTokens = engineapi.KVBlockTokens

func testConfig() Config {
	cfg := DefaultConfig()
	cfg.KVBlocks = 10
	cfg.CacheEventLossEvery = 0
	cfg.Models = []engineapi.Model{{Name: "m", Version: "1", Adapters: []string{"a"}}}
	return cfg
}

func request(id string, prompt, output int) Request {
	return Request{ID: id, Model: "m", PromptTokens: prompt, OutputTokens: output}
}

// prefixes returns n chained hashes that differ between seeds.
func prefixes(seed uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = seed<<32 + uint64(i)
	}
	return out
}

// run steps the engine until it is idle and returns all events.
func run(t interface{ Fatalf(string, ...any) }, e *Engine, now time.Duration) ([]Event, time.Duration) {
	var all []Event
	for range 100_000 {
		events, end, busy := e.Step(now)
		all = append(all, events...)
		if !busy && end == now {
			return all, now
		}
		now = end
	}
	t.Fatalf("engine is not idle after 100000 steps")
	return nil, 0
}

func tokensOf(events []Event, id string) []int {
	var out []int
	for _, ev := range events {
		if ev.Request == id && ev.Kind == EventToken {
			out = append(out, ev.Token)
		}
	}
	return out
}

func count(events []Event, id string, kind EventKind) int {
	n := 0
	for _, ev := range events {
		if ev.Request == id && ev.Kind == kind {
			n++
		}
	}
	return n
}

func submit(t *testing.T, e *Engine, now time.Duration, r Request) {
	t.Helper()
	if err := e.Submit(now, r); err != nil {
		t.Fatalf("Submit: %v", err)
	}
}

func TestStepTimeGrowsWithBatchAndPrefill(t *testing.T) {
	e := New(testConfig())
	submit(t, e, 0, request("a", 1600, 3))
	_, end, busy := e.Step(0)
	if want := DefaultStepBase + 100*time.Millisecond; !busy || end != want {
		t.Errorf("prefill step ends at %v, busy %v; want %v", end, busy, want)
	}
	events, next, _ := e.Step(end)
	if want := DefaultStepBase + DefaultStepPerSequence; next-end != want {
		t.Errorf("decode step takes %v, want %v", next-end, want)
	}
	if diff := cmp.Diff([]int{1}, tokensOf(events, "a")); diff != "" {
		t.Errorf("tokens of the second step (-want +got):\n%s", diff)
	}
}

func TestResumeGeneratesOnlyRemainingTokens(t *testing.T) {
	e := New(testConfig())
	r := request("a", 100, 6)
	r.ResumeFrom = 4
	submit(t, e, 0, r)
	events, _ := run(t, e, 0)
	if diff := cmp.Diff([]int{4, 5}, tokensOf(events, "a")); diff != "" {
		t.Errorf("tokens (-want +got):\n%s", diff)
	}
}

func TestRefusals(t *testing.T) {
	onRole := func(r engineapi.Role) func(*Config) { return func(c *Config) { c.Role = r } }
	same := func(*Config) {}
	tests := []struct {
		name   string
		change func(*Config)
		req    Request
		want   RefusalReason
	}{
		{"other model", same, Request{ID: "x", Model: "n", PromptTokens: 1}, RefusedModel},
		{"other adapter", same, Request{ID: "x", Model: "m", Adapter: "b"}, RefusedAdapter},
		{"too large", same, request("x", 10*blockTokens, 1), RefusedTooLarge},
		{"whole on prefill", onRole(engineapi.RolePrefill), request("x", 10, 1), RefusedRole},
		{"whole on decode", onRole(engineapi.RoleDecode), request("x", 10, 1), RefusedRole},
		{"known id", same, request("first", 10, 1), RefusedDuplicate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			tt.change(&cfg)
			e := New(cfg)
			_ = e.Submit(0, request("first", 10, 1))
			err := e.Submit(0, tt.req)
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != tt.want {
				t.Fatalf("Submit = %v, want reason %s", err, tt.want)
			}
		})
	}
}

func TestPrefixCacheShortensPrefill(t *testing.T) {
	e := New(testConfig())
	first := request("a", 3*blockTokens, 1)
	first.Prefixes = prefixes(1, 3)
	submit(t, e, 0, first)
	_, now := run(t, e, 0)
	second := request("b", 3*blockTokens+10, 1)
	second.Prefixes = prefixes(1, 3)
	submit(t, e, now, second)
	events, _, _ := e.Step(now)
	if count(events, "b", EventPrefillDone) != 1 || events[0].CachedTokens != 3*blockTokens {
		t.Errorf("events of the first step: %+v, want the prompt done with %d cached tokens", events, 3*blockTokens)
	}
}

func TestUrgentRequestGoesFirstAndLeastUrgentPauses(t *testing.T) {
	cfg := testConfig()
	cfg.KVBlocks = 4
	e := New(cfg)
	low := request("low", 2*blockTokens-5, 200)
	low.Priority = 5
	high := request("high", 2*blockTokens-5, 200)
	submit(t, e, 0, low)
	submit(t, e, 0, high)
	events, _ := run(t, e, 0)
	if got := count(events, "low", EventPaused); got == 0 {
		t.Errorf("low was paused %d times, want at least once", got)
	}
	if got := count(events, "high", EventPaused); got != 0 {
		t.Errorf("high was paused %d times, want none", got)
	}
	for _, id := range []string{"low", "high"} {
		if got := len(tokensOf(events, id)); got != 200 {
			t.Errorf("%s got %d tokens, want 200", id, got)
		}
	}
}

func TestImportedCacheArrivesLater(t *testing.T) {
	cfg := testConfig()
	cfg.Role = engineapi.RoleDecode
	cfg.KVTransferTokensPerSecond = 1000
	e := New(cfg)
	r := request("a", 500, 2)
	r.ImportedTokens = 500
	submit(t, e, 0, r)
	_, end, busy := e.Step(0)
	if busy || end != 500*time.Millisecond {
		t.Fatalf("Step = %v, busy %v; want an idle engine until 500ms", end, busy)
	}
	events, _ := run(t, e, end)
	if diff := cmp.Diff([]int{0, 1}, tokensOf(events, "a")); diff != "" {
		t.Errorf("tokens (-want +got):\n%s", diff)
	}
}

func TestLoadReportLags(t *testing.T) {
	e := New(testConfig())
	submit(t, e, time.Second, request("a", 100, 400))
	if got := e.Load(time.Second + DefaultLoadReportLag/2).Queued; got != 0 {
		t.Errorf("queued half a lag later = %d, want 0", got)
	}
	if got := e.Load(time.Second + DefaultLoadReportLag).Queued; got != 1 {
		t.Errorf("queued one lag later = %d, want 1", got)
	}
}

func TestCacheEventsAreLateAndGapsGiveSnapshot(t *testing.T) {
	cfg := testConfig()
	cfg.CacheEventLossEvery = 3
	e := New(cfg)
	r := request("a", 4*blockTokens, 1)
	r.Prefixes = prefixes(1, 4)
	submit(t, e, 0, r)
	_, now := run(t, e, 0)
	page := e.CacheEvents(now, 3)
	if len(page.Events) != 0 || !page.Complete {
		t.Errorf("page before the lag: %+v, want it empty and complete", page)
	}
	page = e.CacheEvents(now+DefaultCacheEventLag, 0)
	if page.Complete || len(page.Snapshot) != 4 || page.Next != 4 {
		t.Errorf("page over a gap: %+v, want a snapshot of 4 prefixes", page)
	}
}

// TestRandomLoadCompletesEveryRequest draws random requests, cancels and batch limits
// and checks that each request gets each of its tokens once, in order, and that
// all memory is free in the end.
func TestRandomLoadCompletesEveryRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := testConfig()
		cfg.KVBlocks = rapid.IntRange(3, 12).Draw(rt, "pieces")
		cfg.MaxBatch = rapid.IntRange(1, 8).Draw(rt, "batch")
		e := New(cfg)
		var now time.Duration
		var events []Event
		output := make(map[string]int)
		for i := range rapid.IntRange(1, 20).Draw(rt, "requests") {
			r := request(fmt.Sprint(i), rapid.IntRange(1, 2*blockTokens+100).Draw(rt, "prompt"), rapid.IntRange(1, 300).Draw(rt, "output"))
			r.Priority = rapid.IntRange(0, 2).Draw(rt, "priority")
			r.Prefixes = prefixes(rapid.Uint64Range(0, 2).Draw(rt, "prefix"), r.PromptTokens/blockTokens)
			if err := e.Submit(now, r); err != nil {
				rt.Fatalf("Submit: %v", err)
			}
			output[r.ID] = r.OutputTokens
			if rapid.IntRange(0, 5).Draw(rt, "cancel") == 0 {
				e.Cancel(now, r.ID)
				delete(output, r.ID)
			}
			stepEvents, end, _ := e.Step(now)
			events, now = append(events, stepEvents...), end
		}
		rest, now := run(rt, e, now)
		events = append(events, rest...)
		for id, n := range output {
			got := tokensOf(events, id)
			for i, tok := range got {
				if tok != i {
					rt.Fatalf("request %s: token %d came as number %d", id, tok, i)
				}
			}
			if len(got) != n || count(events, id, EventFinished) != 1 {
				rt.Fatalf("request %s: %d tokens and %d ends, want %d and 1", id, len(got), count(events, id, EventFinished), n)
			}
		}
		if used := e.mem.used(); used != 0 {
			rt.Fatalf("%d KV blocks in use at %v with no request", used, now)
		}
	})
}

func TestAnswerIsDeterministicAndCapped(t *testing.T) {
	if got := OutputLength("m", "say [out=120] please", 0); got != 120 {
		t.Errorf("marked length = %d, want 120", got)
	}
	if got := OutputLength("m", "say [out=120] please", 7); got != 7 {
		t.Errorf("capped length = %d, want 7", got)
	}
	if diff := cmp.Diff(Expected("m", "p", 9), Expected("m", "p", 9)); diff != "" {
		t.Errorf("two answers differ:\n%s", diff)
	}
	if Token("m", "p", 1) == Token("m", "q", 1) {
		t.Error("answers to different prompts agree")
	}
	if got := CountTokens(" a  b\nc "); got != 3 {
		t.Errorf("CountTokens = %d, want 3", got)
	}
}

func BenchmarkStep(b *testing.B) {
	cfg := testConfig()
	cfg.KVBlocks = 1000
	e := New(cfg)
	var now time.Duration
	next := 0
	for b.Loop() {
		for len(e.requests) < 200 {
			next++
			if err := e.Submit(now, request(fmt.Sprint(next), 300, 100)); err != nil {
				b.Fatal(err)
			}
		}
		_, now, _ = e.Step(now)
	}
}
