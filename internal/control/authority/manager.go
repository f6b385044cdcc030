package authority

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/engineapi"
)

// Transport calls engines.
type Transport interface {
	// Order sends an order. It calls check right before it writes the order and
	// does not write it when check fails. A *NotSentError means that the engine
	// cannot have received the order.
	Order(ctx context.Context, ref EngineRef, order engineapi.Order, check func() error) (engineapi.OrderStatus, error)
	// OrderStatus returns the state of an order, or *UnknownOrderError.
	OrderStatus(ctx context.Context, ref EngineRef, id string) (engineapi.OrderStatus, error)
	// State returns an engine's state and the incarnation that answered.
	State(ctx context.Context, ref EngineRef) (engineapi.EngineState, uint64, error)
}

// Change is the change that an order requests.
type Change struct {
	Kind  engineapi.OrderKind
	Role  engineapi.Role
	Model engineapi.Model
}

// Settings are the settings of a Manager.
type Settings struct {
	Clock Clock
	// OnEnded is called when an order ends, except one that only updates a fencing number.
	// It is called under locks: it must return quickly and not call the manager. It may be
	// nil.
	OnEnded func(OrderResult)
	Logger  *slog.Logger
	Metrics *metrics.Set
}

// Manager sends orders to the engines of a zone. It is safe for concurrent use.
type Manager struct {
	settings  Settings
	holder    *Holder
	transport Transport

	mu      sync.RWMutex // guards engines
	engines map[string]*trackedEngine
}

// trackedEngine is an engine with its locks.
type trackedEngine struct {
	calls chan struct{} // holds a token during a call, so that calls to one engine never overlap

	mu          sync.Mutex // guards the fields below; taken after the token of calls
	engine      engine
	stateReadAt time.Duration
}

// lock waits until no call to the engine is in progress.
func (r *trackedEngine) lock(ctx context.Context) error {
	select {
	case r.calls <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *trackedEngine) tryLock() bool {
	select {
	case r.calls <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *trackedEngine) unlock() { <-r.calls }

// NewManager returns a manager without engines.
func NewManager(settings Settings, holder *Holder, transport Transport) *Manager {
	return &Manager{settings: settings, holder: holder, transport: transport, engines: map[string]*trackedEngine{}}
}

// SetEngines replaces the set of engines by those of the newest announcements.
func (m *Manager) SetEngines(refs []EngineRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(refs))
	for _, ref := range refs {
		present[ref.Instance] = true
		rec, ok := m.engines[ref.Instance]
		if !ok {
			m.engines[ref.Instance] = &trackedEngine{calls: make(chan struct{}, 1), engine: engine{ref: ref}}
			continue
		}
		rec.mu.Lock()
		m.reportResult(rec.engine.observe(ref))
		rec.mu.Unlock()
	}
	for instance, rec := range m.engines {
		if !present[instance] {
			rec.mu.Lock()
			m.reportResult(rec.engine.end(OutcomeGone, "the engine left"))
			rec.mu.Unlock()
			delete(m.engines, instance)
		}
	}
}

// Order sends an order to an engine and returns its first status. If the answer is
// lost, the order stays outstanding and is sent again under its id.
func (m *Manager) Order(ctx context.Context, instance string, change Change) (engineapi.OrderStatus, error) {
	rec, ok := m.find(instance)
	if !ok {
		return engineapi.OrderStatus{}, m.countRefusal(&UnknownEngineError{Instance: instance})
	}
	if err := rec.lock(ctx); err != nil {
		return engineapi.OrderStatus{}, m.countRefusal(&NotSentError{Err: err})
	}
	defer rec.unlock()
	grant, ok := m.holder.Grant()
	if !ok {
		return engineapi.OrderStatus{}, m.countRefusal(&NotHolderError{Zone: m.holder.settings.Zone})
	}
	order, ref, err := m.begin(rec, grant, change, false)
	if err != nil {
		return engineapi.OrderStatus{}, m.countRefusal(err)
	}
	return m.send(ctx, rec, ref, order)
}

func (m *Manager) find(instance string) (*trackedEngine, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	rec, ok := m.engines[instance]
	return rec, ok
}

// begin makes a new order the outstanding one. The caller holds the token of rec.calls.
func (m *Manager) begin(rec *trackedEngine, grant Grant, change Change, fenceUpdate bool) (engineapi.Order, EngineRef, error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	m.reportResult(rec.engine.startLease(grant.Fence))
	if err := rec.engine.checkAdmission(m.settings.Clock(), grant); err != nil {
		var overtaken *OvertakenError
		if errors.As(err, &overtaken) {
			m.holder.dropGrant()
		}
		return engineapi.Order{}, EngineRef{}, err
	}
	order := engineapi.Order{
		ID:             rand.Text(),
		Fence:          grant.Fence,
		Kind:           change.Kind,
		Role:           change.Role,
		Model:          change.Model,
		DeadlineMillis: StartDeadline.Milliseconds(),
		Incarnation:    rec.engine.ref.Incarnation,
	}
	rec.engine.begin(order, grant, fenceUpdate)
	return order, rec.engine.ref, nil
}

// send sends the outstanding order. The caller holds the token of rec.calls.
func (m *Manager) send(ctx context.Context, rec *trackedEngine, ref EngineRef, order engineapi.Order) (engineapi.OrderStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	m.count("filberthook_orders_sent_total", "kind", string(order.Kind))
	status, err := m.transport.Order(ctx, ref, order, func() error { return m.holder.Check(order.Fence) })
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if err != nil {
		var notSent *NotSentError
		sent := !errors.As(err, &notSent)
		rec.engine.callFailed(order.ID, sent)
		if sent {
			m.count("filberthook_orders_unanswered_total", "kind", string(order.Kind))
		}
		return engineapi.OrderStatus{}, err
	}
	m.reportResult(rec.engine.applyStatus(status))
	return status, nil
}

func (m *Manager) logCallError(ref EngineRef, err error) {
	if err == nil {
		return
	}
	m.settings.Metrics.GetOrCreateCounter("filberthook_engine_call_errors_total").Inc()
	m.settings.Logger.Warn("call to engine failed, retrying shortly", "engine", ref.Instance, "err", err)
}

// reportResult counts, logs and reports the end of an order; nil is ignored.
func (m *Manager) reportResult(e *OrderResult) {
	if e == nil {
		return
	}
	m.count("filberthook_orders_ended_total", "outcome", string(e.Outcome))
	m.settings.Logger.Info("order ended", "engine", e.Instance, "order", e.Order.ID, "kind", e.Order.Kind,
		"fence", e.Order.Fence, "outcome", e.Outcome, "reason", e.Reason)
	if m.settings.OnEnded != nil && !e.FenceUpdate {
		m.settings.OnEnded(*e)
	}
}

func (m *Manager) count(name, label, value string) {
	m.settings.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Inc()
}

// countRefusal counts a refused order by its reason and returns the error.
func (m *Manager) countRefusal(err error) error {
	m.count("filberthook_orders_refused_total", "reason", refusalReason(err))
	return err
}

func refusalReason(err error) string {
	switch err.(type) {
	case *NotHolderError:
		return "not_holder"
	case *SettlingError:
		return "settling"
	case *UnknownEngineError:
		return "unknown_engine"
	case *StateUnreadError:
		return "state_unread"
	case *BusyError:
		return "busy"
	case *OvertakenError:
		return "overtaken"
	default:
		return "other"
	}
}
