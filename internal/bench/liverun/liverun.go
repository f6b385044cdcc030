// Package liverun replays a trace of the policy experiment in real time against a
// deployment of entry hosts, control replicas and stand-ins on loopback, to
// compare the experiment's model with the running system.
//
// Delays between availability zones are not simulated; loopback has none.
package liverun

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/bench/deployment"
	"filberthook/internal/bench/experiment"
	"filberthook/internal/bench/loadgen"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/settings"

	"connectrpc.com/connect"
)

// Model and endpoint that the trace calls.
const (
	model    = "assist-7b"
	endpoint = "assist"
)

// Timing of a run.
const (
	settleTime      = 3 * time.Second // for announcements and the first lease
	drainTime       = 60 * time.Second
	applyRetryDelay = 50 * time.Millisecond
	defaultDeadline = 60 * time.Second // of calls that set none
	serviceDelay    = 30 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Scenario    string
	Seed        uint64
	Offered     int // calls after the warm-up; only these are counted
	Good        int
	Late        int // complete, but outside the latency targets
	Refused     int
	Failed      int
	Wrong       int // incorrect answers
	RoleChanges uint64
	FirstToken  loadgen.Quantiles
	GapP95      loadgen.Quantiles
}

// Share returns the fraction of offered calls that were good.
func (r *Report) Share() float64 { return float64(r.Good) / float64(max(1, r.Offered)) }

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "live %s seed %d: good %d of %d offered (%.4f), late %d, refused %d, failed %d, wrong %d, role changes %d\n",
		r.Scenario, r.Seed, r.Good, r.Offered, r.Share(), r.Late, r.Refused, r.Failed, r.Wrong, r.RoleChanges)
	fmt.Fprintf(w, "  first token %s\n  gap p95     %s\n", r.FirstToken, r.GapP95)
}

// run is the state of a run.
type run struct {
	scenario *experiment.Scenario
	dep      *deployment.Deployment
	keys     map[string]string          // key by team
	callers  map[string]*loadgen.Caller // by team and entry host

	mu         sync.Mutex // guards the fields below
	report     Report
	firstToken *loadgen.Latencies
	gapP95     *loadgen.Latencies
}

// Run replays a scenario's trace. It refuses scenarios with fleet events, which
// the fault runs cover.
func Run(ctx context.Context, s *experiment.Scenario, seed uint64, dir string, logger *slog.Logger) (*Report, error) {
	if len(s.Events) > 0 {
		return nil, fmt.Errorf("scenario %s has fleet events: choose one without, or use the faults command", s.Name)
	}
	dep, err := deployment.Start(options(s, dir, logger))
	if err != nil {
		return nil, err
	}
	r := &run{
		scenario:   s,
		dep:        dep,
		keys:       make(map[string]string),
		callers:    make(map[string]*loadgen.Caller),
		report:     Report{Scenario: s.Name, Seed: seed},
		firstToken: loadgen.NewLatencies(),
		gapP95:     loadgen.NewLatencies(),
	}
	err = r.replay(ctx, s.Trace(seed))
	if stopErr := dep.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return nil, err
	}
	return &r.report, nil
}

// options returns a deployment that matches the scenario's fleet.
func options(s *experiment.Scenario, dir string, logger *slog.Logger) deployment.Options {
	o := deployment.Options{Dir: dir, Controls: 3, EntriesPerZone: s.Fleet.EntriesPerZone, Logger: logger}
	o.Entry = func(e *settings.Entry) {
		e.Routing, e.Admission, e.Planner = s.Fleet.Routing, s.Fleet.Admission, s.Fleet.Planner
	}
	for i := range s.Fleet.Zones {
		z := &s.Fleet.Zones[i]
		o.Zones = append(o.Zones, z.Name)
		for n := range z.Prefill + z.Decode {
			role := engineapi.RoleDecode
			if n < z.Prefill {
				role = engineapi.RolePrefill
			}
			o.Engines = append(o.Engines, deployment.Engine{Name: fmt.Sprintf("%s-engine-%d", z.Name, n+1), Zone: z.Name, Model: engineConfig(s, role), Speed: 1})
		}
		for n := range z.Services {
			for _, service := range plainServices(s) {
				o.Services = append(o.Services, deployment.Service{Name: fmt.Sprintf("%s-%s-%d", z.Name, service, n+1), Zone: z.Name, Endpoint: service, Duration: serviceDelay})
			}
		}
	}
	return o
}

