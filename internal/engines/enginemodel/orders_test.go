package enginemodel

import (
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
)

func roleOrder(id string, fence uint64, role engineapi.Role) engineapi.Order {
	return engineapi.Order{ID: id, Fence: fence, Kind: engineapi.OrderSetRole, Role: role, Incarnation: 1}
}

func TestOrdersAreRejected(t *testing.T) {
	first := roleOrder("first", 5, engineapi.RoleDecode)
	tests := []struct {
		name   string
		checks bool
		at     time.Duration
		order  engineapi.Order
		phase  engineapi.OrderPhase
		counts OrderCounts
	}{
		{"second while running", true, 0, roleOrder("b", 5, engineapi.RolePrefill), engineapi.OrderRejected, OrderCounts{Accepted: 1, Conflicts: 1}},
		{"repeated", true, 0, first, engineapi.OrderRunning, OrderCounts{Accepted: 1}},
		{"old fence, checked", true, time.Minute, roleOrder("b", 4, engineapi.RolePrefill), engineapi.OrderRejected, OrderCounts{Accepted: 1, OldFence: 1}},
		{"old fence, ignored", false, time.Minute, roleOrder("b", 4, engineapi.RolePrefill), engineapi.OrderRunning, OrderCounts{Accepted: 2, StaleTaken: 1}},
		{"other incarnation", true, time.Minute, engineapi.Order{ID: "b", Fence: 5, Kind: engineapi.OrderDrain, Incarnation: 2}, engineapi.OrderRejected, OrderCounts{Accepted: 1, Misdirect: 1}},
		{"unknown role", true, time.Minute, roleOrder("b", 5, "cook"), engineapi.OrderRejected, OrderCounts{Accepted: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.ChecksFence = tt.checks
			e := New(cfg)
			if got := e.Order(0, first).Phase; got != engineapi.OrderRunning {
				t.Fatalf("first order is %s, want running", got)
			}
			if got := e.Order(tt.at, tt.order); got.Phase != tt.phase {
				t.Errorf("order is %s (%s), want %s", got.Phase, got.Reason, tt.phase)
			}
			if got := e.OrderCounts(); got != tt.counts {
				t.Errorf("counts = %+v, want %+v", got, tt.counts)
			}
		})
	}
}

func TestRoleChangeAbortsUndrainedRequests(t *testing.T) {
	cfg := testConfig()
	cfg.MaxBatch = 1
	e := New(cfg)
	submit(t, e, 0, request("running", 100, 50))
	submit(t, e, 0, request("waiting", 100, 50))
	_, now, _ := e.Step(0)
	e.Order(now, roleOrder("o", 1, engineapi.RoleDecode))
	events, end, busy := e.Step(now)
	if busy || end != now+DefaultRoleChange {
		t.Errorf("Step during the change = %v, busy %v; want idle until %v", end, busy, now+DefaultRoleChange)
	}
	if count(events, "running", EventAborted) != 1 || count(events, "waiting", EventNotRun) != 1 {
		t.Errorf("events = %+v, want running aborted and waiting not run", events)
	}
	if err := e.Submit(now, request("x", 1, 1)); err == nil {
		t.Error("request accepted during a role change")
	}
	if got := e.State(end).Role; got != engineapi.RoleDecode {
		t.Errorf("role after the change = %s, want decode", got)
	}
}

func TestLoadAndDrainOrders(t *testing.T) {
	e := New(testConfig())
	load := engineapi.Order{ID: "l", Kind: engineapi.OrderLoadModel, Model: engineapi.Model{Name: "n", Version: "2"}, Incarnation: 1}
	e.Order(0, load)
	submit(t, e, 0, request("other", 10, 1))
	if err := e.Submit(0, Request{ID: "x", Model: "n"}); err == nil {
		t.Error("request accepted for a model that is still loading")
	}
	now := DefaultModelLoad
	submit(t, e, now, Request{ID: "x", Model: "n", PromptTokens: 5, OutputTokens: 1})
	e.Order(now, engineapi.Order{ID: "d", Kind: engineapi.OrderDrain, Incarnation: 1})
	if err := e.Submit(now, request("y", 1, 1)); err == nil {
		t.Error("request accepted while draining")
	}
	if events, _ := run(t, e, now); count(events, "x", EventFinished) != 1 {
		t.Error("draining ended a request that was accepted before")
	}
}

func TestVersionChangeAbortsOnlyItsModel(t *testing.T) {
	cfg := testConfig()
	cfg.Models = append(cfg.Models, engineapi.Model{Name: "n", Version: "1"})
	e := New(cfg)
	submit(t, e, 0, request("m", 10, 5))
	submit(t, e, 0, Request{ID: "n", Model: "n", PromptTokens: 10, OutputTokens: 5})
	_, now, _ := e.Step(0)
	e.Order(now, engineapi.Order{ID: "l", Kind: engineapi.OrderLoadModel, Model: engineapi.Model{Name: "n", Version: "2"}, Incarnation: 1})
	events, _ := run(t, e, now)
	if count(events, "n", EventAborted) != 1 || count(events, "m", EventFinished) != 1 {
		t.Errorf("events = %+v, want n aborted and m finished", events)
	}
}
