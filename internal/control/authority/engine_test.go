package authority

import (
	"errors"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
)

var (
	first  = EngineRef{Instance: "e1", Incarnation: 2, ChecksFence: true}
	holder = Grant{Fence: 5, ValidUntil: time.Minute}
)

// withOrder returns an engine with an outstanding order o1 under fence 5.
func withOrder() *engine {
	e := &engine{ref: first, stateFence: holder.Fence}
	e.begin(engineapi.Order{ID: "o1", Fence: holder.Fence}, holder, false)
	return e
}

func TestEndOfAnOrder(t *testing.T) {
	answer := func(phase engineapi.OrderPhase) func(*engine) *OrderResult {
		return func(e *engine) *OrderResult { return e.applyStatus(engineapi.OrderStatus{ID: "o1", Phase: phase}) }
	}
	announced := func(incarnation uint64) func(*engine) *OrderResult {
		return func(e *engine) *OrderResult { return e.observe(EngineRef{Instance: "e1", Incarnation: incarnation}) }
	}
	tests := []struct {
		name  string
		event func(*engine) *OrderResult
		want  Outcome // empty when the order stays outstanding
	}{
		{"running", answer(engineapi.OrderRunning), ""},
		{"done", answer(engineapi.OrderDone), OutcomeDone},
		{"failed", answer(engineapi.OrderFailed), OutcomeFailed},
		{"rejected", answer(engineapi.OrderRejected), OutcomeRejected},
		{"answer about another order", func(e *engine) *OrderResult {
			return e.applyStatus(engineapi.OrderStatus{ID: "o0", Phase: engineapi.OrderDone})
		}, ""},
		{"announced again", announced(2), ""},
		{"late announcement of an earlier run", announced(1), ""},
		{"engine restarted", announced(3), OutcomeCrashed},
		{"engine forgot the order", func(e *engine) *OrderResult { return e.applyUnknownOrder("o1") }, OutcomeCrashed},
		{"lease changed", func(e *engine) *OrderResult { return e.startLease(6) }, OutcomeSuperseded},
		{"lease renewed", func(e *engine) *OrderResult { return e.startLease(5) }, ""},
		{"never sent", func(e *engine) *OrderResult { e.callFailed("o1", false); return nil }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := withOrder()
			ended := tt.event(e)
			if (ended != nil) != (tt.want != "") || ended != nil && ended.Outcome != tt.want {
				t.Fatalf("got %+v, want outcome %q", ended, tt.want)
			}
			if ended != nil && (e.order != nil || e.stateFence != 0) {
				t.Error("the next order would be sent without reading the state again")
			}
		})
	}
}

func TestUnansweredOrderStaysOutstanding(t *testing.T) {
	e := withOrder()
	e.callFailed("o1", true)
	e.callFailed("o1", false) // the second attempt was not sent, the first may have been
	if e.order == nil {
		t.Error("an order that may have arrived was forgotten")
	}
	e = withOrder()
	e.callFailed("o1", false)
	if e.order != nil {
		t.Error("an order that was not sent is still outstanding")
	}
}

func TestOvertakenHolderSendsNothing(t *testing.T) {
	e := &engine{ref: first, stateFence: holder.Fence, state: engineapi.EngineState{Fence: holder.Fence + 1}}
	var overtaken *OvertakenError
	if err := e.checkAdmission(0, holder); !errors.As(err, &overtaken) {
		t.Errorf("got %v", err)
	}
}

func TestForeignOrderIsNoticed(t *testing.T) {
	tests := []struct {
		name    string
		running engineapi.OrderStatus
		foreign bool
	}{
		{"none", engineapi.OrderStatus{}, false},
		{"own", engineapi.OrderStatus{ID: "o1", Fence: 5}, false},
		{"of another lease", engineapi.OrderStatus{ID: "x", Fence: 4}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, foreign := withOrder().applyState(5, 2, engineapi.EngineState{Outstanding: tt.running})
			if foreign != tt.foreign {
				t.Errorf("foreign %t, want %t", foreign, tt.foreign)
			}
		})
	}
}

func TestStateOfAnotherIncarnationIsNotTaken(t *testing.T) {
	e := &engine{ref: first}
	e.applyState(5, first.Incarnation+1, engineapi.EngineState{})
	if e.stateFence != 0 {
		t.Error("the state was taken")
	}
}
