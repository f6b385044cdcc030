package capacityreconciler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/duty"
	"filberthook/internal/control/staging"
	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// fakes are the leadership, the duty, the load and the platform. Their fields may be changed
// between two steps of virtual time.
type fakes struct {
	duty.Platform        // reports are not called
	term          uint64 // 0 while this host does not lead
	holds         bool
	loaded        bool
	answer        func(duty.Order) error
	list          []instances.Instance
	orders        []duty.Order
	r             *Reconciler
}

func (f *fakes) Leads() (uint64, bool) { return f.term, f.term != 0 }

func (f *fakes) Hold(context.Context) (duty.Call, bool) {
	return duty.Call{Holder: "c1", Fence: f.term}, f.holds
}

func (f *fakes) Demand() (map[string]staging.Demand, bool) {
	return map[string]staging.Demand{"lm": {PromptTokens: 700_000, OutputTokens: 29_500, PrefillEngines: 11.2, DecodeSlots: 230}}, f.loaded
}

func (f *fakes) PromptBacklog(string) int64 { return 0 }

func (f *fakes) Leaving(instances.Instance) bool { return false }

func (f *fakes) OrderInstances(_ context.Context, c duty.Call, o duty.Order) error {
	if c.Fence != f.term {
		return fmt.Errorf("fence %d in term %d", c.Fence, f.term)
	}
	f.orders = append(f.orders, o)
	return f.answer(o)
}

// play runs a Reconciler over 140 regular instances in virtual time.
func play(t *testing.T, f *fakes, script func()) {
	synctest.Test(t, func(t *testing.T) {
		for i := range 140 {
			in := instances.Instance{ID: fmt.Sprint(i), Zone: []string{"a", "b", "c", "d"}[i%4], Slots: 64, Stage: instances.Prefill}
			if i%5 == 0 {
				in.Stage = instances.Decode
			}
			f.list = append(f.list, in)
		}
		limits := map[string]routes.Autoscale{"lm": {Min: 1, Max: 70, Boot: 4 * time.Second, PreemptiblePrice: 0.18, ZonePrices: map[string]float64{"d": 2}}}
		f.r = &Reconciler{Group: f, Holder: f, Platform: f, Load: f, Limits: func() map[string]routes.Autoscale { return limits },
			Instances: func() *instances.Snapshot {
				return &instances.Snapshot{ByEndpoint: map[string][]instances.Instance{"lm": f.list}}
			}, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet()}
		script()
	})
}

// wait lets virtual time pass and returns the orders sent in it.
func (f *fakes) wait(d time.Duration) []duty.Order {
	f.orders = nil
	for range d / reconcileInterval {
		time.Sleep(reconcileInterval)
		f.r.step(context.Background())
	}
	return f.orders
}

// Guards against orders without the duty, from unknown demand, or from what an earlier term knew.
func TestOrdersNeedTheDutyAndKnownDemand(t *testing.T) {
	f := &fakes{answer: func(duty.Order) error { return nil }, loaded: true, holds: true}
	play(t, f, func() {
		none := func(d time.Duration, when string) {
			if got := f.wait(d); len(got) > 0 {
				t.Errorf("orders %s: %v", when, got)
			}
		}
		none(10*time.Second, "of a host that does not lead")
		f.term, f.holds = 3, false
		none(10*time.Second, "without the duty")
		f.term, f.loaded, f.holds = 4, false, true
		none(10*time.Second, "while the demand is unknown")
		f.loaded = true
		none(3*time.Second, "before the demand has been known for a while")
		got := f.wait(2 * time.Second)
		if len(got) == 0 || got[0].Zone != "d" || got[0].Preemptible || got[0].Desired >= 35 {
			t.Errorf("orders %v, want the dearest zone to give back first", got)
		}
		f.term = 5
		none(3*time.Second, "at the beginning of a term")
	})
}

// Guards against an order that is repeated after a refusal or a lost answer, and against calls
// over the platform's rate.
func TestAnswersOfThePlatform(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		most    int // times that one order is sent in 5 s
		outcome string
	}{
		{"accepted", nil, 1, outcomeAccepted},
		{"no instances", &duty.UnavailableError{}, 1, outcomeUnavailable},
		{"lost answer", errors.New("connection reset"), 1, outcomeUnknown},
		{"failing platform", &duty.StatusError{Status: 500}, 1, outcomeUnknown},
		{"refused", &duty.StatusError{Status: 404}, 1, outcomeRefused},
		{"rate", &duty.RateError{RetryAfter: 2 * time.Second}, 3, outcomeLimited},
	}
	for _, tt := range tests {
		f := &fakes{term: 1, holds: true, loaded: true, answer: func(duty.Order) error { return tt.err }}
		play(t, f, func() {
			times := map[duty.Order]int{}
			for _, o := range f.wait(9 * time.Second) {
				if times[o]++; times[o] > tt.most {
					t.Errorf("%s: %+v was sent %d times, want at most %d", tt.name, o, times[o], tt.most)
				}
			}
			counted := uint64(0)
			for _, labels := range []string{`kind="preemptible",reason="substitute"`, `kind="regular",reason="idle"`} {
				counted += f.r.Metrics.GetOrCreateCounter(fmt.Sprintf("filberthook_control_instance_orders_total{%s,outcome=%q}", labels, tt.outcome)).Get()
			}
			if len(f.orders) == 0 || counted != uint64(len(f.orders)) {
				t.Errorf("%s: %d of %d orders are counted as %s", tt.name, counted, len(f.orders), tt.outcome)
			}
		})
	}
}
