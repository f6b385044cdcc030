package logsink

import (
	"testing"
	"time"
)

func TestSamplerBoundsLinesAndTellsWhatIsLeftOut(t *testing.T) {
	s := NewSampler(10)
	start := time.Unix(1_800_000_000, 0)
	kept := 0
	for i := range 1000 {
		keep, leftOut := s.Allow(start.Add(time.Duration(i) * 500 * time.Microsecond))
		if keep {
			kept++
		}
		if leftOut != 0 {
			t.Fatalf("line %d is told of %d left out", i, leftOut)
		}
	}
	if kept != 10 {
		t.Errorf("%d lines in a second, want 10", kept)
	}
	keep, leftOut := s.Allow(start.Add(time.Second))
	if !keep || leftOut != 990 {
		t.Errorf("the next second: kept %v, %d left out, want true, 990", keep, leftOut)
	}
	if _, leftOut := s.Allow(start.Add(time.Second)); leftOut != 0 {
		t.Errorf("told twice: %d", leftOut)
	}
}