func engineConfig(s *experiment.Scenario, role engineapi.Role) enginemodel.Config {
	cfg := deployment.EngineModel(model)
	cfg.Role = role
	cfg.KVBlocks = s.Fleet.KVBlocks
	cfg.LoadReportLag = s.Fleet.Lags.LoadReport.Duration
	cfg.CacheEventLag = s.Fleet.Lags.CacheEvent.Duration
	cfg.CacheEventLossEvery = s.Fleet.Lags.CacheLossEvery
	cfg.RoleChange = s.Fleet.Planner.ChangeTime.Duration
	return cfg
}

// plainServices returns the distinct endpoints of plain services.
func plainServices(s *experiment.Scenario) []string {
	var out []string
	seen := make(map[string]bool)
	for _, w := range s.Fleet.Workloads {
		if w.Endpoint != "" && !seen[w.Endpoint] {
			seen[w.Endpoint] = true
			out = append(out, w.Endpoint)
		}
	}
	return out
}

// replay configures the deployment and sends each call at its time in the trace.
func (r *run) replay(ctx context.Context, calls []experiment.Call) error {
	if err := r.configure(ctx, calls); err != nil {
		return err
	}
	if err := r.dep.AwaitReady(ctx); err != nil {
		return err
	}
	if !pause.For(ctx, settleTime) {
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Duration.Duration+drainTime)
	defer cancel()
	start := time.Now()
	var inFlight sync.WaitGroup
	for i := range calls {
		if !pause.For(ctx, calls[i].At-time.Since(start)) {
			break
		}
		inFlight.Go(func() { r.call(ctx, &calls[i], i) })
	}
	inFlight.Wait()
	r.report.FirstToken, r.report.GapP95 = r.firstToken.Quantiles(), r.gapP95.Quantiles()
	r.report.RoleChanges = r.roleChanges()
	return nil
}

// configure creates the endpoints and the calling teams.
func (r *run) configure(ctx context.Context, calls []experiment.Call) error {
	changes := []*filberthookv1.Change{createEndpoint(endpoint, filberthookv1.Kind_KIND_MODEL)}
	endpoints := []string{endpoint}
	for _, service := range plainServices(r.scenario) {
		changes = append(changes, createEndpoint(service, filberthookv1.Kind_KIND_SERVICE))
		endpoints = append(endpoints, service)
	}
	for i := range calls {
		team := calls[i].Team
		if r.keys[team] != "" {
			continue
		}
		key, sum := fleet.NewKey()
		r.keys[team] = key
		changes = append(changes, &filberthookv1.Change{Change: &filberthookv1.Change_CreateTeam{CreateTeam: &filberthookv1.CreateTeam{
			Team: team, Key: &filberthookv1.TeamKey{Id: "first", Sha256: string(sum)},
		}}})
		for _, e := range endpoints {
			changes = append(changes, &filberthookv1.Change{Change: &filberthookv1.Change_ApproveTeam{ApproveTeam: &filberthookv1.ApproveTeam{Endpoint: e, Team: team}}})
		}
	}
	for team, key := range r.keys {
		for _, e := range r.dep.Entries {
			r.callers[team+" "+e.Name] = loadgen.NewCaller(e.Callers, key)
		}
	}
	return r.apply(ctx, changes)
}

