package planner

import (
	"fmt"
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/invariant"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/routing"
)

// Config holds the settings of a Planner. GoodputWeight and ChangeCost weigh
// answers in time against changes: a change must gain more than it costs.
type Config struct {
	GoodputWeight  float64           `toml:"goodput_weight"`   // value of an answer in time
	ChangeCost     float64           `toml:"change_cost"`      // fixed cost of a change, in answers
	Horizon        tomltime.Duration `toml:"horizon"`          // period over which the gain of a change is counted
	ChangeTime     tomltime.Duration `toml:"change_time"`      // unavailability of an engine during a change, without its drain
	DrainTime      tomltime.Duration `toml:"drain_time"`       // typical duration of a drain
	MinDwell       tomltime.Duration `toml:"min_dwell"`        // minimum time between role changes of an engine
	Confirmations  int               `toml:"confirmations"`    // consecutive evaluations that must propose the same change
	ChangesPerHour float64           `toml:"changes_per_hour"` // per zone
	Burst          float64           `toml:"burst"`            // changes that may be saved up
	SmallZone      int               `toml:"small_zone"`       // number of engines per simultaneous change
	Window         tomltime.Duration `toml:"forecast_window"`  // time constant of the forecaster
}

// DefaultConfig returns the settings used when a file names none.
func DefaultConfig() Config { return GoodputConfig() }

// FewChangesConfig returns settings for deployments that prefer late answers to
// role changes.
func FewChangesConfig() Config {
	cfg := GoodputConfig()
	cfg.ChangeCost = 300
	cfg.Confirmations = 5
	cfg.ChangesPerHour = 6
	cfg.Burst = 2
	cfg.MinDwell = tomltime.Of(5 * time.Minute)
	return cfg
}

// GoodputConfig returns settings for deployments that prefer role changes to
// late answers.
func GoodputConfig() Config {
	return Config{
		GoodputWeight:  1,
		ChangeCost:     20,
		Horizon:        tomltime.Of(60 * time.Second),
		ChangeTime:     tomltime.Of(4 * time.Second),
		DrainTime:      tomltime.Of(8 * time.Second),
		MinDwell:       tomltime.Of(60 * time.Second),
		Confirmations:  6,
		ChangesPerHour: 30,
		Burst:          3,
		SmallZone:      6,
		Window:         tomltime.Of(20 * time.Second),
	}
}

// Engine is one engine of the zone as the planner sees it.
type Engine struct {
	Instance    string
	Incarnation uint64
	Role        engineapi.Role
	Models      []engineapi.Model
	KVBlocks    int
	Running     int           // requests that a drain has to wait for
	Changing    bool          // an order is outstanding
	Draining    bool          // leaving, or drained for a change
	RoleSince   time.Duration // time of its last role change
}

// available reports whether the engine takes new work.
func (e *Engine) available() bool { return !e.Changing && !e.Draining }

// Declaration is a model that operators want the zone to serve.
type Declaration struct {
	Model   engineapi.Model
	Engines int // minimum number of engines with the model
}

// View is the input of an evaluation.
type View struct {
	Zone     string
	Engines  []Engine
	Declared []Declaration
	Demand   Demand
}

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes.
const (
	ChangeRole      ChangeKind = "set_role"
	ChangeLoadModel ChangeKind = "load_model"
)

