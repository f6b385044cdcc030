package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/routing"
)

const target = 1600 * time.Millisecond

func newPlanner(change func(*Config)) *Planner {
	cfg := DefaultConfig()
	change(&cfg)
	return New(cfg, routing.DefaultConfig().Costs, target)
}

func zone(prefill, decode, mixed int) View {
	v := View{Zone: "a"}
	add := func(role engineapi.Role, n int) {
		for range n {
			name := fmt.Sprintf("w%d", len(v.Engines))
			v.Engines = append(v.Engines, Engine{Instance: name, Role: role, KVBlocks: 200, Models: []engineapi.Model{{Name: "m", Version: "1"}}, RoleSince: -time.Hour})
		}
	}
	add(engineapi.RolePrefill, prefill)
	add(engineapi.RoleDecode, decode)
	add(engineapi.RoleMixed, mixed)
	return v
}

// demand returns work that fully loads the given numbers of engines.
func demand(prefill, decode float64) Demand {
	costs := routing.DefaultConfig().Costs
	d := Demand{PromptTokens: prefill * costs.PrefillRate(0)}
	d.Requests = d.PromptTokens/4000 + decode
	d.ContextTokens = d.Requests * 5000
	d.OutputTokens = decode * 50 / costs.Step(50, 0)
	return d
}

// planUntilChange evaluates until there is a change, at most n times.
func planUntilChange(p *Planner, v View, n int) Plan {
	var plan Plan
	for i := range n {
		plan = p.Plan(time.Duration(i)*time.Second, v)
		if plan.Outcome == OutcomeChange {
			return plan
		}
	}
	return plan
}

func TestPlan(t *testing.T) {
	last := zone(1, 3, 0)
	tests := []struct {
		name    string
		view    View
		demand  Demand
		want    Outcome
		from    engineapi.Role
		avoided engineapi.Role // role that the change must not assign
	}{
		{"enough of everything", zone(2, 3, 0), demand(0.5, 1), OutcomeNoGain, "", ""},
		{"prompts overloaded", zone(1, 4, 0), demand(2, 1), OutcomeChange, "decode", "decode"},
		{"answers overloaded", zone(4, 1, 0), demand(0.5, 2.5), OutcomeChange, "prefill", "prefill"},
		{"last engine of a role stays", last, demand(0.1, 6), OutcomeNoGain, "", ""},
		{"mixed engines need no change", zone(0, 0, 5), demand(2, 1), OutcomeNoGain, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlanner(func(*Config) {})
			tt.view.Demand = tt.demand
			plan := planUntilChange(p, tt.view, 9)
			if plan.Outcome != tt.want || plan.Change.From != tt.from {
				t.Fatalf("outcome %s from %q, want %s from %q: %+v", plan.Outcome, plan.Change.From, tt.want, tt.from, plan.Considered)
			}
			if tt.avoided != "" && plan.Change.Role == tt.avoided {
				t.Errorf("changed to %s", plan.Change.Role)
			}
		})
	}
}

func TestSmallZoneChangesOneEngineAtATime(t *testing.T) {
	v := zone(1, 4, 0)
	v.Demand = demand(2.5, 0.5)
	v.Engines[4].Changing = true
	if plan := planUntilChange(newPlanner(func(*Config) {}), v, 9); plan.Outcome != OutcomeBusy {
		t.Errorf("outcome %s during another change", plan.Outcome)
	}
}

func TestConfirmationsAndDwell(t *testing.T) {
	v := zone(1, 4, 0)
	v.Demand = demand(2.5, 0.5)
	p := newPlanner(func(c *Config) { c.Confirmations = 3 })
	for i, want := range []Outcome{OutcomeConfirming, OutcomeConfirming, OutcomeChange} {
		if got := p.Plan(time.Duration(i)*time.Second, v); got.Outcome != want {
			t.Errorf("evaluation %d: %s, want %s", i, got.Outcome, want)
		}
	}
	for i := range v.Engines {
		v.Engines[i].RoleSince = 0
	}
	if got := planUntilChange(newPlanner(func(*Config) {}), v, 9); got.Outcome != OutcomeNoGain {
		t.Errorf("engines that have changed their roles recently: %s", got.Outcome)
	}
}

func TestBudgetBoundsChanges(t *testing.T) {
	p := newPlanner(func(c *Config) {
		c.ChangesPerHour = 4
		c.Burst = 2
		c.Confirmations = 1
		c.MinDwell = tomltime.Duration{}
	})
	changes := 0
	for i := range 7200 {
		v := zone(1, 4, 0)
		v.Demand = demand(2.5, 0.5)
		if p.Plan(time.Duration(i)*time.Second, v).Outcome == OutcomeChange {
			changes++
		}
	}
	if changes < 9 || changes > 10 {
		t.Errorf("%d changes in 2 hours with 4 an hour and 2 at once", changes)
	}
}

