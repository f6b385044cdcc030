// Package stagereconciler sends engines the stage changes that package staging decides
// on. Only the leader of the control group sends orders. The fencing number is the term
// of its leadership, which is unique to one host.
//
// Not every engine checks fencing numbers. A new leader therefore sends no order until the
// previous leader's orders can no longer arrive, and a leader confirms its leadership
// with a quorum before each order.
package stagereconciler

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/staging"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/saturate"
)

// Timing of orders.
const (
	// reconcileInterval is the time between two comparisons of actual and desired stages.
	reconcileInterval = 500 * time.Millisecond
	// confirmTimeout bounds the leadership confirmation and the order that follows it.
	confirmTimeout = 300 * time.Millisecond
	// orderFlightTime is an upper bound on an order's delivery time. A new leader waits
	// for the lease plus this time before its first order.
	orderFlightTime = 1500 * time.Millisecond
	// minDueLoaded is how long a change must be due under load before it is made: longer
	// than a swing between prompt and output load, or the restart of an engine.
	minDueLoaded = 5 * time.Second
	// minDueShort replaces minDueLoaded while decode engines are short. It can be
	// short because engines count as lost only after seconds without heartbeats, and the
	// measured use of decode slots is an average over seconds.
	minDueShort = time.Second
	// orderHoldOff is the time after an order in which the engine gets no other one: an
	// unanswered order may be executed seconds later.
	orderHoldOff = 15 * time.Second
)

// Group is the leadership of the control group.
type Group interface {
	// Leads returns the term of this host's leadership; ok is false when it does not lead.
	Leads() (term uint64, ok bool)
	// Confirm returns nil when a quorum agrees that this host still leads.
	Confirm(ctx context.Context) error
}

// Order is an order to one engine.
type Order struct {
	Engine instances.Instance
	Stage  instances.Stage
	Holder string // host that sends the order
	Fence  uint64
}

// Engines sends orders to engines.
type Engines interface {
	// SetStage reports whether the engine accepted the order, and what its answer says about
	// the engine.
	SetStage(ctx context.Context, o Order) (taken bool, said notice.Notice, err error)
}

// Load reports the demand on each endpoint, and what hosts have heard of instances.
type Load interface {
	// Demand returns the demand; loaded is false while callers send no requests.
	Demand() (byEndpoint map[string]staging.Demand, loaded bool)
	// Leaving reports whether an instance has told any host that it leaves.
	Leaving(in instances.Instance) bool
	// Hear records what an answer to this host says about an instance.
	Hear(in instances.Instance, said notice.Notice)
}

// Reconciler moves engines to the stages that package staging decides on.
type Reconciler struct {
	Host      string
	Lease     time.Duration // minimum time between the orders of two different leaders
	Settings  staging.Settings
	Ordered   func(endpoint string) bool // whether the endpoint's instances are ordered by demand; nil if none are
	Expected  staging.Demand             // per engine of staging.ReferenceSlots; used until the actual demand is known
	Group     Group
	Engines   Engines
	Load      Load
	Instances func() *instances.Snapshot
	Logger    *slog.Logger
	Metrics   *metrics.Set

	term       uint64               // of this host's leadership; 0 when it does not lead
	termSeenAt time.Time            // when the term was first seen
	lastOrders map[string]sentOrder // by instance
	dueSince   map[string]time.Time // since when changes are due, by endpoint
	// pausedUntil is until when engines want nothing of this host, by instance.
	pausedUntil map[string]time.Time
}

// sentOrder is the last order to an engine.
type sentOrder struct {
	to instances.Stage
	at time.Time
}

// Run reconciles stages until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	r.lastOrders, r.dueSince, r.pausedUntil = map[string]sentOrder{}, map[string]time.Time{}, map[string]time.Time{}
	for pause.For(ctx, reconcileInterval) {
		term, leads := r.Group.Leads()
		if !leads {
			r.term = 0
			continue
		}
		if term != r.term {
			r.term, r.termSeenAt = term, time.Now()
		}
		if time.Since(r.termSeenAt) < r.Lease+orderFlightTime {
			continue
		}
		r.reconcile(ctx)
	}
}