// Change is one change of one engine. The engine is drained first.
type Change struct {
	Kind        ChangeKind      `json:"kind"`
	Instance    string          `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	From        engineapi.Role  `json:"from,omitempty"`
	Role        engineapi.Role  `json:"role,omitempty"`
	Model       engineapi.Model `json:"model,omitzero"`
	Gain        float64         `json:"gain"` // additional answers in time over the horizon
	Cost        float64         `json:"cost"` // answers lost during the change, plus the fixed cost
	Reason      string          `json:"reason"`
}

// Net returns the net gain of the change in answers.
func (c *Change) Net() float64 { return c.Gain - c.Cost }

// Outcome is the result of an evaluation: a change, or why there is none.
type Outcome string

// Outcomes of a plan.
const (
	OutcomeChange     Outcome = "change"
	OutcomeNoGain     Outcome = "no_gain"
	OutcomeConfirming Outcome = "confirming"
	OutcomeBudget     Outcome = "budget_spent"
	OutcomeBusy       Outcome = "another_change_in_progress"
)

// Plan is the result of one evaluation. Considered lists the evaluated changes,
// the best first, to explain the decision.
type Plan struct {
	Outcome    Outcome  `json:"outcome"`
	Change     Change   `json:"change"` // set for OutcomeChange
	Considered []Change `json:"considered,omitempty"`
	InTime     float64  `json:"in_time"` // predicted share of answers in time without a change
}

// Planner decides on changes for one zone. It is not safe for concurrent use.
type Planner struct {
	cfg           Config
	queueModel    queueModel
	budget        float64 // changes allowed now
	refilledAt    time.Duration
	pending       roleChange // best change of the last evaluation
	confirmations int        // consecutive evaluations that proposed it
}

// roleChange is a change of roles without the engine that makes it.
type roleChange struct{ from, to engineapi.Role }

// New returns a planner with a full budget.
func New(cfg Config, costs routing.Costs, firstToken time.Duration) *Planner {
	return &Planner{cfg: cfg, queueModel: queueModel{costs: costs, firstToken: firstToken.Seconds()}, budget: cfg.Burst}
}

// Plan returns the change to make now, if any. The caller must execute it or
// call Refund.
func (p *Planner) Plan(now time.Duration, v View) Plan {
	p.refill(now)
	plan := Plan{InTime: p.queueModel.inTime(p.fleet(v), v.Demand)}
	if p.busy(v) {
		plan.Outcome = OutcomeBusy
		return plan
	}
	if change, ok := missingModel(v); ok {
		plan.Change = change
		plan.Outcome = p.spend()
		return plan
	}
	plan.Considered = p.candidates(now, v, plan.InTime)
	plan.Outcome = p.decide(plan.Considered)
	if plan.Outcome == OutcomeChange {
		plan.Change = plan.Considered[0]
		invariant.Check(keepsModelsServed(v, plan.Change), "never_last_of_role",
			"zone %s would lose its last engine by %+v", v.Zone, plan.Change)
	}
	return plan
}

// Refund returns the budget of a change that was not made.
func (p *Planner) Refund() { p.budget = min(p.cfg.Burst, p.budget+1) }

func (p *Planner) refill(now time.Duration) {
	p.budget += (now - p.refilledAt).Hours() * p.cfg.ChangesPerHour
	p.budget = min(p.budget, p.cfg.Burst)
	p.refilledAt = now
}

func (p *Planner) spend() Outcome {
	if p.budget < 1 {
		return OutcomeBudget
	}
	p.budget--
	return OutcomeChange
}

// busy reports whether the limit of simultaneous changes is reached: one for
// every SmallZone engines, and at least one.
func (p *Planner) busy(v View) bool {
	changing := 0
	for i := range v.Engines {
		if !v.Engines[i].available() {
			changing++
		}
	}
	return changing >= max(1, len(v.Engines)/max(1, p.cfg.SmallZone))
}

func (p *Planner) decide(considered []Change) Outcome {
	if len(considered) == 0 || considered[0].Net() <= 0 {
		p.confirmations = 0
		return OutcomeNoGain
	}
	best := roleChange{considered[0].From, considered[0].Role}
	if best != p.pending {
		p.pending = best
		p.confirmations = 0
	}
	p.confirmations++
	if p.confirmations < p.cfg.Confirmations {
		return OutcomeConfirming
	}
	outcome := p.spend()
	if outcome == OutcomeChange {
		p.confirmations = 0
	}
	return outcome
}

func (p *Planner) fleet(v View) fleet {
	var f fleet
	n := 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.available() {
			f = f.add(e.Role, 1)
			f.kvBlocks += float64(e.KVBlocks)
			n++
		}
	}
	f.kvBlocks = ratio(f.kvBlocks, n)
	return f
}

// candidates evaluates the permitted role changes and returns them, best first.
func (p *Planner) candidates(now time.Duration, v View, inTime float64) []Change {
	var out []Change
	current := p.fleet(v)
	tried := make(map[roleChange]bool)
	for _, i := range byFewestRunning(v.Engines) {
		e := &v.Engines[i]
		if !e.available() || now-e.RoleSince < p.cfg.MinDwell.Duration {
			continue
		}
		for _, to := range []engineapi.Role{engineapi.RoleMixed, engineapi.RolePrefill, engineapi.RoleDecode} {
			m := roleChange{e.Role, to}
			if to == e.Role || tried[m] {
				continue
			}
			change := Change{Kind: ChangeRole, Instance: e.Instance, Incarnation: e.Incarnation, From: e.Role, Role: to}
			if !keepsModelsServed(v, change) {
				continue
			}
			tried[m] = true
			out = append(out, p.evaluate(change, current, v.Demand, inTime))
		}
	}
	slices.SortStableFunc(out, func(a, b Change) int {
		switch {
		case a.Net() > b.Net():
			return -1
		case a.Net() < b.Net():
			return 1
		}
		return 0
	})
	return out
}

// byFewestRunning returns the indexes of engines, those with the shortest drain first.
func byFewestRunning(engines []Engine) []int {
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return engines[a].Running - engines[b].Running })
	return order
}

// evaluate sets the gain, cost and reason of a change.
func (p *Planner) evaluate(change Change, current fleet, d Demand, inTime float64) Change {
	without := current.add(change.From, -1)
	during := p.queueModel.inTime(without, d)
	after := p.queueModel.inTime(without.add(change.Role, 1), d)
	downtime := (p.cfg.ChangeTime.Duration + p.cfg.DrainTime.Duration).Seconds()
	weightedRequests := d.Requests * p.cfg.GoodputWeight
	change.Gain = (after - inTime) * weightedRequests * p.cfg.Horizon.Seconds()
	change.Cost = (inTime-during)*weightedRequests*downtime + p.cfg.ChangeCost
	change.Reason = fmt.Sprintf("in time now %.3f, during the change %.3f, after it %.3f, at %.1f requests, %.0f prompt and %.0f output tokens a second",
		inTime, during, after, d.Requests, d.PromptTokens, d.OutputTokens)
	return change
}

// keepsModelsServed reports whether the zone can still run prefill and decode for
// each model of the engine while that engine changes.
func keepsModelsServed(v View, change Change) bool {
	at := slices.IndexFunc(v.Engines, func(e Engine) bool { return e.Instance == change.Instance })
	if at < 0 {
		return false
	}
	for _, m := range v.Engines[at].Models {
		if !servedWithout(v.Engines, at, m.Name) {
			return false
		}
	}
	return true
}

func servedWithout(engines []Engine, without int, model string) bool {
	canPrefill, canDecode := false, false
	for i := range engines {
		e := &engines[i]
		if i == without || !e.available() || !e.hasModel(model) {
			continue
		}
		canPrefill = canPrefill || e.Role != engineapi.RoleDecode
		canDecode = canDecode || e.Role != engineapi.RolePrefill
	}
	return canPrefill && canDecode
}

func (e *Engine) hasModel(model string) bool {
	return slices.ContainsFunc(e.Models, func(m engineapi.Model) bool { return m.Name == model })
}
