package zoneplanner

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"filberthook/internal/control/authority"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/demand"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/engines/planner"
	"filberthook/internal/serve/routing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
)

// fakeZone is a zone with fake engines that execute orders at once. It implements
// Orders, and fails the test if an order would interrupt a request.
type fakeZone struct {
	t           *testing.T
	now         time.Duration
	dir         *directory.Directory
	engines     map[string]*engineapi.Announcement
	orders      []string
	config      fleet.Snapshot
	statesKnown bool // the lease is held and the states are read
	failOrder   engineapi.OrderKind
	planner     *Planner
}

func newFakeZone(t *testing.T, roles ...engineapi.Role) *fakeZone {
	w := &fakeZone{t: t, dir: directory.New(), engines: map[string]*engineapi.Announcement{}, statesKnown: true}
	w.config.Policy = fleet.Policy{GoodputWeight: 1, RoleChangeWeight: 1, MaxRoleChangesPerHour: 60}
	for i, role := range roles {
		name := fmt.Sprintf("w%d", i+1)
		w.engines[name] = &engineapi.Announcement{
			Instance: name, Incarnation: 1, Kind: engineapi.KindModel, Zone: "bio",
			Address: "127.0.0.1:9000", KVBlocks: 100, LeaseSeconds: 3,
			State: engineapi.EngineState{Role: role, Models: []engineapi.Model{{Name: "m", Version: "1"}}},
		}
	}
	cfg := routing.DefaultConfig()
	w.planner = New(Settings{
		Zone:    "bio",
		Now:     func() time.Duration { return w.now },
		Planner: planner.DefaultConfig(),
		NewPlanner: func(c planner.Config) *planner.Planner {
			return planner.New(c, cfg.Costs, cfg.Targets.Summary.FirstToken.Duration)
		},
		DrainLimit: 10 * time.Second,
		Logger:     slog.New(slog.DiscardHandler),
		Metrics:    metrics.NewSet(),
	}, w, w.dir, demand.NewAggregator(), w)
	return w
}

// Snapshot implements Configuration.
func (w *fakeZone) Snapshot() *fleet.Snapshot { return &w.config }

// SetEngines implements Orders.
func (w *fakeZone) SetEngines([]authority.EngineRef) {}

// Views implements Orders.
func (w *fakeZone) Views() []authority.View {
	var out []authority.View
	for i := range len(w.engines) {
		a := w.engines[fmt.Sprintf("w%d", i+1)]
		ref := authority.EngineRef{Instance: a.Instance, Incarnation: a.Incarnation, Draining: a.Draining}
		out = append(out, authority.View{Ref: ref, State: a.State, Known: w.statesKnown})
	}
	return out
}

// Order implements Orders.
func (w *fakeZone) Order(_ context.Context, instance string, c authority.Change) (engineapi.OrderStatus, error) {
	a := w.engines[instance]
	w.orders = append(w.orders, fmt.Sprintf("%s %s", c.Kind, instance))
	changes := c.Kind != engineapi.OrderDrain && c.Kind != engineapi.OrderUndrain
	if changes && (a.Load.Running > 0 || !a.State.Drained) {
		w.t.Errorf("%s of %s would interrupt %d requests, drained %v", c.Kind, instance, a.Load.Running, a.State.Drained)
	}
	if c.Kind == w.failOrder {
		return engineapi.OrderStatus{Phase: engineapi.OrderFailed}, nil
	}
	switch c.Kind {
	case engineapi.OrderDrain:
		a.State.Drained = true
	case engineapi.OrderUndrain:
		a.State.Drained = false
	case engineapi.OrderSetRole:
		a.State.Role = c.Role
	case engineapi.OrderLoadModel:
		a.State.Models = []engineapi.Model{c.Model}
	}
	return engineapi.OrderStatus{Phase: engineapi.OrderDone}, nil
}

// step makes all engines announce themselves and runs one tick of the planner.
func (w *fakeZone) step() {
	w.now += tickInterval
	for _, a := range w.engines {
		a.Sequence++
		a.Load.Sequence++
		if _, err := w.dir.Put(w.now, *a); err != nil {
			w.t.Fatal(err)
		}
	}
	w.planner.tick(context.Background())
}

func (w *fakeZone) steps(n int) {
	for range n {
		w.step()
	}
}

