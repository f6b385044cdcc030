package controlhost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/duty"
	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// recordedInstanceOrders are the orders that the platform got.
type recordedInstanceOrders struct {
	duty.Platform // reports are not called
	mu            sync.Mutex
	orders        []duty.Order
	holders       map[string]bool
}

func (r *recordedInstanceOrders) OrderInstances(_ context.Context, c duty.Call, o duty.Order) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
	r.holders[c.Holder] = true
	return nil
}

// Guards against a control host that gets the configuration, heartbeats and reports and orders
// nothing, against orders for endpoints that do not ask for them, and against orders of two hosts.
func TestTheLeaderOrdersInstances(t *testing.T) { // alone: parallel tests of the package measure times
	g := newGroup(t, 1, 2, 3)
	api := &recordedInstanceOrders{holders: map[string]bool{}}
	g.heartbeat = time.Minute
	g.prepare = func(_ int, m *membership) {
		m.host.UseDuties(api, duty.Set{Instances: true})
		m.host.OrderInstances(func([]byte) (*routes.Config, error) {
			ordered := &routes.Autoscale{Min: 1, Max: 70, Boot: time.Second, PreemptiblePrice: 0.2}
			return &routes.Config{Endpoints: map[string]routes.Endpoint{"lm": {Autoscale: ordered}, "other": {}}}, nil
		})
	}
	for n := 1; n <= 3; n++ {
		h := g.start(n, true)
		for i := range 80 {
			in := sound(i, 1)
			in.ID, in.Endpoint, in.Zone, in.Slots, in.Stage = fmt.Sprint("e", i), []string{"lm", "other"}[i%2], fmt.Sprint("z", i/2%2), 64, instances.Decode
			in.Address = fmt.Sprintf("10.1.0.%d:80", i+1)
			if i%8 > 1 {
				in.Stage = instances.Prefill
			}
			if err := h.Announce(t.Context(), in); err != nil {
				t.Fatal(err)
			}
		}
	}
	accept(t, g.nodes[1].host, 1, "one")
	work := controlapi.Demand{PromptTokens: 120_000, OutputTokens: 5000, DecodeSlots: 40, PrefillEngines: 2}
	eventually(t, 30*time.Second, "instances given back", func() bool {
		for n := 1; n <= 3; n++ {
			report := controlapi.LoadReport{IntervalMS: 1000, Demand: map[string]controlapi.Demand{"lm": work, "other": work}}
			g.nodes[n].host.loads.exchange("entry", report, time.Now()) // keeps the maps of the report
		}
		api.mu.Lock()
		defer api.mu.Unlock()
		for _, o := range api.orders {
			if o.Endpoint != "lm" {
				t.Fatalf("%+v: its configuration asks for no orders", o)
			}
			if !o.Preemptible && o.Desired < 20 {
				return true
			}
		}
		return false
	})
	api.mu.Lock()
	defer api.mu.Unlock()
	if len(api.holders) != 1 {
		t.Errorf("orders of %v, want one host", api.holders)
	}
}
