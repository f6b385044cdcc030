package authority

import (
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/invariant"
)

// EngineRef names one engine as it announced itself last.
type EngineRef struct {
	Instance    string
	Incarnation uint64
	Address     string // host:port
	ChecksFence bool
	Draining    bool // the engine is leaving
}

// Outcome is how an order ended.
type Outcome string

// Outcomes of orders.
const (
	OutcomeDone       Outcome = "done"
	OutcomeFailed     Outcome = "failed"     // the engine could not carry it out
	OutcomeRejected   Outcome = "rejected"   // the engine did not start it
	OutcomeCrashed    Outcome = "crashed"    // the engine restarted in the middle; its state is read again
	OutcomeGone       Outcome = "gone"       // the engine has left
	OutcomeSuperseded Outcome = "superseded" // the lease changed before the end was seen; the engine's state is read again
)

// Ended tells how an order ended.
type Ended struct {
	Instance string
	Order    engineapi.Order
	Outcome  Outcome
	Reason   string
	Raise    bool // the order changed nothing but the engine's fencing number
}

// tracked is the outstanding order of this process at one engine.
type tracked struct {
	order    engineapi.Order
	raise    bool // the order changes nothing but the engine's fencing number
	tried    bool // some try may have reached the engine
	answered bool // the engine has taken it; otherwise it is sent again under the same id
}

// engine is what this process knows of one engine. It is pure; its owner holds
// a lock around it.
type engine struct {
	ref   EngineRef
	state engineapi.EngineState
	// readFence is the fencing number under which state was read last; 0 means
	// that the state is not known. No order is sent unless it is the present one.
	readFence uint64
	order     *tracked // at most one outstanding order
}

// observe takes a newer announcement. A new incarnation ends the outstanding
// order: the engine crashed in the middle of it.
func (e *engine) observe(ref EngineRef) *Ended {
	restarted := ref.Incarnation > e.ref.Incarnation
	if ref.Incarnation < e.ref.Incarnation {
		return nil // late announcement of an earlier run
	}
	e.ref = ref
	if !restarted {
		return nil
	}
	e.readFence = 0
	return e.end(OutcomeCrashed, "the engine restarted")
}

// end forgets the outstanding order and tells how it ended.
func (e *engine) end(outcome Outcome, reason string) *Ended {
	if e.order == nil {
		return nil
	}
	ended := &Ended{Instance: e.ref.Instance, Order: e.order.order, Outcome: outcome, Reason: reason, Raise: e.order.raise}
	e.order = nil
	return ended
}

// adopt starts a new lease at this engine. What was outstanding belongs to the
// former lease and is seen again when the state is read.
func (e *engine) adopt(fence uint64) *Ended {
	if e.order == nil || e.order.order.Fence == fence {
		return nil
	}
	e.readFence = 0
	return e.end(OutcomeSuperseded, "the lease changed")
}

// admits returns the error that refuses an order now, nil when it may be sent.
func (e *engine) admits(now time.Duration, grant Grant) error {
	if now < grant.SettledAt {
		return &SettlingError{Remaining: grant.SettledAt - now}
	}
	if e.readFence != grant.Fence {
		return &UnreadError{Instance: e.ref.Instance}
	}
	if e.state.Fence > grant.Fence {
		return &OvertakenError{Instance: e.ref.Instance, Fence: e.state.Fence}
	}
	if e.order != nil {
		return &BusyError{Instance: e.ref.Instance, Order: e.order.order.ID}
	}
	if e.state.Outstanding.ID != "" {
		return &BusyError{Instance: e.ref.Instance, Order: e.state.Outstanding.ID}
	}
	return nil
}

// needsRaise reports whether the engine must be told the fencing number of the
// lease. An engine that checks fencing numbers refuses the orders of a former
// holder only once it has accepted a newer number.
func (e *engine) needsRaise(now time.Duration, grant Grant) bool {
	return e.ref.ChecksFence && e.state.Fence < grant.Fence && e.admits(now, grant) == nil
}

// begin makes an order the outstanding one. The caller has asked admits.
func (e *engine) begin(order engineapi.Order, grant Grant, raise bool) {
	invariant.Check(e.order == nil, "one-outstanding-order",
		"engine %s would get order %s during %s", e.ref.Instance, order.ID, e.outstandingID())
	invariant.Check(order.Fence == grant.Fence && order.Fence >= e.state.Fence, "fence-grows",
		"engine %s has accepted fence %d, the order carries %d", e.ref.Instance, e.state.Fence, order.Fence)
	e.order = &tracked{order: order, raise: raise}
}

func (e *engine) outstandingID() string {
	if e.order == nil {
		return ""
	}
	return e.order.order.ID
}

// answered takes the engine's answer about an order.
func (e *engine) answered(status engineapi.OrderStatus) *Ended {
	if e.order == nil || e.order.order.ID != status.ID {
		return nil
	}
	e.order.answered = true
	switch status.Phase {
	case engineapi.OrderDone:
		return e.endStale(OutcomeDone, "")
	case engineapi.OrderFailed:
		return e.endStale(OutcomeFailed, status.Reason)
	case engineapi.OrderRejected:
		return e.endStale(OutcomeRejected, status.Reason)
	}
	return nil
}

// forgotten ends an order that the engine no longer knows.
func (e *engine) forgotten(id string) *Ended {
	if e.outstandingID() != id {
		return nil
	}
	return e.endStale(OutcomeCrashed, "the engine does not know the order any more")
}

// endStale ends the order after a change of the engine, so that its state is
// read again before the next order.
func (e *engine) endStale(outcome Outcome, reason string) *Ended {
	e.readFence = 0
	return e.end(outcome, reason)
}

// unanswered records that a call about an order gave no answer. An order that
// surely was not sent is dropped; any other one stays outstanding and is sent
// again under its id.
func (e *engine) unanswered(id string, sent bool) {
	if e.order == nil || e.order.order.ID != id {
		return
	}
	if !sent && !e.order.answered && !e.order.tried {
		e.order = nil
		return
	}
	e.order.tried = true
}

// stateRead takes the engine's state, read under a lease after settling. It
// reports whether an order of another holder showed.
func (e *engine) stateRead(fence, incarnation uint64, state engineapi.EngineState) (ended *Ended, foreign bool) {
	if incarnation != e.ref.Incarnation {
		return nil, false
	}
	foreign = state.Outstanding.ID != "" && state.Outstanding.ID != e.outstandingID() && state.Outstanding.Fence != fence
	if e.order != nil && e.order.answered && state.LastOrder.ID == e.order.order.ID {
		ended = e.answered(state.LastOrder)
	}
	e.state = state
	e.readFence = fence
	return ended, foreign
}