func TestChangeCostWeighsAgainstGain(t *testing.T) {
	v := zone(1, 4, 0)
	v.Demand = demand(1.1, 0.5)
	if got := planUntilChange(newPlanner(func(c *Config) { c.ChangeCost = 1 }), v, 9).Outcome; got != OutcomeChange {
		t.Errorf("cheap changes: %s", got)
	}
	if got := planUntilChange(newPlanner(func(c *Config) { c.ChangeCost = 1e6 }), v, 9).Outcome; got != OutcomeNoGain {
		t.Errorf("expensive changes: %s", got)
	}
}

func TestMissingModelIsLoaded(t *testing.T) {
	next := engineapi.Model{Name: "m", Version: "2"}
	tests := []struct {
		name string
		view View
		decl Declaration
		want bool
	}{
		{"another model", zone(1, 2, 0), Declaration{engineapi.Model{Name: "n", Version: "1"}, 2}, true},
		{"carried already", zone(1, 2, 0), Declaration{engineapi.Model{Name: "m", Version: "1"}, 3}, false},
		{"new version where others serve", zone(0, 0, 2), Declaration{next, 1}, true},
		{"new version on the last engine", zone(0, 0, 1), Declaration{next, 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.view.Declared = []Declaration{tt.decl}
			plan := newPlanner(func(*Config) {}).Plan(0, tt.view)
			got := plan.Outcome == OutcomeChange && plan.Change.Kind == ChangeLoadModel
			if got != tt.want {
				t.Errorf("load planned %v, want %v: %+v", got, tt.want, plan)
			}
		})
	}
}

func TestForecastFollowsLevelAndTrend(t *testing.T) {
	f := NewForecaster(20 * time.Second)
	for s := range 200 {
		f.Observe(time.Duration(s)*time.Second, Work{Requests: 10, PromptTokens: 1000})
		if d := f.Forecast(time.Duration(s)*time.Second, 0); s < 15 && d != (Demand{}) {
			t.Errorf("forecast %+v after %d s of a window of 20 s", d, s)
		}
	}
	now := 200 * time.Second
	if d := f.Forecast(now, 10*time.Second); d.Requests < 9.5 || d.Requests > 10.5 {
		t.Errorf("steady 10 requests a second forecast as %.2f", d.Requests)
	}
	for s := 200; s < 260; s++ {
		f.Observe(time.Duration(s)*time.Second, Work{Requests: float64(10 + s - 200)})
	}
	now = 260 * time.Second
	level, ahead := f.Forecast(now, 0), f.Forecast(now, 10*time.Second)
	if ahead.Requests <= level.Requests {
		t.Errorf("growing load forecast as %.1f in 10 s, %.1f now", ahead.Requests, level.Requests)
	}
}

// TestPlanKeepsModelsServed plans for random demands and applies the changes: no
// model may lose its last engine of a role, and changes must not overlap.
func TestPlanKeepsModelsServed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := zone(rapid.IntRange(1, 3).Draw(rt, "p"), rapid.IntRange(1, 3).Draw(rt, "d"), rapid.IntRange(0, 2).Draw(rt, "m"))
		p := newPlanner(func(c *Config) { c.Confirmations = 1; c.MinDwell = tomltime.Duration{}; c.ChangeCost = 0 })
		for i := range 40 {
			v.Demand = demand(rapid.Float64Range(0, 6).Draw(rt, "prefill"), rapid.Float64Range(0, 6).Draw(rt, "decode"))
			for j := range v.Engines {
				v.Engines[j].Changing = v.Engines[j].Changing && rapid.Bool().Draw(rt, "still")
			}
			plan := p.Plan(time.Duration(i)*time.Minute, v)
			if plan.Outcome != OutcomeChange {
				continue
			}
			if !keepsModelsServed(v, plan.Change) {
				rt.Fatalf("%+v takes the last engine of a role", plan.Change)
			}
			for j := range v.Engines {
				if v.Engines[j].Changing {
					rt.Fatalf("%+v during another change", plan.Change)
				}
				if v.Engines[j].Instance == plan.Change.Instance {
					v.Engines[j].Role, v.Engines[j].Changing = plan.Change.Role, true
				}
			}
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	v := zone(40, 60, 20)
	v.Demand = demand(60, 50)
	p := newPlanner(func(*Config) {})
	b.ReportAllocs()
	for b.Loop() {
		p.Plan(0, v)
	}
}
