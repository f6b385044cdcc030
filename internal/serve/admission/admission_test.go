package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/class"
)

func newQueue(change func(*Config)) *Queue[int] {
	cfg := DefaultConfig()
	change(&cfg)
	return NewQueue[int](cfg, "m", metrics.NewSet())
}

func item(id, team string, class class.Class, at time.Duration) Item[int] {
	return Item[int]{ID: id, Team: team, Class: class, KVBlocks: 1, Arrived: at}
}

// dispatchOrder dispatches up to n requests and returns their IDs in order.
func dispatchOrder(q *Queue[int], now time.Duration, n int) []string {
	var ids []string
	q.Dispatch(now, func(i *Item[int]) bool {
		if len(ids) == n {
			return false
		}
		ids = append(ids, i.ID)
		return true
	})
	return ids
}

func TestDispatchOrder(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name  string
		items []Item[int]
		now   time.Duration
		want  []string
	}{
		{"urgent first", []Item[int]{item("a", "x", class.Lookup, 0), item("b", "x", class.Status, 0)}, 0, []string{"b", "a"}},
		{"arrival within a team", []Item[int]{item("a", "x", 1, 0), item("b", "x", 1, 0)}, 0, []string{"a", "b"}},
		{"ageing passes newer and more urgent work", []Item[int]{item("a", "x", class.Lookup, 0), item("b", "x", class.Check, 5*s)}, 5 * s, []string{"a", "b"}},
		{"ageing never passes urgent work", []Item[int]{item("a", "x", class.Lookup, 0), item("b", "x", class.Status, 90*s)}, 90 * s, []string{"b", "a"}},
		{"teams take turns", []Item[int]{item("a", "x", 1, 0), item("b", "x", 1, 0), item("c", "y", 1, 1)}, 1, []string{"a", "c", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(func(*Config) {})
			for _, i := range tt.items {
				if err := q.Push(i.Arrived, i); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(tt.want, dispatchOrder(q, tt.now, 10)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPlacesFollowTeamWeights(t *testing.T) {
	q := newQueue(func(c *Config) { c.Weights = []TeamWeight{{Team: "x", Weight: 3}} })
	for i := range 80 {
		for _, team := range []string{"x", "y"} {
			if err := q.Push(0, item(fmt.Sprintf("%s%02d", team, i), team, class.Summary, 0)); err != nil {
				t.Fatal(err)
			}
		}
	}
	x := 0
	for _, id := range dispatchOrder(q, 0, 80) {
		if id[0] == 'x' {
			x++
		}
	}
	if x < 58 || x > 62 {
		t.Errorf("team of weight 3 got %d of 80 places, want about 60", x)
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Config)
		second Item[int]
		want   RefusalReason
	}{
		{"queue full", func(c *Config) { c.MaxQueued = 1; c.MaxTeamShare = 2 }, item("b", "y", 1, 0), RefusedFull},
		{"team share", func(c *Config) { c.MaxQueued = 2 }, item("b", "x", 1, 0), RefusedShare},
		{"start time passed", func(*Config) {}, Item[int]{ID: "b", Team: "y", StartBy: 1}, RefusedDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(tt.change)
			if err := q.Push(0, item("a", "x", 1, 0)); err != nil {
				t.Fatal(err)
			}
			err := q.Push(time.Second, tt.second)
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != tt.want || refused.RetryAfter < minRetryAfter {
				t.Errorf("got %v, want %s with a time to retry after", err, tt.want)
			}
		})
	}
}

// TestPushRefusesUnreachableDeadline fills a queue that drains one KV block per
// second: a request that would start only after its latest start is refused on
// arrival.
func TestPushRefusesUnreachableDeadline(t *testing.T) {
	q := newQueue(func(*Config) {})
	for i := range 60 {
		if err := q.Push(0, item(fmt.Sprint(i), "x", 1, 0)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 40 {
		dispatchOrder(q, time.Duration(i+1)*time.Second, 1)
	}
	now := 40 * time.Second
	late := item("late", "y", 1, now)
	late.StartBy = now + 10*time.Second
	var refused *RefusedError
	if err := q.Push(now, late); !errors.As(err, &refused) || refused.Reason != RefusedDeadline {
		t.Fatalf("20 s of work ahead, latest start in 10 s: %v", err)
	}
	if refused.RetryAfter < 15*time.Second || refused.RetryAfter > 30*time.Second {
		t.Errorf("retry after %v, want about 20 s", refused.RetryAfter)
	}
	late.StartBy = now + time.Minute
	if err := q.Push(now, late); err != nil {
		t.Errorf("latest start in a minute: %v", err)
	}
}

func TestTooLate(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name                      string
		factor                    float64
		waited, predicted, target time.Duration
		want                      bool
	}{
		{"in time", 0.75, 100 * ms, 600 * ms, 1000 * ms, false},
		{"late", 0.75, 100 * ms, 700 * ms, 1000 * ms, true},
		{"off", 0, 100 * ms, 9000 * ms, 1000 * ms, false},
		{"no target", 0.75, 100 * ms, 9000 * ms, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := Config{LateFactor: tt.factor}
			if got := cfg.TooLate(tt.waited, tt.predicted, tt.target); got != tt.want {
				t.Errorf("TooLate = %v", got)
			}
		})
	}
}

func TestExpireAndCancelRemoveOnce(t *testing.T) {
	q := newQueue(func(*Config) {})
	a := item("a", "x", 1, 0)
	a.StartBy = time.Second
	if err := errors.Join(q.Push(0, a), q.Push(0, item("b", "x", 1, 0))); err != nil {
		t.Fatal(err)
	}
	if got := q.Expire(time.Second); len(got) != 0 {
		t.Errorf("expired %d at the latest start itself", len(got))
	}
	got := q.Expire(time.Second + 1)
	if len(got) != 1 || got[0].Item.ID != "a" || got[0].Err.Reason != RefusedDeadline {
		t.Errorf("expired %+v", got)
	}
	if !q.Cancel("b") || q.Cancel("b") || q.Len() != 0 {
		t.Error("cancel must remove a waiting request once")
	}
}

// TestLargeRequestReservesRoom places only small requests: they may overtake a
// large one until it has waited for ReserveAfter, so that it does not starve.
func TestLargeRequestReservesRoom(t *testing.T) {
	q := newQueue(func(c *Config) { c.ReserveAfter = tomltime.Of(5 * time.Second) })
	large := item("large", "x", 1, 0)
	large.KVBlocks = 10
	if err := errors.Join(q.Push(0, large), q.Push(1, item("s1", "y", 1, 1))); err != nil {
		t.Fatal(err)
	}
	small := func(i *Item[int]) bool { return i.KVBlocks == 1 }
	if got := q.Dispatch(time.Second, small); got != 1 {
		t.Errorf("placed %d before the reserve, want the one that fits", got)
	}
	if err := q.Push(2*time.Second, item("s2", "y", 1, 2*time.Second)); err != nil {
		t.Fatal(err)
	}
	if got := q.Dispatch(5*time.Second, small); got != 0 {
		t.Errorf("placed %d ahead of a request that has waited for ReserveAfter", got)
	}
}

func TestLengths(t *testing.T) {
	l := NewLengths(300)
	k := Key{"team", "summaries"}
	if got := l.Estimate(k, 0.8, 0, 0); got < 250 || got > 400 {
		t.Errorf("without history %d, want about the prior", got)
	}
	for i := range 2000 {
		l.Observe(k, 100+i%100)
	}
	if got := l.Estimate(k, 0.5, 0, 0); got < 120 || got > 185 {
		t.Errorf("median %d of lengths from 100 to 199", got)
	}
	if got := l.Estimate(k, 0.9, 0, 0); got < 175 || got > 260 {
		t.Errorf("0.9 quantile %d of lengths from 100 to 199", got)
	}
	if got := l.Mean(k); got < 145 || got > 160 {
		t.Errorf("mean %.0f of lengths from 100 to 199", got)
	}
	if got := l.Mean(Key{}); got != 300 {
		t.Errorf("mean %.0f without history, want the prior", got)
	}
	if got := l.Estimate(k, 0.9, 0, 128); got != 128 {
		t.Errorf("estimate %d above the cap 128", got)
	}
	if got := l.Estimate(k, 0.5, 500, 0); got <= 500 {
		t.Errorf("estimate %d for an answer that already has 500 tokens", got)
	}
}

// TestEveryRequestLeavesOnce pushes, dispatches and expires at random: each
// admitted request leaves exactly once and the queue ends empty.
func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := newQueue(func(c *Config) { c.MaxQueued = 20; c.MaxTeamShare = 0.6 })
		in, out := map[string]bool{}, map[string]int{}
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "op") {
			case 0, 1:
				i := item(fmt.Sprint(n), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "team"), class.Class(rapid.IntRange(0, 3).Draw(rt, "class")), now)
				i.StartBy = now + time.Duration(rapid.IntRange(1, 5).Draw(rt, "by"))*time.Second
				if q.Push(now, i) == nil {
					in[i.ID] = true
				}
			case 2:
				for _, id := range dispatchOrder(q, now, 2) {
					out[id]++
				}
			case 3:
				for _, e := range q.Expire(now) {
					out[e.Item.ID]++
				}
			}
			if q.Len() > 20 {
				rt.Fatalf("%d waiting, bound 20", q.Len())
			}
		}
		for _, e := range q.Expire(now + time.Hour) {
			out[e.Item.ID]++
		}
		for id := range in {
			if out[id] != 1 {
				rt.Fatalf("request %s left %d times", id, out[id])
			}
		}
		if q.Len() != 0 || len(out) != len(in) {
			rt.Fatalf("%d left, %d out, %d in", q.Len(), len(out), len(in))
		}
	})
}