// reconcile sends the orders that are due.
func (r *Reconciler) reconcile(ctx context.Context) {
	changing := map[string]instances.Stage{}
	for id, last := range r.lastOrders {
		if time.Since(last.at) > orderHoldOff {
			delete(r.lastOrders, id)
			continue
		}
		changing[id] = last.to
	}
	maps.DeleteFunc(r.pausedUntil, func(_ string, until time.Time) bool { return time.Now().After(until) })
	demands, loaded := r.Load.Demand()
	for endpoint, list := range r.Instances().ByEndpoint {
		engines := r.orderable(list)
		if len(engines) == 0 {
			continue
		}
		demand, known := demands[endpoint]
		if !known {
			scale := float64(len(engines)) * staging.SlotsScale(engines)
			demand = staging.Demand{PromptTokens: r.Expected.PromptTokens * scale, OutputTokens: r.Expected.OutputTokens * scale}
		}
		settings := r.Settings
		if r.Ordered != nil && r.Ordered(endpoint) {
			settings = settings.WithOrders()
		}
		changes := settings.Next(engines, changing, demand, loaded)
		minDue := minDueLoaded
		if settings.DecodeShort(engines, changing, demand) {
			minDue = minDueShort
		}
		if loaded && !r.dueLongEnough(endpoint, len(changes) > 0, minDue) {
			continue
		}
		for _, c := range changes {
			if !r.sendOrder(ctx, c, demand, known) {
				return // leadership is not confirmed
			}
		}
	}
}

// dueLongEnough reports whether changes have been due for at least minDue, so that
// short load swings change no stage.
func (r *Reconciler) dueLongEnough(endpoint string, due bool, minDue time.Duration) bool {
	if !due {
		delete(r.dueSince, endpoint)
		return false
	}
	since, ok := r.dueSince[endpoint]
	if !ok {
		r.dueSince[endpoint] = time.Now()
		return false
	}
	return time.Since(since) >= minDue
}

// orderable returns the engines that have a stage and have not said that they leave.
func (r *Reconciler) orderable(list []instances.Instance) []instances.Instance {
	var out []instances.Instance
	for _, in := range list {
		if in.Stage != instances.AnyStage && !r.Load.Leaving(in) {
			out = append(out, in)
		}
	}
	return out
}

// sendOrder sends one order. It returns false when this host may no longer be the leader.
func (r *Reconciler) sendOrder(ctx context.Context, c staging.Change, d staging.Demand, measured bool) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.Group.Confirm(ctx); err != nil {
		r.Logger.Warn("stage order not sent, leadership not confirmed", "instance", c.Engine.ID, "term", r.term, "err", err)
		return false
	}
	if term, leads := r.Group.Leads(); !leads || term != r.term {
		return false
	}
	if until := r.pausedUntil[c.Engine.ID]; time.Now().Before(until) {
		r.Logger.Info("stage order not sent, the engine has asked for a pause", "instance", c.Engine.ID, "until", until)
		return true
	}
	r.lastOrders[c.Engine.ID] = sentOrder{c.To, time.Now()}
	taken, said, err := r.Engines.SetStage(ctx, Order{Engine: c.Engine, Stage: c.To, Holder: r.Host, Fence: r.term})
	if err == nil {
		r.Load.Hear(c.Engine, said)
		if said.Pause > 0 {
			r.pausedUntil[c.Engine.ID] = time.Now().Add(said.Pause)
		}
	}
	outcome := "taken"
	if err != nil {
		outcome = "unknown"
	} else if !taken {
		outcome = "refused"
	}
	r.Metrics.GetOrCreateCounter(`filberthook_control_orders_total{outcome="` + outcome + `"}`).Inc()
	r.Logger.Info("stage order sent", "instance", c.Engine.ID, "endpoint", c.Engine.Endpoint, "stage", c.To.String(),
		"fence", r.term, "outcome", outcome, "prompt_tokens_s", saturate.Int(d.PromptTokens), "output_tokens_s", saturate.Int(d.OutputTokens), "decode_slots", saturate.Int(d.DecodeSlots),
		"measured", measured, "err", err)
	return true
}
