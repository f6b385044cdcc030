package enginemodel

import (
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/invariant"
)

// Reasons on rejected orders.
const (
	rejectIncarnation = "order is for another incarnation: read the engine's state and send a new order"
	rejectFence       = "fencing number is old: give up the lease and send no more orders"
	rejectConflict    = "another order is running: wait until it ends"
	rejectRole        = "role is unknown: use mixed, prefill or decode"
	rejectKind        = "order kind is unknown: use set_role, load_model, unload_model, drain or undrain"
	rejectModel       = "model has no name: name the model"
	rejectAbsent      = "model is not loaded: read the engine's state"
)

// OrderCounts counts the orders to an engine and the requests that they ended.
type OrderCounts struct {
	Accepted   int
	Conflicts  int // orders rejected because another one was running
	OldFence   int // orders rejected for their fencing number
	StaleTaken int // orders accepted although a higher fencing number had been accepted
	Misdirect  int // orders rejected because they were for another incarnation
	Aborted    int // requests aborted while they ran
	NotRun     int // requests removed before they ran
}

// Add returns the sum of two counts.
func (c OrderCounts) Add(o OrderCounts) OrderCounts {
	return OrderCounts{
		Accepted:   c.Accepted + o.Accepted,
		Conflicts:  c.Conflicts + o.Conflicts,
		OldFence:   c.OldFence + o.OldFence,
		StaleTaken: c.StaleTaken + o.StaleTaken,
		Misdirect:  c.Misdirect + o.Misdirect,
		Aborted:    c.Aborted + o.Aborted,
		NotRun:     c.NotRun + o.NotRun,
	}
}

// maxRememberedOrders bounds the statuses kept for repeated orders.
const maxRememberedOrders = 1024

// orderBook holds the order under way and the statuses of earlier ones.
// Invariant: at most one order is running.
type orderBook struct {
	fence    uint64 // highest fencing number accepted
	running  *engineapi.Order
	until    time.Duration // end of the running order
	statuses map[string]engineapi.OrderStatus
	history  []string // identifiers in statuses, oldest first
	lastID   string   // newest order that ended
	counts   OrderCounts
}

func newOrderBook() orderBook {
	return orderBook{statuses: make(map[string]engineapi.OrderStatus)}
}

// refusesAll reports whether the running order makes the engine refuse all requests.
func (b *orderBook) refusesAll() bool {
	return b.running != nil && b.running.Kind == engineapi.OrderSetRole
}

// replaces reports whether the running order replaces a model's version.
func (b *orderBook) replaces(model string) bool {
	return b.running != nil && b.running.Kind == engineapi.OrderLoadModel && b.running.Model.Name == model
}

func (b *orderBook) doneAt() time.Duration {
	if b.running == nil {
		return 0
	}
	return b.until
}

func (b *orderBook) record(o engineapi.Order, phase engineapi.OrderPhase, reason string) engineapi.OrderStatus {
	st := engineapi.OrderStatus{ID: o.ID, Fence: o.Fence, Kind: o.Kind, Phase: phase, Reason: reason}
	if _, known := b.statuses[o.ID]; !known {
		b.history = append(b.history, o.ID)
	}
	b.statuses[o.ID] = st
	if len(b.history) > maxRememberedOrders {
		delete(b.statuses, b.history[0])
		b.history = b.history[1:]
	}
	if phase == engineapi.OrderDone || phase == engineapi.OrderFailed {
		b.lastID = o.ID
	}
	return st
}

