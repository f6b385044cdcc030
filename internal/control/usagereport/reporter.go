package usagereport

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/duty"
	"filberthook/internal/process/boottime"
	"filberthook/internal/process/pause"
)

const (
	// reportInterval is how often windows are closed and reports sent.
	reportInterval = 200 * time.Millisecond
	// proposeTimeout bounds the agreement on a window.
	proposeTimeout = time.Second
	// firstRetry and maxRetry bound the pause after a call that failed, which doubles. A report
	// that is closed at the latest has 2 s until it is due, and calls are billed.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 4 * time.Second
	// maxUndelivered bounds the windows that wait for the platform. With more of them, windows
	// stay at the entry hosts.
	maxUndelivered = 2000
)

// Duty tells whether this host may make a call; *duty.Holder implements it.
type Duty interface {
	Hold(ctx context.Context) (duty.Call, bool)
}

// Reporter sends the reports while this host holds the duty.
type Reporter struct {
	Collector *Collector
	Ledger    func() *Ledger // of the open replica
	Duty      Duty
	Platform  duty.Platform
	// Propose appends a command of the Ledger to the replicated log, and returns once it is applied.
	Propose func(ctx context.Context, command []byte) error
	Logger  *slog.Logger
	Metrics *metrics.Set

	now       func() time.Duration // a clock that counts suspensions; Run sets it if it is nil
	delivered map[int64]bool       // taken by the platform, and not yet recorded as delivered
	retries   map[int64]retry      // by window
	paused    retry                // of all calls
}

// retry is when a failed call is made again.
type retry struct {
	at    time.Time
	delay time.Duration
}

// next returns the retry after another failure.
func (r retry) next(now time.Time) retry {
	delay := min(max(2*r.delay, firstRetry), maxRetry)
	return retry{now.Add(delay), delay}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	if r.now == nil {
		r.now = boottime.Now
	}
	r.Metrics.GetOrCreateGauge("filberthook_control_usage_undelivered", func() float64 { return float64(len(r.Ledger().Undelivered())) })
	r.delivered, r.retries = map[int64]bool{}, map[int64]retry{}
	for pause.For(ctx, reportInterval) {
		for closed := true; closed && ctx.Err() == nil; { // deliveries do not wait until all windows are caught up
			closed = r.closeWindow(ctx)
			r.deliver(ctx)
		}
	}
}

// closeWindow records the earliest window that is closed. It reports whether it did.
func (r *Reporter) closeWindow(ctx context.Context) bool {
	if _, _, ok := r.Collector.Next(r.Ledger().Last(), r.now()); !ok || len(r.Ledger().Undelivered()) >= maxUndelivered {
		return false
	}
	call, held := r.Duty.Hold(ctx) // the confirmation also brings the Ledger up to date
	if !held {
		return false
	}
	last := r.Ledger().Last()
	window, counts, ok := r.Collector.Next(last, r.now())
	if !ok {
		return false
	}
	now, _ := r.Collector.Now(r.now())
	age := now - r.Collector.endOf(window)
	err := r.propose(ctx, command{Window: window, Counts: counts})
	r.Logger.Info("usage window proposed", "window", window, "accounts", len(counts), "requests", sum(counts),
		"after_end_ms", age.Milliseconds(), "last", last, "fence", call.Fence, "err", err)
	return err == nil
}

// deliver sends the windows that the platform has not confirmed.
func (r *Reporter) deliver(ctx context.Context) {
	maps.DeleteFunc(r.delivered, func(w int64, _ bool) bool { _, ok := r.Ledger().Counts(w); return !ok })
	maps.DeleteFunc(r.retries, func(w int64, _ retry) bool { _, ok := r.Ledger().Counts(w); return !ok })
	for _, window := range r.Ledger().Undelivered() {
		if ctx.Err() != nil || time.Now().Before(r.paused.at) {
			return
		}
		if !r.delivered[window] {
			if time.Now().Before(r.retries[window].at) {
				continue
			}
			call, held := r.Duty.Hold(ctx)
			if !held {
				return
			}
			if !r.send(ctx, call, window) {
				continue
			}
			r.delivered[window] = true
			if now, ok := r.Collector.Now(r.now()); ok {
				r.Metrics.GetOrCreateHistogram("filberthook_control_usage_report_age_seconds").Update((now - r.Collector.endOf(window)).Seconds())
			}
		}
		if err := r.propose(ctx, command{Window: window, Delivered: true}); err != nil {
			r.Logger.Info("delivery of a usage window not recorded, trying again", "window", window, "err", err)
			return
		}
	}
}

// send sends the report of a window once. It returns true when the platform has taken it.
func (r *Reporter) send(ctx context.Context, call duty.Call, window int64) bool {
	counts, ok := r.Ledger().Counts(window)
	if !ok {
		return false // another holder has delivered it
	}
	start := time.Now()
	err := r.Platform.ReportUsage(ctx, call, window, counts)
	outcome := r.noteOutcome(window, err)
	r.Metrics.GetOrCreateCounter(`filberthook_control_usage_reports_total{outcome="` + outcome + `"}`).Inc()
	r.Logger.Info("usage report sent", "window", window, "accounts", len(counts), "requests", sum(counts), "fence", call.Fence,
		"outcome", outcome, "ms", time.Since(start).Milliseconds(), "err", err)
	return err == nil
}

// noteOutcome decides when the report of a window is sent again, and returns the outcome for the
// log. A refusal of one report, unlike other failures, does not delay those of other windows.
func (r *Reporter) noteOutcome(window int64, err error) string {
	var limited *duty.RateError
	var status *duty.StatusError
	var expired *duty.ExpiredError
	now := time.Now()
	switch {
	case err == nil:
		r.paused = retry{}
		return "taken"
	case errors.As(err, &limited):
		r.paused = retry{now.Add(max(limited.RetryAfter, firstRetry)), firstRetry}
		return "limited"
	case errors.As(err, &expired):
		return "expired"
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		r.retries[window] = r.retries[window].next(now)
		return "refused"
	default:
		r.paused = r.paused.next(now)
		return "unknown"
	}
}

func (r *Reporter) propose(ctx context.Context, c command) error {
	data, err := c.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return r.Propose(ctx, data)
}

func sum(counts map[string]int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return total
}
