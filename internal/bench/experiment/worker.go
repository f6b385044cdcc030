package experiment

import (
	"fmt"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// part tells which part of a request an attempt runs.
type part uint8

const (
	partWhole part = iota
	partPrompt
	partAnswer
)

// attempt is one part of a request at one engine.
type attempt struct {
	job  *job
	part part
	id   string
}

// worker is one model engine of the fleet and what the control side does to it.
type worker struct {
	sim      *sim
	name     string
	zone     int
	engine   *enginemodel.Engine
	role     engineapi.Role
	alive    bool
	leaving  bool // drained for good
	draining bool
	changing bool
	since    time.Duration // of the last role change
	stepping bool
	attempts map[string]*attempt
	orders   int
	lost     time.Duration // when it stopped
}

func newWorker(s *sim, name string, zone int, role engineapi.Role) *worker {
	fleet := &s.scenario.Fleet
	cfg := enginemodel.DefaultConfig()
	cfg.KVBlocks = fleet.Pieces
	cfg.Role = role
	cfg.Models = []engineapi.Model{{Name: modelName, Version: "1"}}
	cfg.LoadReportLag = fleet.Lags.LoadReport.Duration
	cfg.CacheEventLag = fleet.Lags.CacheEvent.Duration
	cfg.CacheEventLossEvery = fleet.Lags.CacheLossEvery
	costs := &fleet.Routing.Costs
	cfg.MaxBatch = costs.MaxBatch
	cfg.StepBase = costs.StepBase.Duration
	cfg.StepPerSequence = costs.StepPerSequence.Duration
	cfg.PrefillTokensPerSecond = costs.PrefillPerSec
	cfg.PrefillChunk = costs.PrefillChunk
	cfg.KVTransferTokensPerSecond = costs.TransferPerSec
	cfg.RoleChange = fleet.Planner.ChangeTime.Duration
	return &worker{
		sim: s, name: name, zone: zone, role: role, alive: true,
		engine:   enginemodel.New(cfg),
		attempts: make(map[string]*attempt),
		since:    -time.Hour,
	}
}

// available reports whether the worker takes new work.
func (w *worker) available() bool { return w.alive && !w.draining && !w.changing && !w.leaving }

// submit starts an attempt. It reports false when the engine has refused it.
func (w *worker) submit(a *attempt) bool {
	if !w.alive {
		return false
	}
	j := a.job
	a.id = fmt.Sprintf("%d.%d.%d", j.id, j.attempts, a.part)
	r := enginemodel.Request{
		ID:           a.id,
		Model:        modelName,
		Prefixes:     j.arrival.prefixes,
		PromptTokens: j.arrival.prompt,
		OutputTokens: j.arrival.output,
		Priority:     int(j.workload.Class),
		ResumeFrom:   j.generated,
	}
	switch a.part {
	case partPrompt:
		r.PrefillOnly = true
		r.ResumeFrom = 0
	case partAnswer:
		r.ImportedTokens = j.arrival.prompt
	}
	if err := w.engine.Submit(w.sim.clock.now, r); err != nil {
		return false
	}
	w.attempts[a.id] = a
	w.wake()
	return true
}

// wake starts the engine's steps when it is idle.
func (w *worker) wake() {
	if !w.stepping && w.alive {
		w.step()
	}
}

func (w *worker) step() {
	if !w.alive {
		return
	}
	now := w.sim.clock.now
	events, end, busy := w.engine.Step(now)
	w.stepping = busy
	if !busy {
		w.deliver(events)
		if end > now {
			w.sim.clock.at(end, w.wake)
		}
		return
	}
	w.sim.clock.at(end, func() {
		if !w.alive {
			return
		}
		w.deliver(events)
		w.step()
	})
}

// deliver passes the events of a step on to the requests.
func (w *worker) deliver(events []enginemodel.Event) {
	for i := range events {
		ev := &events[i]
		a := w.attempts[ev.Request]
		if a == nil {
			continue
		}
		switch ev.Kind {
		case enginemodel.EventToken:
			a.job.token(w.sim, ev.At)
		case enginemodel.EventPaused:
			w.sim.record.pauses++
		case enginemodel.EventFinished:
			delete(w.attempts, ev.Request)
			a.job.entry.finished(a, w)
		case enginemodel.EventAborted, enginemodel.EventNotRun:
			delete(w.attempts, ev.Request)
			w.sim.record.cut++
			a.job.entry.failed(a, w)
		}
	}
}

// stop ends the engine at once; its attempts fail.
func (w *worker) stop() {
	if !w.alive {
		return
	}
	w.alive = false
	w.lost = w.sim.clock.now
	ids := sortedKeys(w.attempts)
	for _, id := range ids {
		a := w.attempts[id]
		w.sim.clock.after(w.sim.scenario.Fleet.ZoneDelay.Duration, func() { a.job.entry.failed(a, w) })
	}
	w.attempts = make(map[string]*attempt)
}

func (w *worker) order(o engineapi.Order) engineapi.OrderStatus {
	w.orders++
	o.ID = fmt.Sprintf("%s-%d", w.name, w.orders)
	o.Fence = 1
	o.Incarnation = 1
	return w.engine.Order(w.sim.clock.now, o)
}

// drainPoll is the time between looks at an engine that drains.
const drainPoll = 50 * time.Millisecond

// changeRole drains the engine, changes its role and lets it work again.
func (w *worker) changeRole(role engineapi.Role, reason string) {
	w.draining = true
	w.order(engineapi.Order{Kind: engineapi.OrderDrain})
	w.sim.record.roleChange(roleChange{At: w.sim.clock.now, Instance: w.name, From: w.role, To: role, Reason: reason})
	w.afterDrain(func() {
		w.changing = true
		w.order(engineapi.Order{Kind: engineapi.OrderSetRole, Role: role})
		w.sim.clock.after(w.sim.scenario.Fleet.Planner.ChangeTime.Duration, func() { w.roleChanged(role) })
	})
}

func (w *worker) roleChanged(role engineapi.Role) {
	w.role = role
	w.since = w.sim.clock.now
	w.order(engineapi.Order{Kind: engineapi.OrderUndrain})
	w.changing, w.draining = false, false
}

// withdraw drains the engine and takes it out of the fleet.
func (w *worker) withdraw() {
	w.leaving = true
	w.draining = true
	w.order(engineapi.Order{Kind: engineapi.OrderDrain})
	w.afterDrain(w.stop)
}

func (w *worker) afterDrain(then func()) {
	if !w.alive {
		return
	}
	if w.engine.Idle() {
		then()
		return
	}
	w.sim.clock.after(drainPoll, func() { w.afterDrain(then) })
}
