// Package stagereconciler gives engines the orders that package staging decides on. Only
// the leader of the control group gives orders, with the term of its leadership as
// fencing number, which no other host ever has.
//
// Engines may not check fencing numbers. So a new leader gives no order until the
// orders of the one before it can no longer arrive, and a leader confirms with a
// quorum that it still leads before each order.
package stagereconciler

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/staging"
	"filberthook/internal/engines/instances"
	"filberthook/internal/process/pause"
)

// Timing of orders.
const (
	// reconcileInterval is how often the stages are looked at.
	reconcileInterval = 500 * time.Millisecond
	// confirmTimeout bounds the proof of leadership and the order after it together.
	confirmTimeout = 300 * time.Millisecond
	// orderFlightTime is added to the lease: an order is on its way for less.
	orderFlightTime = 1500 * time.Millisecond
	// minDueLoaded is how long a change must be due under load: longer than a turn of
	// the mix, or the loss of engines that come back.
	minDueLoaded = 5 * time.Second
	// minDueDecodeShort is the same after a loss of generating engines. They count as lost
	// only after heartbeats have failed to come for seconds.
	minDueDecodeShort = time.Second
	// orderHoldOff is how long an engine that was ordered is left alone: an order that was
	// not answered may be carried out seconds later.
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
	Holder string // of the authority
	Fence  uint64
}

// Engines carries orders to engines.
type Engines interface {
	// SetStage returns whether the engine took the order.
	SetStage(ctx context.Context, o Order) (taken bool, err error)
}

// Load tells what callers ask of each endpoint.
type Load interface {
	Demand() (byEndpoint map[string]staging.Demand, loaded bool)
}

// Reconciler keeps the stages of engines as staging wants them.
type Reconciler struct {
	Host      string
	Lease     time.Duration // within which orders of two holders must not follow each other
	Settings  staging.Settings
	Expected  staging.Demand // on each engine, until callers' demand is known
	Group     Group
	Engines   Engines
	Load      Load
	Instances func() *instances.Snapshot
	Logger    *slog.Logger
	Metrics   *metrics.Set

	term       uint64    // of the leadership that is held
	termSeenAt time.Time // when it was first seen
	lastOrders map[string]sentOrder
	dueSince   map[string]time.Time // since when changes are due, by endpoint
}

// sentOrder is the last order to an engine.
type sentOrder struct {
	to instances.Stage
	at time.Time
}

// Run gives orders until ctx ends.
func (k *Reconciler) Run(ctx context.Context) {
	k.lastOrders, k.dueSince = map[string]sentOrder{}, map[string]time.Time{}
	for pause.For(ctx, reconcileInterval) {
		term, leads := k.Group.Leads()
		if !leads {
			k.term = 0
			continue
		}
		if term != k.term {
			k.term, k.termSeenAt = term, time.Now()
		}
		if time.Since(k.termSeenAt) < k.Lease+orderFlightTime {
			continue
		}
		k.reconcile(ctx)
	}
}

// reconcile gives the orders that are due.
func (k *Reconciler) reconcile(ctx context.Context) {
	changing := map[string]instances.Stage{}
	for id, last := range k.lastOrders {
		if time.Since(last.at) > orderHoldOff {
			delete(k.lastOrders, id)
			continue
		}
		changing[id] = last.to
	}
	demands, loaded := k.Load.Demand()
	for endpoint, list := range k.Instances().ByEndpoint {
		engines := withStage(list)
		if len(engines) == 0 {
			continue
		}
		demand, known := demands[endpoint]
		if !known {
			demand = staging.Demand{
				PromptTokens: k.Expected.PromptTokens * float64(len(engines)),
				OutputTokens: k.Expected.OutputTokens * float64(len(engines)),
			}
		}
		changes := k.Settings.Next(engines, changing, demand, loaded)
		minDue := minDueLoaded
		if k.Settings.DecodeShort(engines, changing) {
			minDue = minDueDecodeShort
		}
		if loaded && !k.dueLongEnough(endpoint, len(changes) > 0, minDue) {
			continue
		}
		for _, c := range changes {
			if !k.sendOrder(ctx, c, demand, known) {
				return // leadership is not sure
			}
		}
	}
}

// dueLongEnough reports whether changes have been due for long enough to be no turn of the mix.
func (k *Reconciler) dueLongEnough(endpoint string, due bool, minDue time.Duration) bool {
	if !due {
		delete(k.dueSince, endpoint)
		return false
	}
	since, ok := k.dueSince[endpoint]
	if !ok {
		k.dueSince[endpoint] = time.Now()
		return false
	}
	return time.Since(since) >= minDue
}

func withStage(list []instances.Instance) []instances.Instance {
	var out []instances.Instance
	for _, in := range list {
		if in.Stage != instances.AnyStage {
			out = append(out, in)
		}
	}
	return out
}

// sendOrder gives one sendOrder. It returns false when this host may not lead any more.
func (k *Reconciler) sendOrder(ctx context.Context, c staging.Change, d staging.Demand, measured bool) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := k.Group.Confirm(ctx); err != nil {
		k.Logger.Warn("no order given, leadership not confirmed", "instance", c.Engine.ID, "term", k.term, "err", err)
		return false
	}
	if term, leads := k.Group.Leads(); !leads || term != k.term {
		return false
	}
	k.lastOrders[c.Engine.ID] = sentOrder{c.To, time.Now()}
	taken, err := k.Engines.SetStage(ctx, Order{Engine: c.Engine, Stage: c.To, Holder: k.Host, Fence: k.term})
	outcome := "taken"
	if err != nil {
		outcome = "unknown"
	} else if !taken {
		outcome = "refused"
	}
	k.Metrics.GetOrCreateCounter(`filberthook_control_orders_total{outcome="` + outcome + `"}`).Inc()
	k.Logger.Info("order to engine", "instance", c.Engine.ID, "endpoint", c.Engine.Endpoint, "stage", c.To.String(),
		"fence", k.term, "outcome", outcome, "prompt_tokens_s", int(d.PromptTokens), "output_tokens_s", int(d.OutputTokens),
		"measured", measured, "err", err)
	return true
}
