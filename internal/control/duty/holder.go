package duty

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/process/boottime"
	"filberthook/internal/process/loglimit"
	"filberthook/internal/process/pause"
)

// observeInterval is how often leadership is observed, so that the wait of a new holder
// begins soon after its election.
const observeInterval = 100 * time.Millisecond

// Group is the leadership of the control group.
type Group interface {
	// Leads returns the term of this host's leadership; ok is false when it does not lead.
	Leads() (term uint64, ok bool)
	// Confirm returns nil when a quorum agrees that this host still leads.
	Confirm(ctx context.Context) error
}

// Options configures a Holder.
type Options struct {
	Host  string
	Lease time.Duration // least time between the calls of two different holders
	Group Group
	// Now is a clock that counts suspensions of the machine; nil means boottime.Now.
	Now     func() time.Duration
	Logger  *slog.Logger
	Metrics *metrics.Set
}

// Holder tells whether this host holds the duties. Its methods may be called concurrently.
type Holder struct {
	options Options
	lines   loglimit.Limiter

	mu     sync.Mutex
	tenure tenure
}

// NewHolder returns a Holder. Run must be called next.
func NewHolder(o Options) *Holder {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	h := &Holder{options: o, tenure: tenure{wait: o.Lease + FlightTime}}
	o.Metrics.GetOrCreateGauge("filberthook_control_duty_fence", func() float64 { return float64(h.fence()) })
	return h
}

// Run observes leadership until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for pause.For(ctx, observeInterval) {
		h.observe()
	}
}

// Hold returns the right to make one call at once, after a quorum has confirmed that this
// host leads. It returns false when another host may hold the duties.
func (h *Holder) Hold(ctx context.Context) (Call, bool) {
	start := h.options.Now()
	before, ready := h.observe()
	if !ready {
		return Call{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := h.options.Group.Confirm(ctx); err != nil {
		h.options.Metrics.GetOrCreateCounter(`filberthook_control_duty_refusals_total{reason="unconfirmed"}`).Inc()
		if omitted, ok := h.lines.Allow("unconfirmed", time.Now()); ok {
			h.options.Logger.Warn("no call to the platform, leadership not confirmed", "fence", before, "err", err, "omitted", omitted)
		}
		return Call{}, false
	}
	if after, ready := h.observe(); !ready || after != before {
		return Call{}, false
	}
	call := Call{Holder: h.options.Host, Fence: before, window: &window{ends: start + sendWindow, now: h.options.Now}}
	return call, !call.Expired()
}

// observe records the current leadership. It returns its term, and whether its calls may begin.
func (h *Holder) observe() (term uint64, ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	term, leads := h.options.Group.Leads()
	now := h.options.Now()
	if h.tenure.observe(term, leads, now) {
		h.options.Logger.Info("leadership observed for duties", "leads", leads, "term", term, "wait_ms", h.tenure.wait.Milliseconds())
	}
	return h.tenure.term, h.tenure.ready(now)
}

// fence returns the token of the calls that this host may make, 0 if it may make none.
func (h *Holder) fence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.tenure.ready(h.options.Now()) {
		return 0
	}
	return h.tenure.term
}
