package authority

import (
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/invariant"
)

// EngineRef identifies an engine, with what it announced last.
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
	OutcomeFailed     Outcome = "failed"     // the engine could not execute it
	OutcomeRejected   Outcome = "rejected"   // the engine did not start it
	OutcomeCrashed    Outcome = "crashed"    // the engine restarted during the order; its state is read again
	OutcomeGone       Outcome = "gone"       // the engine has left
	OutcomeSuperseded Outcome = "superseded" // the lease changed before the end was seen; the engine's state is read again
)

// OrderResult is the end of an order.
type OrderResult struct {
	Instance    string
	Order       engineapi.Order
	Outcome     Outcome
	Reason      string
	FenceUpdate bool // the order changed nothing but the engine's fencing number
}

// outstandingOrder is an order of this process that has not ended yet.
type outstandingOrder struct {
	order          engineapi.Order
	fenceUpdate    bool // the order changes nothing but the engine's fencing number
	maybeDelivered bool // some attempt may have reached the engine
	acknowledged   bool // the engine has accepted it; otherwise it is sent again under the same id
}

// engine is the state of one engine as this process knows it. It does no I/O and is
// not safe for concurrent use.
type engine struct {
	ref   EngineRef
	state engineapi.EngineState
	// stateFence is the fencing number under which state was read last; 0 means that
	// the state is not known. Orders are sent only if it is the current lease's.
	stateFence uint64
	order      *outstandingOrder // at most one outstanding order
}

// observe records a newer announcement. A new incarnation ends the outstanding
// order, because the engine crashed during it.
func (e *engine) observe(ref EngineRef) *OrderResult {
	restarted := ref.Incarnation > e.ref.Incarnation
	if ref.Incarnation < e.ref.Incarnation {
		return nil // late announcement of an earlier run
	}
	e.ref = ref
	if !restarted {
		return nil
	}
	e.stateFence = 0
	return e.end(OutcomeCrashed, "the engine restarted")
}

// end removes the outstanding order and returns its result, nil when there is none.
func (e *engine) end(outcome Outcome, reason string) *OrderResult {
	if e.order == nil {
		return nil
	}
	ended := &OrderResult{Instance: e.ref.Instance, Order: e.order.order, Outcome: outcome, Reason: reason, FenceUpdate: e.order.fenceUpdate}
	e.order = nil
	return ended
}

// startLease starts a new lease at this engine. An outstanding order of the previous
// lease ends here; reading the engine's state shows whether it is still executing.
func (e *engine) startLease(fence uint64) *OrderResult {
	if e.order == nil || e.order.order.Fence == fence {
		return nil
	}
	e.stateFence = 0
	return e.end(OutcomeSuperseded, "the lease changed")
}

// checkAdmission returns the reason why no order may be sent now, nil when one may.
func (e *engine) checkAdmission(now time.Duration, grant Grant) error {
	if now < grant.SettledAt {
		return &SettlingError{Remaining: grant.SettledAt - now}
	}
	if e.stateFence != grant.Fence {
		return &StateUnreadError{Instance: e.ref.Instance}
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

// needsFenceUpdate reports whether the engine must receive the fencing number of the
// lease. An engine that checks fencing numbers refuses the orders of a former
// holder only once it has accepted a newer number.
func (e *engine) needsFenceUpdate(now time.Duration, grant Grant) bool {
	return e.ref.ChecksFence && e.state.Fence < grant.Fence && e.checkAdmission(now, grant) == nil
}

// begin makes an order the outstanding one. The caller has called checkAdmission.
func (e *engine) begin(order engineapi.Order, grant Grant, fenceUpdate bool) {
	invariant.Check(e.order == nil, "one-outstanding-order",
		"engine %s would get order %s during %s", e.ref.Instance, order.ID, e.outstandingID())
	invariant.Check(order.Fence == grant.Fence && order.Fence >= e.state.Fence, "fence-grows",
		"engine %s has accepted fence %d, the order carries %d", e.ref.Instance, e.state.Fence, order.Fence)
	e.order = &outstandingOrder{order: order, fenceUpdate: fenceUpdate}
}

func (e *engine) outstandingID() string {
	if e.order == nil {
		return ""
	}
	return e.order.order.ID
}

// applyStatus records the status of an order that the engine returned.
func (e *engine) applyStatus(status engineapi.OrderStatus) *OrderResult {
	if e.order == nil || e.order.order.ID != status.ID {
		return nil
	}
	e.order.acknowledged = true
	switch status.Phase {
	case engineapi.OrderDone:
		return e.endAndRereadState(OutcomeDone, "")
	case engineapi.OrderFailed:
		return e.endAndRereadState(OutcomeFailed, status.Reason)
	case engineapi.OrderRejected:
		return e.endAndRereadState(OutcomeRejected, status.Reason)
	}
	return nil
}

// applyUnknownOrder ends an order that the engine no longer knows.
func (e *engine) applyUnknownOrder(id string) *OrderResult {
	if e.outstandingID() != id {
		return nil
	}
	return e.endAndRereadState(OutcomeCrashed, "the engine does not know the order any more")
}

// endAndRereadState ends the order and has the engine's state read again before the next
// order, because the order may have changed it.
func (e *engine) endAndRereadState(outcome Outcome, reason string) *OrderResult {
	e.stateFence = 0
	return e.end(outcome, reason)
}

// callFailed records that a call about an order got no answer. An order that was
// certainly never sent is dropped; any other order stays outstanding and is sent
// again under its id.
func (e *engine) callFailed(id string, maybeSent bool) {
	if e.order == nil || e.order.order.ID != id {
		return
	}
	if !maybeSent && !e.order.acknowledged && !e.order.maybeDelivered {
		e.order = nil
		return
	}
	e.order.maybeDelivered = true
}

// applyState records the engine's state, read under a lease after settling. foreign
// reports whether the engine is executing an order of another lease.
func (e *engine) applyState(fence, incarnation uint64, state engineapi.EngineState) (ended *OrderResult, foreign bool) {
	if incarnation != e.ref.Incarnation {
		return nil, false
	}
	foreign = state.Outstanding.ID != "" && state.Outstanding.ID != e.outstandingID() && state.Outstanding.Fence != fence
	if e.order != nil && e.order.acknowledged && state.LastOrder.ID == e.order.order.ID {
		ended = e.applyStatus(state.LastOrder)
	}
	e.state = state
	e.stateFence = fence
	return ended, foreign
}
