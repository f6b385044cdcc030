package forward

import (
	"context"
	"sync/atomic"
	"time"
)

// departure records when a request's caller was found to have left.
type departure struct {
	noticed atomic.Int64 // in Unix nanoseconds, 0 if it has not left
}

// watch records the end of a request's context until the returned function is called.
func (d *departure) watch(ctx context.Context) (stop func()) {
	end := context.AfterFunc(ctx, func() { d.noticed.Store(time.Now().UnixNano()) })
	return func() { end() }
}

// since returns how long ago the caller was found to have left.
func (d *departure) since(now time.Time) time.Duration {
	at := d.noticed.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, at))
}

// countDeparture updates the metrics of callers that left.
func (c *call) countDeparture(now time.Time) {
	if c.outcome != outcomeCallerLeft {
		return
	}
	sent := "no"
	if c.arrivals.any() {
		sent = "yes"
	}
	c.server.metrics.GetOrCreateCounter(`filberthook_entry_callers_left_total{sent="` + sent + `"}`).Inc()
	c.server.metrics.GetOrCreateHistogram("filberthook_entry_caller_left_seconds").Update(c.departure.since(now).Seconds())
}
