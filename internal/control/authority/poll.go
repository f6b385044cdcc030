package authority

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"filberthook/internal/engines/engineapi"
)

// Timing and limits of the calls to engines.
const (
	pollInterval       = 250 * time.Millisecond
	pollTimeout        = time.Second
	maxConcurrentPolls = 16
	// stateRefreshInterval is the time between two reads of an idle engine's state.
	stateRefreshInterval = 30 * time.Second
)

// Run polls outstanding orders and the engines' states while the lease is held,
// until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		m.pollAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (m *Manager) pollAll(ctx context.Context) {
	grant, ok := m.holder.Grant()
	if !ok {
		return
	}
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	for _, rec := range m.all() {
		polls.Go(func() error {
			m.poll(ctx, rec, grant)
			return nil
		})
	}
	_ = polls.Wait() // polls report no errors
}

func (m *Manager) all() []*trackedEngine {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*trackedEngine, 0, len(m.engines))
	for _, rec := range m.engines {
		all = append(all, rec)
	}
	return all
}

// poll makes the one call that an engine needs now, if any.
func (m *Manager) poll(ctx context.Context, rec *trackedEngine, grant Grant) {
	if !rec.tryLock() {
		return // an order is being sent
	}
	defer rec.unlock()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	next, ref, order := m.nextCall(rec, grant)
	switch next {
	case callResend:
		m.count("filberthook_orders_resent_total", "kind", string(order.Kind))
		_, err := m.send(ctx, rec, ref, order)
		m.logCallError(ref, err)
	case callStatus:
		m.readStatus(ctx, rec, ref, order.ID)
	case callState:
		m.readState(ctx, rec, ref, grant.Fence)
	case callUpdateFence:
		m.updateFence(ctx, rec, grant)
	}
}

// updateFence sends an engine the fencing number of the lease with an order that
// changes nothing: a drain or undrain that matches the engine's state. An order for
// the engine's own role is not used, as it may make the engine restart its batches.
func (m *Manager) updateFence(ctx context.Context, rec *trackedEngine, grant Grant) {
	rec.mu.Lock()
	change := Change{Kind: engineapi.OrderUndrain}
	if rec.engine.state.Drained {
		change.Kind = engineapi.OrderDrain
	}
	rec.mu.Unlock()
	order, ref, err := m.begin(rec, grant, change, true)
	if err == nil {
		_, err = m.send(ctx, rec, ref, order)
	}
	m.logCallError(ref, err)
}

// nextCall is the call that an engine needs next.
type nextCall int

const (
	callNone nextCall = iota
	callResend
	callStatus
	callState
	callUpdateFence
)

func (m *Manager) nextCall(rec *trackedEngine, grant Grant) (nextCall, EngineRef, engineapi.Order) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	now := m.settings.Clock()
	e := &rec.engine
	m.reportResult(e.startLease(grant.Fence))
	switch {
	case e.order != nil && !e.order.acknowledged:
		return callResend, e.ref, e.order.order
	case e.order != nil:
		return callStatus, e.ref, e.order.order
	case now < grant.SettledAt:
		return callNone, e.ref, engineapi.Order{}
	case e.needsFenceUpdate(now, grant):
		return callUpdateFence, e.ref, engineapi.Order{}
	case e.stateFence != grant.Fence || e.state.Outstanding.ID != "" || now-rec.stateReadAt >= stateRefreshInterval:
		return callState, e.ref, engineapi.Order{}
	}
	return callNone, e.ref, engineapi.Order{}
}

func (m *Manager) readStatus(ctx context.Context, rec *trackedEngine, ref EngineRef, id string) {
	status, err := m.transport.OrderStatus(ctx, ref, id)
	var unknown *UnknownOrderError
	rec.mu.Lock()
	defer rec.mu.Unlock()
	switch {
	case errors.As(err, &unknown):
		m.reportResult(rec.engine.applyUnknownOrder(id))
	case err != nil:
		m.logCallError(ref, err)
	default:
		m.reportResult(rec.engine.applyStatus(status))
	}
}

func (m *Manager) readState(ctx context.Context, rec *trackedEngine, ref EngineRef, fence uint64) {
	state, incarnation, err := m.transport.State(ctx, ref)
	if err != nil {
		m.logCallError(ref, err)
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	ended, foreign := rec.engine.applyState(fence, incarnation, state)
	rec.stateReadAt = m.settings.Clock()
	m.reportResult(ended)
	if foreign {
		m.settings.Metrics.GetOrCreateCounter("filberthook_orders_foreign_total").Inc()
		m.settings.Logger.Warn("engine is executing an order of another lease, waiting for its end",
			"engine", ref.Instance, "order", state.Outstanding.ID, "fence", state.Outstanding.Fence)
	}
}
