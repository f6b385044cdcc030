package deployment_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/bench/deployment"
	"filberthook/internal/bench/loadgen"
	"filberthook/internal/engines/fleet"

	"connectrpc.com/connect"
)

const (
	testTimeout = 60 * time.Second
	pause       = 20 * time.Millisecond
	model       = "m"
	endpoint    = "chat"
	engineSpeed = 10
)

// start starts a small deployment with one endpoint and a team approved for it. It returns
// the team's key.
func start(t *testing.T, ctx context.Context, engines int) (*deployment.Deployment, string) {
	t.Helper()
	o := deployment.Options{Dir: t.TempDir(), Zones: []string{"bio"}, Controls: 1, EntriesPerZone: 2}
	for i := range engines {
		o.Engines = append(o.Engines, deployment.Engine{
			Name: fmt.Sprintf("w%d", i+1), Zone: "bio", Model: deployment.EngineModel(model), Speed: engineSpeed,
		})
	}
	d, err := deployment.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	})
	key, sum := fleet.NewKey()
	apply(t, ctx, d,
		&filberthookv1.Change{Change: &filberthookv1.Change_CreateEndpoint{CreateEndpoint: &filberthookv1.CreateEndpoint{Endpoint: &filberthookv1.Endpoint{
			Name: endpoint, Owner: "ops", Kind: filberthookv1.Kind_KIND_MODEL, Repeatable: true, DefaultDeadlineMs: 30_000, Model: model,
		}}}},
		&filberthookv1.Change{Change: &filberthookv1.Change_CreateTeam{CreateTeam: &filberthookv1.CreateTeam{
			Team: "team", Key: &filberthookv1.TeamKey{Id: "k", Sha256: string(sum)},
		}}},
		&filberthookv1.Change{Change: &filberthookv1.Change_ApproveTeam{ApproveTeam: &filberthookv1.ApproveTeam{Endpoint: endpoint, Team: "team"}}},
	)
	if err := d.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return d, key
}

// apply applies changes at the newest revision. It retries while the control group has no
// leader.
func apply(t *testing.T, ctx context.Context, d *deployment.Deployment, changes ...*filberthookv1.Change) {
	t.Helper()
	operator := d.Operator(0, d.AdminKey())
	for {
		current, err := operator.GetConfiguration(ctx, connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
		if err == nil {
			revision := current.Msg.GetConfiguration().GetRevision()
			_, err = operator.Apply(ctx, connect.NewRequest(&filberthookv1.ApplyRequest{
				ChangeId: fmt.Sprint("c", revision), ExpectedRevision: &revision, Changes: changes,
			}))
		}
		if err == nil {
			return
		}
		if connect.CodeOf(err) != connect.CodeUnavailable {
			t.Fatal(err)
		}
		time.Sleep(pause)
	}
}

// callers stream answers through all entry hosts until stop is closed, and collect
// incomplete answers.
type callers struct {
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	ok   int      // complete answers; guarded by mu
	bad  []string // guarded by mu
}

func startCallers(ctx context.Context, d *deployment.Deployment, key string, perEntry int) *callers {
	c := &callers{stop: make(chan struct{})}
	for _, e := range d.Entries {
		for i := range perEntry {
			c.done.Go(func() { c.run(ctx, e.Callers, key, fmt.Sprint(e.Name, i)) })
		}
	}
	return c
}

func (c *callers) run(ctx context.Context, address, key, name string) {
	caller := loadgen.NewCaller(address, key)
	defer caller.Close()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		r := caller.Chat(ctx, loadgen.Chat{
			Model: endpoint, Engine: model, MaxTokens: 60, Stream: true,
			Prompt: fmt.Sprintf("%s call %d [out=60]", name, i),
		})
		c.mu.Lock()
		if r.Outcome == loadgen.Whole {
			c.ok++
		} else {
			c.bad = append(c.bad, fmt.Sprintf("%s: %s %s %v", name, r.Outcome, r.Code, r.Err))
		}
		c.mu.Unlock()
	}
}

func (c *callers) finish(t *testing.T) {
	t.Helper()
	close(c.stop)
	c.done.Wait()
	if len(c.bad) > 0 || c.ok == 0 {
		t.Errorf("%d complete answers; incomplete: %v", c.ok, c.bad)
	}
}

// await waits until ok returns true, and fails the test when ctx ends first.
func await(t *testing.T, ctx context.Context, what string, ok func() bool) {
	t.Helper()
	for !ok() {
		if ctx.Err() != nil {
			t.Fatalf("%s: not reached before the deadline", what)
		}
		time.Sleep(pause)
	}
}

// TestVersionChangeAbortsNoStream changes the declared model version of both engines under
// load: no answer may be incomplete, no request aborted and no order in conflict.
func TestVersionChangeAbortsNoStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, key := start(t, ctx, 2)
	load := startCallers(ctx, d, key, 3)
	var changes []*filberthookv1.Change
	for _, e := range d.Engines {
		changes = append(changes, &filberthookv1.Change{Change: &filberthookv1.Change_SetDeclaration{SetDeclaration: &filberthookv1.SetDeclaration{
			Declaration: &filberthookv1.Declaration{Engine: e.Name, Models: []*filberthookv1.Model{{Name: model, Version: "2"}}},
		}}})
	}
	apply(t, ctx, d, changes...)
	for _, e := range d.Engines {
		await(t, ctx, e.Name+" has version 2 and accepts requests", func() bool {
			s := e.Engine.State()
			return len(s.Models) == 1 && s.Models[0].Version == "2" && !s.Drained && s.Outstanding.ID == ""
		})
	}
	load.finish(t)
	for _, e := range d.Engines {
		if counts := e.Engine.OrderCounts(); counts.Aborted != 0 || counts.Conflicts != 0 {
			t.Errorf("%s: order counts %+v, want no aborted request and no conflicting order", e.Name, counts)
		}
	}
}

// TestVersionChangeSurvivesPlannerHostStop stops the entry host that runs the planner while
// an engine drains; the other host must finish the change.
func TestVersionChangeSurvivesPlannerHostStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, _ := start(t, ctx, 2)
	engine := d.Engines[0]
	apply(t, ctx, d, &filberthookv1.Change{Change: &filberthookv1.Change_SetDeclaration{SetDeclaration: &filberthookv1.SetDeclaration{
		Declaration: &filberthookv1.Declaration{Engine: engine.Name, Models: []*filberthookv1.Model{{Name: model, Version: "2"}}},
	}}})
	await(t, ctx, "the change begins", func() bool { return engine.Engine.State().Drained })
	if err := d.Entries[0].Stop(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, "the engine has version 2 and accepts requests", func() bool {
		s := engine.Engine.State()
		return s.Models[0].Version == "2" && !s.Drained && s.Outstanding.ID == ""
	})
	if counts := engine.Engine.OrderCounts(); counts.Conflicts != 0 {
		t.Errorf("order counts %+v, want no conflicting order", counts)
	}
}
