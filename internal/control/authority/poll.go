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
	pollInterval = 250 * time.Millisecond
	pollTimeout  = time.Second
	maxPolls     = 16
	// refreshInterval is the time between readings of an idle engine's state.
	refreshInterval = 30 * time.Second
)

// Run follows the outstanding orders and reads the engines' states while the
// lease is held, until ctx ends.
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
	polls.SetLimit(maxPolls)
	for _, rec := range m.all() {
		polls.Go(func() error {
			m.poll(ctx, rec, grant)
			return nil
		})
	}
	_ = polls.Wait() // polls report no errors
}

func (m *Manager) all() []*record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*record, 0, len(m.records))
	for _, rec := range m.records {
		all = append(all, rec)
	}
	return all
}

// poll makes the one call that an engine needs now, if any.
func (m *Manager) poll(ctx context.Context, rec *record, grant Grant) {
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
		m.logFailed(ref, err)
	case callStatus:
		m.readStatus(ctx, rec, ref, order.ID)
	case callState:
		m.readState(ctx, rec, ref, grant.Fence)
	case callRaise:
		m.raise(ctx, rec, grant)
	}
}

// raise tells an engine the fencing number of the lease by an order that
// changes nothing: it repeats whether the engine takes new work. A role would
// not do: an engine may restart its batches for the role that it has.
func (m *Manager) raise(ctx context.Context, rec *record, grant Grant) {
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
	m.logFailed(ref, err)
}

// nextCall tells which call an engine needs.
type nextCall int

const (
	callNone nextCall = iota
	callResend
	callStatus
	callState
	callRaise
)

func (m *Manager) nextCall(rec *record, grant Grant) (nextCall, EngineRef, engineapi.Order) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	now := m.settings.Clock()
	e := &rec.engine
	m.ended(e.adopt(grant.Fence))
	switch {
	case e.order != nil && !e.order.answered:
		return callResend, e.ref, e.order.order
	case e.order != nil:
		return callStatus, e.ref, e.order.order
	case now < grant.SettledAt:
		return callNone, e.ref, engineapi.Order{}
	case e.needsRaise(now, grant):
		return callRaise, e.ref, engineapi.Order{}
	case e.readFence != grant.Fence || e.state.Outstanding.ID != "" || now-rec.readAt >= refreshInterval:
		return callState, e.ref, engineapi.Order{}
	}
	return callNone, e.ref, engineapi.Order{}
}

func (m *Manager) readStatus(ctx context.Context, rec *record, ref EngineRef, id string) {
	status, err := m.transport.OrderStatus(ctx, ref, id)
	var unknown *UnknownOrderError
	rec.mu.Lock()
	defer rec.mu.Unlock()
	switch {
	case errors.As(err, &unknown):
		m.ended(rec.engine.forgotten(id))
	case err != nil:
		m.logFailed(ref, err)
	default:
		m.ended(rec.engine.answered(status))
	}
}

func (m *Manager) readState(ctx context.Context, rec *record, ref EngineRef, fence uint64) {
	state, incarnation, err := m.transport.State(ctx, ref)
	if err != nil {
		m.logFailed(ref, err)
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	ended, foreign := rec.engine.stateRead(fence, incarnation, state)
	rec.readAt = m.settings.Clock()
	m.ended(ended)
	if foreign {
		m.settings.Metrics.GetOrCreateCounter("filberthook_orders_foreign_total").Inc()
		m.settings.Logger.Warn("the engine carries out an order of another lease; its end is awaited",
			"engine", ref.Instance, "order", state.Outstanding.ID, "fence", state.Outstanding.Fence)
	}
}