func createEndpoint(name string, kind filberthookv1.Kind) *filberthookv1.Change {
	e := &filberthookv1.Endpoint{Name: name, Owner: "operations", Kind: kind, DefaultDeadlineMs: defaultDeadline.Milliseconds()}
	if kind == filberthookv1.Kind_KIND_MODEL {
		e.Model, e.Repeatable = model, true
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_CreateEndpoint{CreateEndpoint: &filberthookv1.CreateEndpoint{Endpoint: e}}}
}

// apply applies the changes to the empty configuration and retries until a
// leader has been elected.
func (r *run) apply(ctx context.Context, changes []*filberthookv1.Change) error {
	operator := r.dep.Operator(0, r.dep.AdminKey())
	revision := uint64(0)
	for {
		_, err := operator.Apply(ctx, connect.NewRequest(&filberthookv1.ApplyRequest{
			ChangeId: "liverun", ExpectedRevision: &revision, Changes: changes,
		}))
		if err == nil || connect.CodeOf(err) != connect.CodeUnavailable || !pause.For(ctx, applyRetryDelay) {
			return err
		}
	}
}

// call makes one call and counts its outcome if the warm-up is over.
func (r *run) call(ctx context.Context, c *experiment.Call, number int) {
	entry := r.dep.Entries[c.Entry*len(r.scenario.Fleet.Zones)+c.Zone]
	caller := r.callers[c.Team+" "+entry.Name]
	var result loadgen.Result
	if c.Workload.Endpoint != "" {
		result = caller.CallThrough(ctx, "/services/"+c.Workload.Endpoint, "/"+c.Workload.Name, fmt.Sprintf("call-%d", number), []byte(c.Team))
	} else {
		result = caller.Chat(ctx, loadgen.Chat{
			Model:     endpoint,
			Engine:    model,
			Prompt:    prompt(c, number),
			MaxTokens: c.Workload.OutputMax,
			Stream:    true,
			Class:     c.Workload.Class.String(),
			Deadline:  c.Workload.Deadline.Duration,
		})
	}
	if c.At >= r.scenario.Warmup.Duration {
		r.count(c, result)
	}
}

func (r *run) count(c *experiment.Call, result loadgen.Result) {
	clientDelay := 2 * r.scenario.Fleet.ClientDelay.Duration
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	switch result.Outcome {
	case loadgen.Whole:
	case loadgen.NotRun:
		r.report.Refused++
		return
	case loadgen.Wrong:
		r.report.Wrong++
		return
	default:
		r.report.Failed++
		return
	}
	if c.Workload.Endpoint == "" {
		r.firstToken.Add(result.FirstToken)
		r.gapP95.Add(result.GapP95())
	}
	if r.scenario.InTime(c.Workload, result.FirstToken+clientDelay, result.GapP95(), result.Total+clientDelay) {
		r.report.Good++
		return
	}
	r.report.Late++
}

// prompt returns a prompt with the call's number of tokens that shares the
// trace's prefix blocks, and whose answer has the call's output length.
func prompt(c *experiment.Call, number int) string {
	var b strings.Builder
	for _, block := range c.PrefixBlocks {
		fmt.Fprintf(&b, "p%x", block)
		for range engineapi.KVBlockTokens - 1 {
			b.WriteString(" w")
		}
		b.WriteByte(' ')
	}
	rest := c.Prompt - len(c.PrefixBlocks)*engineapi.KVBlockTokens
	fmt.Fprintf(&b, "q%d", number)
	for range rest - 2 {
		b.WriteString(" w")
	}
	fmt.Fprintf(&b, " [out=%d]", c.Output)
	return b.String()
}

// roleChanges returns the number of role changes that the planners applied.
func (r *run) roleChanges() uint64 {
	const name = `filberthook_planner_changes_total{kind="set_role",outcome="applied"}`
	var sum uint64
	for _, e := range r.dep.Entries {
		sum += e.Metrics.GetOrCreateCounter(name).Get()
	}
	return sum
}