// Order gives the engine an order and returns its state. An order that is
// repeated under the same identifier returns the state of the first. A change of
// role aborts all requests, running and queued; a change of version or an unload
// aborts those of the model. To lose none, drain the engine first and wait until
// it is idle.
func (e *Engine) Order(now time.Duration, o engineapi.Order) engineapi.OrderStatus {
	e.advance(now)
	if st, known := e.orders.statuses[o.ID]; known {
		return st
	}
	if reason := e.rejection(o); reason != "" {
		return e.orders.record(o, engineapi.OrderRejected, reason)
	}
	if o.Fence < e.orders.fence {
		e.orders.counts.StaleTaken++
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.counts.Accepted++
	length := e.beginOrder(now, o)
	e.recordLoad(now)
	if length <= 0 {
		e.apply(now, o)
		return e.orders.record(o, engineapi.OrderDone, "")
	}
	invariant.Check(e.orders.running == nil, "engine_one_order", "order %s started during another", o.ID)
	e.orders.running = &o
	e.orders.until = now + length
	return e.orders.record(o, engineapi.OrderRunning, "")
}

// rejection returns why the engine rejects an order, or "".
func (e *Engine) rejection(o engineapi.Order) string {
	b := &e.orders
	switch {
	case o.Incarnation != e.cfg.Incarnation:
		b.counts.Misdirect++
		return rejectIncarnation
	case e.cfg.ChecksFence && o.Fence < b.fence:
		b.counts.OldFence++
		return rejectFence
	case b.running != nil:
		b.counts.Conflicts++
		return rejectConflict
	}
	return e.malformed(o)
}

func (e *Engine) malformed(o engineapi.Order) string {
	switch o.Kind {
	case engineapi.OrderDrain, engineapi.OrderUndrain:
		return ""
	case engineapi.OrderSetRole:
		if !validRole(o.Role) {
			return rejectRole
		}
		return ""
	case engineapi.OrderLoadModel:
		if o.Model.Name == "" {
			return rejectModel
		}
		return ""
	case engineapi.OrderUnloadModel:
		if _, loaded := e.model(o.Model.Name); !loaded {
			return rejectAbsent
		}
		return ""
	default:
		return rejectKind
	}
}

// beginOrder aborts the requests that cannot go on during the order and returns
// how long the order takes.
func (e *Engine) beginOrder(now time.Duration, o engineapi.Order) time.Duration {
	switch o.Kind {
	case engineapi.OrderSetRole:
		if o.Role == e.role {
			return 0
		}
		e.abort(now, func(*sequence) bool { return true })
		return e.cfg.RoleChange
	case engineapi.OrderLoadModel:
		return e.beginLoad(now, o.Model)
	case engineapi.OrderUnloadModel:
		e.abort(now, func(s *sequence) bool { return s.req.Model == o.Model.Name })
	}
	return 0
}

func (e *Engine) beginLoad(now time.Duration, m engineapi.Model) time.Duration {
	old, loaded := e.model(m.Name)
	switch {
	case !loaded:
		return e.cfg.ModelLoad
	case old.Version != m.Version:
		e.abort(now, func(s *sequence) bool { return s.req.Model == m.Name })
		return e.cfg.ModelLoad
	case slices.Equal(old.Adapters, m.Adapters):
		return 0
	default:
		return e.cfg.AdapterLoad
	}
}

// abort removes the chosen requests. Those that never ran are reported as not
// run.
func (e *Engine) abort(now time.Duration, chosen func(*sequence) bool) {
	for _, s := range slices.Concat(e.running, e.queue) {
		if !chosen(s) {
			continue
		}
		kind := EventNotRun
		if s.started {
			kind = EventAborted
			e.orders.counts.Aborted++
		} else {
			e.orders.counts.NotRun++
		}
		e.pending = append(e.pending, Event{Kind: kind, Request: s.req.ID, At: now})
		e.remove(s)
	}
}

// apply makes the change of an order take effect.
func (e *Engine) apply(now time.Duration, o engineapi.Order) {
	switch o.Kind {
	case engineapi.OrderDrain:
		e.draining = true
	case engineapi.OrderUndrain:
		e.draining = false
	case engineapi.OrderSetRole:
		if o.Role != e.role {
			e.role = o.Role
			e.mem.clear(now)
		}
	case engineapi.OrderLoadModel:
		e.putModel(now, o.Model)
	case engineapi.OrderUnloadModel:
		e.dropModel(now, o.Model.Name)
	}
}

func (e *Engine) putModel(now time.Duration, m engineapi.Model) {
	old, loaded := e.model(m.Name)
	if loaded && old.Version != m.Version {
		e.mem.dropModel(now, m.Name)
	}
	m.Adapters = slices.Clone(m.Adapters)
	e.models = slices.DeleteFunc(e.models, func(o engineapi.Model) bool { return o.Name == m.Name })
	e.models = append(e.models, m)
}

func (e *Engine) dropModel(now time.Duration, name string) {
	e.models = slices.DeleteFunc(e.models, func(o engineapi.Model) bool { return o.Name == name })
	e.mem.dropModel(now, name)
}

// advance completes the running order once its end has been reached.
func (e *Engine) advance(now time.Duration) {
	e.last = max(e.last, now)
	b := &e.orders
	if b.running == nil || e.last < b.until {
		return
	}
	o := *b.running
	b.running = nil
	e.apply(b.until, o)
	b.record(o, engineapi.OrderDone, "")
	e.recordLoad(e.last)
}

// OrderStatus returns the state of an order that the engine has seen.
func (e *Engine) OrderStatus(now time.Duration, id string) (engineapi.OrderStatus, bool) {
	e.advance(now)
	st, known := e.orders.statuses[id]
	return st, known
}

// OrderCounts returns the counts since the engine was created.
func (e *Engine) OrderCounts() OrderCounts { return e.orders.counts }

// State returns the role, the loaded models and the orders of the engine.
func (e *Engine) State(now time.Duration) engineapi.EngineState {
	e.advance(now)
	st := engineapi.EngineState{
		Role:      e.role,
		Models:    cloneModels(e.models),
		Fence:     e.orders.fence,
		LastOrder: e.orders.statuses[e.orders.lastID],
		Drained:   e.draining,
	}
	if e.orders.running != nil {
		st.Outstanding = e.orders.statuses[e.orders.running.ID]
	}
	return st
}

// SetChecksFence sets whether the engine rejects orders with an old fencing
// number.
func (e *Engine) SetChecksFence(checks bool) { e.cfg.ChecksFence = checks }

// Draining reports whether an order told the engine to accept no new work.
func (e *Engine) Draining() bool { return e.draining }

// Idle reports whether the engine has no request.
func (e *Engine) Idle() bool { return len(e.requests) == 0 }

// Waiting returns the number of requests that wait for a place in the batch.
func (e *Engine) Waiting() int { return len(e.queue) }

func (e *Engine) model(name string) (engineapi.Model, bool) {
	i := slices.IndexFunc(e.models, func(m engineapi.Model) bool { return m.Name == name })
	if i < 0 {
		return engineapi.Model{}, false
	}
	return e.models[i], true
}

func cloneModels(models []engineapi.Model) []engineapi.Model {
	out := slices.Clone(models)
	for i := range out {
		out[i].Adapters = slices.Clone(out[i].Adapters)
	}
	return out
}
