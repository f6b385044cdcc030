package logsink

import (
	"testing"
	"time"
)

func TestSamplerBoundsLinesAndCountsSuppressedOnes(t *testing.T) {
	s := NewSampler(10)
	start := time.Unix(1_800_000_000, 0)
	lines := 0
	for i := range 1000 {
		allowed, suppressed := s.Allow(start.Add(time.Duration(i) * 500 * time.Microsecond))
		if allowed {
			lines++
		}
		if suppressed != 0 {
			t.Fatalf("line %d reports %d suppressed lines, want 0", i, suppressed)
		}
	}
	if lines != 10 {
		t.Errorf("%d lines in a second, want 10", lines)
	}
	allowed, suppressed := s.Allow(start.Add(time.Second))
	if !allowed || suppressed != 990 {
		t.Errorf("the next second: allowed %v, %d suppressed, want true, 990", allowed, suppressed)
	}
	if _, suppressed := s.Allow(start.Add(time.Second)); suppressed != 0 {
		t.Errorf("suppressed lines are reported twice: %d", suppressed)
	}
}
