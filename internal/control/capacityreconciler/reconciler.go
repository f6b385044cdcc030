// Package capacityreconciler orders the instances from the platform that package capacity plans.
// Only the leader of the control group plans, from what heartbeats and reports show: nothing of
// an earlier leader's plans is taken over. Each order is confirmed by package duty.
package capacityreconciler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/duty"
	"filberthook/internal/control/staging"
	"filberthook/internal/engines/capacity"
	"filberthook/internal/engines/instances"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/routes"
)

const (
	// reconcileInterval is the time between two plans: heartbeats and averages of the demand change no faster.
	reconcileInterval = 500 * time.Millisecond
	// planLifetime is how long orders of one plan are sent. A slow platform must not get orders
	// that a newer plan would not make.
	planLifetime = time.Second
	// minRatePause is how long no order is sent after one that the platform limited.
	minRatePause = 500 * time.Millisecond
)

// Group is the leadership of the control group.
type Group interface {
	// Leads returns the term of this host's leadership; ok is false when it does not lead.
	Leads() (term uint64, ok bool)
}

// Holder gives the right to make one call to the platform.
type Holder interface {
	Hold(ctx context.Context) (duty.Call, bool)
}

// Load reports the work on endpoints and instances.
type Load interface {
	// Demand returns the demand; loaded is false while callers send no requests.
	Demand() (byEndpoint map[string]staging.Demand, loaded bool)
	// PromptBacklog returns the prompt tokens that await prefill at an instance.
	PromptBacklog(id string) int64
	// Leaving reports whether an instance has told any host that it leaves.
	Leaving(in instances.Instance) bool
}

// Reconciler orders the instances of the endpoints whose configuration asks for it.
type Reconciler struct {
	Group     Group
	Holder    Holder
	Platform  duty.Platform
	Load      Load
	Limits    func() map[string]routes.Autoscale // by endpoint
	Instances func() *instances.Snapshot
	Logger    *slog.Logger
	Metrics   *metrics.Set

	term        uint64                       // of the leadership that planned, 0 for none
	planners    map[string]*capacity.Planner // by endpoint
	pausedUntil time.Time                    // by a limit of the platform
}

// Run reconciles until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	for pause.For(ctx, reconcileInterval) {
		r.step(ctx)
	}
}

// step plans if this host leads, and forgets the plans of an earlier term.
func (r *Reconciler) step(ctx context.Context) {
	term, leads := r.Group.Leads()
	if !leads {
		term = 0
	}
	if term != r.term {
		r.term, r.planners = term, map[string]*capacity.Planner{}
	}
	if leads {
		r.reconcile(ctx)
	}
}

// reconcile plans for all endpoints and sends the orders that are due.
func (r *Reconciler) reconcile(ctx context.Context) {
	limits := r.Limits()
	maps.DeleteFunc(r.planners, func(endpoint string, _ *capacity.Planner) bool {
		_, ordered := limits[endpoint]
		return !ordered
	})
	demands, loaded := r.Load.Demand()
	fleets := r.Instances().ByEndpoint
	for _, endpoint := range slices.Sorted(maps.Keys(limits)) {
		planner := r.planners[endpoint]
		if planner == nil {
			planner = capacity.New(capacity.DefaultSettings())
			r.planners[endpoint] = planner
		}
		planner.SetLimits(limits[endpoint])
		var demand *capacity.Demand
		if d, known := demands[endpoint]; known && loaded {
			demand = r.demand(d, fleets[endpoint])
		}
		fleet, now := capacity.FleetOf(fleets[endpoint], r.Load.Leaving), time.Now()
		orders := planner.Plan(demand, fleet, now)
		r.gauge("needed", endpoint, planner.Needed())
		r.gauge("ready", endpoint, fleet.Total())
		for _, o := range orders {
			if time.Since(now) > planLifetime || !r.send(ctx, planner, endpoint, o, *demand) {
				break
			}
		}
	}
}

// demand adds to a demand how long prompts wait at the endpoint's prefill engines.
func (r *Reconciler) demand(d staging.Demand, list []instances.Instance) *capacity.Demand {
	out := &capacity.Demand{PrefillEngines: d.PrefillEngines, DecodeSlots: d.DecodeSlots}
	engines, tokens := 0.0, 0.0
	for _, in := range list {
		if in.Stage != instances.Decode {
			engines++
			tokens += float64(r.Load.PromptBacklog(in.ID))
		}
	}
	if rate := engines * d.PromptTokens / d.PrefillEngines; rate > 0 {
		out.Backlog = saturate.Seconds(tokens / rate)
	}
	return out
}

// send sends one order. It returns false if no other order can be sent at the moment.
func (r *Reconciler) send(ctx context.Context, planner *capacity.Planner, endpoint string, o capacity.Order, d capacity.Demand) bool {
	if time.Now().Before(r.pausedUntil) {
		return false
	}
	call, ok := r.Holder.Hold(ctx)
	if !ok || call.Fence != r.term {
		return false // it is planned again
	}
	planner.Sent(o, time.Now())
	err := r.Platform.OrderInstances(ctx, call, duty.Order{Endpoint: endpoint, Zone: o.Zone, Desired: o.Desired, Preemptible: o.Preemptible})
	outcome := r.record(planner, o.Pool, err)
	r.Metrics.GetOrCreateCounter(fmt.Sprintf(`filberthook_control_instance_orders_total{kind=%q,reason=%q,outcome=%q}`, o.Kind(), o.Reason, outcome)).Inc()
	r.Logger.Info("instances ordered", "endpoint", endpoint, "instance_zone", o.Zone, "kind", o.Kind(), "desired", o.Desired, "ready", o.Ready,
		"reason", o.Reason, "needed", planner.Needed(), "prefill_engines", fmt.Sprintf("%.1f", d.PrefillEngines), "decode_slots", saturate.Int(d.DecodeSlots),
		"backlog_ms", d.Backlog.Milliseconds(), "fence", call.Fence, "outcome", outcome, "err", err)
	return outcome != outcomeLimited && outcome != outcomeNotSent
}

// Outcomes of orders.
const (
	outcomeAccepted    = "accepted"
	outcomeUnavailable = "unavailable"
	outcomeLimited     = "limited"  // by the rate of calls
	outcomeNotSent     = "not_sent" // the confirmation of this host's leadership was too old
	outcomeRefused     = "refused"
	outcomeUnknown     = "unknown" // heartbeats show whether it had an effect
)

// record tells the planner what became of an order.
func (r *Reconciler) record(planner *capacity.Planner, pool capacity.Pool, err error) string {
	now := time.Now()
	var unavailable *duty.UnavailableError
	var limited *duty.RateError
	var expired *duty.ExpiredError
	var status *duty.StatusError
	switch {
	case err == nil:
		planner.Accepted(pool)
		return outcomeAccepted
	case errors.As(err, &unavailable):
		planner.Refused(pool, true, now)
		return outcomeUnavailable
	case errors.As(err, &limited):
		planner.Refused(pool, false, now)
		r.pausedUntil = now.Add(max(limited.RetryAfter, minRatePause))
		return outcomeLimited
	case errors.As(err, &expired):
		planner.Refused(pool, false, now)
		return outcomeNotSent
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		planner.Refused(pool, true, now) // the same order would be refused again
		return outcomeRefused
	default:
		return outcomeUnknown
	}
}

func (r *Reconciler) gauge(name, endpoint string, value int) {
	r.Metrics.GetOrCreateGauge(fmt.Sprintf("filberthook_control_instances_%s{endpoint=%q}", name, endpoint), nil).Set(float64(value))
}
