// Package zoneplanner runs the planner of one availability zone while this host
// holds the zone's lease: it passes the zone's engines and demand to package
// planner, and executes the changes through package authority, one at a time.
//
// A change drains the engine first, and is aborted if requests still run after a
// time limit, so that no request is interrupted.
package zoneplanner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"filberthook/internal/control/authority"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/demand"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/engines/planner"

	"github.com/VictoriaMetrics/metrics"
)

// Timing of the planner.
const (
	tickInterval      = 250 * time.Millisecond
	planInterval      = 2 * time.Second
	DefaultDrainLimit = 2 * time.Minute
)

// Orders sends orders under the zone's lease. *authority.Manager implements it.
type Orders interface {
	SetEngines(refs []authority.EngineRef)
	Views() []authority.View
	Order(ctx context.Context, instance string, change authority.Change) (engineapi.OrderStatus, error)
}

// Instances lists the known instances.
type Instances interface {
	Snapshot() *directory.Snapshot
}

// Configuration returns the newest configuration in force.
type Configuration interface {
	Snapshot() *fleet.Snapshot
}

// Settings are the settings of a Planner.
type Settings struct {
	Zone       string
	Now        func() time.Duration
	Planner    planner.Config // the deployment's policy is applied on top
	NewPlanner func(planner.Config) *planner.Planner
	DrainLimit time.Duration
	Logger     *slog.Logger
	Metrics    *metrics.Set
}

// Planner runs one zone's planner. Run may be called only once.
type Planner struct {
	settings  Settings
	orders    Orders
	instances Instances
	demand    *demand.Aggregator
	config    Configuration

	planner   *planner.Planner
	policy    fleet.Policy // policy that planner was created with
	forecast  *planner.Forecaster
	roleSince map[string]time.Duration // time of an engine's last role change seen here
	roles     map[string]engineapi.Role
	executor  *executor // of the current change; nil if there is none
	lastPlan  time.Duration

	mu     sync.Mutex // guards status
	status Status
}

// Status is the planner's state, for operators.
type Status struct {
	Holding bool         `json:"holding"` // the zone's lease is held and an engine's state is known
	Plan    planner.Plan `json:"plan"`
	Change  string       `json:"change,omitempty"` // current change
	Step    string       `json:"step,omitempty"`
}

// New returns a Planner.
func New(settings Settings, orders Orders, instances Instances, aggregator *demand.Aggregator, config Configuration) *Planner {
	if settings.DrainLimit == 0 {
		settings.DrainLimit = DefaultDrainLimit
	}
	return &Planner{
		settings:  settings,
		orders:    orders,
		instances: instances,
		demand:    aggregator,
		config:    config,
		forecast:  planner.NewForecaster(settings.Planner.Window.Duration),
		roleSince: make(map[string]time.Duration),
		roles:     make(map[string]engineapi.Role),
	}
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.tick(ctx)
		}
	}
}

// Status returns the planner's state.
func (p *Planner) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// tick reads the zone's state and acts on it once.
func (p *Planner) tick(ctx context.Context) {
	now := p.settings.Now()
	z := p.readZone(now)
	p.orders.SetEngines(z.refs)
	z.views = p.orders.Views()
	p.trackRoles(now, z)
	p.observeDemand(now)
	holding := len(z.views) > 0 && anyKnown(z.views)
	if !holding {
		p.executor = nil // the next lease holder undrains the engine
	} else {
		p.continueOrPlan(ctx, now, z)
	}
	p.publishStatus(holding)
}

func anyKnown(views []authority.View) bool {
	for _, v := range views {
		if v.Known {
			return true
		}
	}
	return false
}

// continueOrPlan continues the current change or starts the next one.
func (p *Planner) continueOrPlan(ctx context.Context, now time.Duration, z *zone) {
	if p.executor != nil {
		p.continueChange(ctx, now, z)
		return
	}
	if p.undrainLeftover(ctx, z) {
		return
	}
	if t, ok := reconcile(z, p.config.Snapshot()); ok {
		p.beginChange(now, t)
		return
	}
	if now-p.lastPlan >= planInterval {
		p.lastPlan = now
		p.plan(now, z)
	}
}

func (p *Planner) beginChange(now time.Duration, t plannedChange) {
	p.settings.Logger.Info("change begins", "change", t.String(), "reason", t.reason)
	p.executor = newExecutor(now, t)
}

