package experiment

import (
	"fmt"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// phase is the part of a request that an attempt runs.
type phase uint8

const (
	phaseWhole phase = iota
	phasePrefill
	phaseDecode
)

// attempt is one phase of a request at one engine.
type attempt struct {
	job   *job
	phase phase
	id    string
}

// worker is one model engine of the fleet with its state in the control plane.
type worker struct {
	sim       *sim
	name      string
	zone      int
	engine    *enginemodel.Engine
	role      engineapi.Role
	alive     bool
	withdrawn bool // draining to leave the fleet, or has left
	draining  bool
	changing  bool
	roleSince time.Duration // time of the last role change
	stepping  bool
	attempts  map[string]*attempt
	orders    int
	stoppedAt time.Duration
}

func newWorker(s *sim, name string, zone int, role engineapi.Role) *worker {
	fleet := &s.scenario.Fleet
	cfg := enginemodel.DefaultConfig()
	cfg.KVBlocks = fleet.KVBlocks
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
		engine:    enginemodel.New(cfg),
		attempts:  make(map[string]*attempt),
		roleSince: -time.Hour, // so that MinDwell does not delay the first role change
	}
}

// available reports whether the worker accepts new requests.
func (w *worker) available() bool { return w.alive && !w.draining && !w.changing && !w.withdrawn }

// submit starts an attempt. It returns false if the engine has stopped or refuses it.
func (w *worker) submit(a *attempt) bool {
	if !w.alive {
		return false
	}
	j := a.job
	a.id = fmt.Sprintf("%d.%d.%d", j.id, j.attempts, a.phase)
	r := enginemodel.Request{
		ID:           a.id,
		Model:        modelName,
		Prefixes:     j.arrival.prefixes,
		PromptTokens: j.arrival.prompt,
		OutputTokens: j.arrival.output,
		Priority:     int(j.workload.Class),
		ResumeFrom:   j.generated,
	}
	switch a.phase {
	case phasePrefill:
		r.PrefillOnly = true
		r.ResumeFrom = 0
	case phaseDecode:
		r.ImportedTokens = j.arrival.prompt
	}
	if err := w.engine.Submit(w.sim.clock.now, r); err != nil {
		return false
	}
	w.attempts[a.id] = a
	w.wake()
	return true
}

// wake starts stepping the engine if it is idle.
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

// deliver passes the events of a step to the affected requests.
func (w *worker) deliver(events []enginemodel.Event) {
	for i := range events {
		ev := &events[i]
		a := w.attempts[ev.Request]
		if a == nil {
			continue
		}
		switch ev.Kind {
		case enginemodel.EventToken:
			a.job.addToken(w.sim, ev.At)
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

// stop stops the engine at once; entry hosts see its attempts fail after the zone delay.
func (w *worker) stop() {
	if !w.alive {
		return
	}
	w.alive = false
	w.stoppedAt = w.sim.clock.now
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

// drainPoll is the interval at which a draining engine is checked.
const drainPoll = 50 * time.Millisecond

// changeRole drains the engine, changes its role and undrains it.
func (w *worker) changeRole(role engineapi.Role, reason string) {
	w.draining = true
	w.order(engineapi.Order{Kind: engineapi.OrderDrain})
	w.sim.record.addRoleChange(roleChange{At: w.sim.clock.now, Instance: w.name, From: w.role, To: role, Reason: reason})
	w.afterDrain(func() {
		w.changing = true
		w.order(engineapi.Order{Kind: engineapi.OrderSetRole, Role: role})
		w.sim.clock.after(w.sim.scenario.Fleet.Planner.ChangeTime.Duration, func() { w.roleChanged(role) })
	})
}

func (w *worker) roleChanged(role engineapi.Role) {
	w.role = role
	w.roleSince = w.sim.clock.now
	w.order(engineapi.Order{Kind: engineapi.OrderUndrain})
	w.changing, w.draining = false, false
}

// withdraw drains the engine and removes it from the fleet.
func (w *worker) withdraw() {
	w.withdrawn = true
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
