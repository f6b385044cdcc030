package loadgen

import (
	"context"
	"time"

	"filberthook/internal/process/saturate"
)

// pacer schedules calls at a fixed rate (open loop). It does not slow down when
// calls take longer, so that a slow host shows in the latencies.
type pacer struct {
	start    time.Time
	interval time.Duration
	started  int64
}

// newPacer returns a pacer for rate calls per second; with 0 or less, calls are
// not delayed.
func newPacer(rate float64) *pacer {
	p := &pacer{start: time.Now()}
	if rate > 0 {
		p.interval = saturate.Nanoseconds(float64(time.Second) / rate)
	}
	return p
}

// wait blocks until the next call is due and reports false if ctx ended first.
func (p *pacer) wait(ctx context.Context) bool {
	due := p.start.Add(time.Duration(p.started) * p.interval)
	p.started++
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
