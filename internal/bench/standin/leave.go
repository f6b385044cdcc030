package standin

import (
	"context"
	"sync"
	"time"
)

// leavePoll is how often a leaving stand-in checks whether its work is done.
const leavePoll = 10 * time.Millisecond

// LeaveReport describes the new work that reached a stand-in after it began to leave.
type LeaveReport struct {
	Arrivals int           // requests that arrived while leaving
	Last     time.Duration // time from the start of leaving to the last of them
}

// leaveGate decides whether a stand-in accepts new work. A leaving stand-in accepts
// it for a grace period, because entry hosts learn of its leaving with a delay.
type leaveGate struct {
	grace time.Duration

	mu           sync.Mutex
	leavingSince time.Time // zero while the stand-in is not leaving
	report       LeaveReport
}

func (g *leaveGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leavingSince.IsZero() {
		g.leavingSince = time.Now()
	}
}

// cancel reverts leave.
func (g *leaveGate) cancel() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leavingSince = time.Time{}
	g.report = LeaveReport{}
}

func (g *leaveGate) leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leavingSince.IsZero()
}

// admit reports whether new work is accepted, and counts it as an arrival while leaving.
func (g *leaveGate) admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leavingSince.IsZero() {
		return true
	}
	since := time.Since(g.leavingSince)
	g.report.Arrivals++
	g.report.Last = since
	return since < g.grace
}

func (g *leaveGate) arrivals() LeaveReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report
}

// wait returns when the grace period is over and the work is done.
func (g *leaveGate) wait(ctx context.Context, idle func() bool) error {
	tick := time.NewTicker(leavePoll)
	defer tick.Stop()
	for {
		g.mu.Lock()
		over := time.Since(g.leavingSince) >= g.grace
		g.mu.Unlock()
		if over && idle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
