package membudget

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	kb = 1 << 10
	mb = 1 << 20
)

var start = time.Unix(1000, 0)

func mustGrow(t *testing.T, h *Hold, n int64, at time.Time) {
	t.Helper()
	if err := h.Grow(n, at); err != nil {
		t.Fatal(err)
	}
}

// Guards against large requests that leave nothing to small ones and to answers.
func TestLargeRequestsLeaveRoomForSmallOnesAndAnswers(t *testing.T) {
	b := New(16 * mb) // 2 MB for small ones, 1 MB for answers
	large := b.OpenRequest(start, func() { t.Error("evicted while it made progress") })
	mustGrow(t, large, 13*mb, start)
	if err := large.Grow(1, start); err == nil {
		t.Error("a large request uses what is reserved")
	}
	answer := b.OpenAnswer()
	mustGrow(t, answer, mb, start)
	if err := answer.Grow(1, start); err == nil {
		t.Error("a large answer uses what is reserved for small ones")
	}
	for range 2 * mb / SmallBytes {
		mustGrow(t, b.OpenRequest(start, func() {}), SmallBytes, start)
	}
	var full *ExhaustedError
	if err := b.OpenAnswer().Grow(1, start); !errors.As(err, &full) || full.Soon {
		t.Errorf("a full budget gave %v", err)
	}
}

// Guards against a cut of a request that makes progress, or is complete, in place of a stalled one.
func TestLongestStalledRequestIsEvicted(t *testing.T) {
	b := New(16 * mb)
	var cut []string
	open := func(name string) *Hold {
		h := b.OpenRequest(start, func() { cut = append(cut, name) })
		mustGrow(t, h, 4*mb, start)
		return h
	}
	whole, stalled, moving := open("whole"), open("stalled"), open("moving")
	whole.Complete()
	later := start.Add(MinStall)
	stalled.Progress(1, later) // a byte is no progress
	moving.Progress(progressBytes, later)
	next := b.OpenRequest(later, func() {})
	if err := next.Grow(4*mb, later.Add(-1)); err == nil || len(cut) > 0 {
		t.Fatalf("cut %q before its time, error %v", cut, err)
	}
	var full *ExhaustedError
	if err := next.Grow(4*mb, later); !errors.As(err, &full) || !full.Soon || len(cut) != 1 || cut[0] != "stalled" {
		t.Fatalf("cut %q, error %v; want the stalled one and memory soon", cut, err)
	}
	if err := next.Grow(4*mb, later); !errors.As(err, &full) || !full.Soon || len(cut) != 1 {
		t.Fatalf("cut %q, error %v; want no second cut for the same memory", cut, err)
	}
	var evicted *EvictedError
	if err := stalled.Grow(1, later); !errors.As(err, &evicted) {
		t.Errorf("an evicted request grew: %v", err)
	}
	stalled.Release()
	stalled.Release()
	mustGrow(t, next, 4*mb, later)
}

// Guards against memory that is lost or counted twice on some path.
func TestEverythingIsReleased(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := New(4 * mb)
		now := start
		var holds []*Hold
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			switch n := rng.IntN(6); {
			case n == 0 || len(holds) == 0:
				holds = append(holds, b.OpenRequest(now, func() {}))
			case n == 1:
				holds = append(holds, b.OpenAnswer())
			case n == 2:
				holds[rng.IntN(len(holds))].Complete()
			case n == 3:
				holds[rng.IntN(len(holds))].Progress(20*kb, now)
			case n == 4:
				i := rng.IntN(len(holds))
				holds[i].Release()
				holds = append(holds[:i], holds[i+1:]...)
			default:
				_ = holds[rng.IntN(len(holds))].Grow(rng.Int64N(mb), now) // may be full
			}
			var sum int64
			for _, h := range holds {
				sum += h.bytes
			}
			if s := b.Stats(); s.Used != sum || s.Used > s.Total || b.evicting < 0 {
				t.Fatalf("seed %d: %d bytes used, holds have %d, evicting %d", seed, s.Used, sum, b.evicting)
			}
		}
		for _, h := range holds {
			h.Release()
		}
		if s := b.Stats(); s.Used != 0 || b.evicting != 0 || b.incomplete.Len() != 0 {
			t.Fatalf("seed %d: %d bytes, %d evicting and %d holds are left", seed, s.Used, b.evicting, b.incomplete.Len())
		}
	}
}

// Guards against hosts on which a body of the largest size of the usual limits does not fit.
func TestSmallestHostServesTheLargestBody(t *testing.T) {
	for _, memory := range []int{0, 144, 184, 280, 424} {
		b := ForMemory(memory)
		mustGrow(t, b.OpenRequest(start, func() {}), 4<<20, start)
		if limited := b.Limited(); limited != (memory > 0) {
			t.Errorf("memory of %d MB: limited %v", memory, limited)
		}
		if b.Limited() && b.total >= int64(memory)<<20 {
			t.Errorf("memory of %d MB: a budget of %d bytes", memory, b.total)
		}
	}
}