// continueChange sends the next order of the current change, if one is due.
func (p *Planner) continueChange(ctx context.Context, now time.Duration, z *zone) {
	c := p.executor
	o, present := z.observe(c.planned.instance)
	if !present {
		c.finish(OutcomeGone)
	}
	change, ok := c.next(now, o, p.settings.DrainLimit)
	if c.step == stepDone {
		p.endChange(c)
		return
	}
	if !ok {
		return
	}
	if _, err := p.orders.Order(ctx, c.planned.instance, change); err != nil {
		p.settings.Logger.Warn("order not sent", "change", c.planned.String(), "step", c.step.String(), "err", err)
		return
	}
	c.orderSent()
}

func (p *Planner) endChange(c *executor) {
	p.executor = nil
	p.settings.Metrics.GetOrCreateCounter(`filberthook_planner_changes_total{kind="` + string(c.planned.change.Kind) + `",outcome="` + string(c.outcome) + `"}`).Inc()
	p.settings.Logger.Info("change ended", "change", c.planned.String(), "outcome", string(c.outcome))
	if c.outcome != OutcomeApplied && c.planned.change.Kind == engineapi.OrderSetRole && p.planner != nil {
		p.planner.Refund()
	}
}

// undrainLeftover undrains an engine that a previous lease holder left drained. It
// reports whether there was one.
func (p *Planner) undrainLeftover(ctx context.Context, z *zone) bool {
	for _, v := range z.views {
		if !v.Known || !v.State.Drained || v.Outstanding != "" || v.Ref.Draining {
			continue
		}
		p.settings.Logger.Info("undraining engine left drained by a previous lease holder", "instance", v.Ref.Instance)
		_, err := p.orders.Order(ctx, v.Ref.Instance, authority.Change{Kind: engineapi.OrderUndrain})
		if err != nil {
			p.settings.Logger.Warn("undrain order not sent", "instance", v.Ref.Instance, "err", err)
		}
		return true
	}
	return false
}

// plan asks the planner for a role change and starts it.
func (p *Planner) plan(now time.Duration, z *zone) {
	p.applyPolicy(p.config.Snapshot().Policy)
	horizon := p.settings.Planner.ChangeTime.Duration + p.settings.Planner.DrainTime.Duration
	plan := p.planner.Plan(now, planner.View{
		Zone:    p.settings.Zone,
		Engines: z.engines(p.roleSince),
		Demand:  p.forecast.Forecast(now, horizon),
	})
	p.settings.Metrics.GetOrCreateCounter(`filberthook_planner_plans_total{outcome="` + string(plan.Outcome) + `"}`).Inc()
	p.mu.Lock()
	p.status.Plan = plan
	p.mu.Unlock()
	if plan.Outcome != planner.OutcomeChange || plan.Change.Kind != planner.ChangeRole {
		return
	}
	p.beginChange(now, plannedChange{
		instance:    plan.Change.Instance,
		incarnation: plan.Change.Incarnation,
		change:      authority.Change{Kind: engineapi.OrderSetRole, Role: plan.Change.Role},
		reason:      plan.Change.Reason,
	})
}

// applyPolicy recreates the planner if operators have changed the policy.
func (p *Planner) applyPolicy(policy fleet.Policy) {
	if p.planner != nil && policy == p.policy {
		return
	}
	cfg := p.settings.Planner
	cfg.GoodputWeight *= policy.GoodputWeight
	cfg.ChangeCost *= policy.RoleChangeWeight
	if policy.MaxRoleChangesPerHour > 0 {
		cfg.ChangesPerHour = min(cfg.ChangesPerHour, float64(policy.MaxRoleChangesPerHour))
	}
	p.planner = p.settings.NewPlanner(cfg)
	p.policy = policy
}

func (p *Planner) observeDemand(now time.Duration) {
	rates, _ := p.demand.Total(now)
	seconds := tickInterval.Seconds()
	p.forecast.Observe(now, planner.Work{
		Requests:      rates.Requests * seconds,
		PromptTokens:  rates.PromptTokens * seconds,
		OutputTokens:  rates.OutputTokens * seconds,
		ContextTokens: rates.ContextTokens * seconds,
	})
}

// trackRoles records when each engine changed its role.
func (p *Planner) trackRoles(now time.Duration, z *zone) {
	for instance, rec := range z.records {
		role := rec.Announcement.State.Role
		if old, ok := p.roles[instance]; ok && old != role {
			p.roleSince[instance] = now
		}
		p.roles[instance] = role
	}
	for instance := range p.roles {
		if z.records[instance] == nil {
			delete(p.roles, instance)
			delete(p.roleSince, instance)
		}
	}
}

func (p *Planner) publishStatus(holding bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status.Holding = holding
	p.status.Change, p.status.Step = "", ""
	if p.executor != nil {
		p.status.Change, p.status.Step = p.executor.planned.String(), p.executor.step.String()
	}
}