func (w *fakeZone) expectOrders(want ...string) {
	w.t.Helper()
	if diff := cmp.Diff(want, w.orders); diff != "" {
		w.t.Errorf("orders (-want +got):\n%s", diff)
	}
}

func (w *fakeZone) declare(engine, version string) {
	w.config.Declarations = map[string]fleet.Declaration{
		engine: {Engine: engine, Models: []engineapi.Model{{Name: "m", Version: version}}},
	}
}

func TestChangeDrainsFirstAndWaitsForRequests(t *testing.T) {
	w := newFakeZone(t, engineapi.RoleMixed, engineapi.RoleMixed)
	w.declare("w1", "2")
	w.engines["w1"].Load.Running = 3
	w.steps(8)
	w.expectOrders("drain w1")
	w.engines["w1"].Load.Running = 0
	w.steps(6)
	w.expectOrders("drain w1", "load_model w1", "undrain w1")
	if got := w.engines["w1"].State.Models[0].Version; got != "2" {
		t.Errorf("version %s, want 2", got)
	}
}

func TestDrainTimeoutAbortsTheChange(t *testing.T) {
	w := newFakeZone(t, engineapi.RoleMixed, engineapi.RoleMixed)
	w.declare("w1", "2")
	w.engines["w1"].Load.Running = 1
	w.steps(4)
	w.config.Declarations = nil // so that the change is not retried
	w.steps(50)
	w.expectOrders("drain w1", "undrain w1")
}

func TestFailedChangeUndrainsTheEngine(t *testing.T) {
	w := newFakeZone(t, engineapi.RoleMixed, engineapi.RoleMixed)
	w.failOrder = engineapi.OrderLoadModel
	w.declare("w1", "2")
	w.steps(3)
	w.config.Declarations = nil
	w.steps(8)
	w.expectOrders("drain w1", "load_model w1", "undrain w1")
}

func TestLastEngineOfAModelIsNotChanged(t *testing.T) {
	w := newFakeZone(t, engineapi.RoleMixed)
	w.declare("w1", "2")
	w.steps(10)
	w.expectOrders()
}

func TestNewLeaseHolderUndrainsEngines(t *testing.T) {
	w := newFakeZone(t, engineapi.RoleMixed, engineapi.RoleMixed)
	w.engines["w2"].State.Drained = true
	w.steps(3)
	w.expectOrders("undrain w2")
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	w := newFakeZone(t, engineapi.RoleMixed, engineapi.RoleMixed)
	w.statesKnown = false
	w.declare("w1", "2")
	w.engines["w2"].State.Drained = true
	w.steps(10)
	w.expectOrders()
}

func TestEngineRestartEndsTheChange(t *testing.T) {
	w := newFakeZone(t, engineapi.RoleMixed, engineapi.RoleMixed)
	w.declare("w1", "2")
	w.engines["w1"].Load.Running = 1
	w.steps(3)
	w.config.Declarations = nil
	a := w.engines["w1"]
	a.Incarnation, a.State.Drained, a.Load.Running = 2, false, 0
	w.steps(5)
	w.expectOrders("drain w1")
}

// TestPlannerChangesRolesByDemand checks the whole path from the demand reported
// by the zone's hosts to a role change.
func TestPlannerChangesRolesByDemand(t *testing.T) {
	w := newFakeZone(t, engineapi.RolePrefill, engineapi.RoleDecode, engineapi.RoleDecode, engineapi.RoleDecode, engineapi.RoleDecode, engineapi.RoleDecode)
	for i := range 800 {
		rates := demand.Rates{Requests: 10, PromptTokens: 30_000, OutputTokens: 1500, ContextTokens: 31_500}
		w.planner.demand.Put(w.now, demand.Report{Host: "e1", Sequence: uint64(i + 1), Rates: rates, MadeAt: w.now})
		w.step()
	}
	roles := map[engineapi.Role]int{}
	for _, a := range w.engines {
		roles[a.State.Role]++
		if a.State.Drained {
			t.Errorf("%s is left drained", a.Instance)
		}
	}
	if roles[engineapi.RoleDecode] == 5 {
		t.Errorf("roles %v under heavy prompts, want fewer decode engines", roles)
	}
	if roles[engineapi.RoleDecode] == 0 {
		t.Errorf("roles %v: the last decode engine was taken", roles)
	}
}
