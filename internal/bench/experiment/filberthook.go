package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/planner"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/prefix"
	"filberthook/internal/serve/routing"
)

// filberthook is the policy of the daemons; it uses their routing, admission and planner
// packages.
type filberthook struct {
	name    string
	planner planner.Config
	mixed   bool // all engines start in the mixed role
	zones   []*zonePlanner
}

// Name implements Policy.
func (f *filberthook) Name() string { return f.name }

func (f *filberthook) role(declared engineapi.Role) engineapi.Role {
	if f.mixed {
		return engineapi.RoleMixed
	}
	return declared
}

// Intervals of an entry host's periodic work and of a zone's planner.
const (
	dispatchPeriod = 20 * time.Millisecond
	cachePeriod    = 500 * time.Millisecond
	planPeriod     = 2 * time.Second
)

// start implements Policy.
func (f *filberthook) start(m *sim, end time.Duration) {
	for zone, entries := range m.entries {
		for _, e := range entries {
			p := e.placer.(*routedPlacer)
			first := time.Duration(m.rng.Int64N(int64(cachePeriod)))
			m.clock.after(first, func() { m.clock.every(cachePeriod, end, p.readCacheEvents) })
			m.clock.every(dispatchPeriod, end, p.dispatch)
		}
		first := planPeriod * time.Duration(zone) / time.Duration(len(m.entries))
		z := f.zones[zone]
		m.clock.after(first, func() { m.clock.every(planPeriod, end, z.plan) })
	}
}

// newPlacer implements Policy.
func (f *filberthook) newPlacer(e *entry) placer {
	fleet := &e.sim.scenario.Fleet
	for len(f.zones) < len(fleet.Zones) {
		f.zones = append(f.zones, newZonePlanner(e.sim, len(f.zones), f.planner))
	}
	cfg := fleet.Routing
	cfg.Zone = fleet.Zones[e.zone].Name
	p := &routedPlacer{
		entry:   e,
		zones:   f.zones,
		router:  routing.New(cfg, rand.New(rand.NewPCG(e.sim.rng.Uint64(), 7))),
		queue:   admission.NewQueue[*job](fleet.Admission, modelName, metrics.NewSet()),
		lengths: admission.NewLengths(fleet.Admission.PriorOutput),
	}
	var peers []string
	for i := range fleet.EntriesPerZone {
		peers = append(peers, entryName(fleet, e.zone, i))
	}
	p.router.SetPeers(e.name, peers, len(peers)*len(fleet.Zones))
	return p
}

// routedPlacer makes the routing and admission decisions of one entry host.
type routedPlacer struct {
	entry   *entry
	zones   []*zonePlanner
	router  *routing.Router
	queue   *admission.Queue[*job]
	lengths *admission.Lengths
	cands   []routing.Candidate
}

func (p *routedPlacer) viewChanged(cands []routing.Candidate) {
	p.router.Prepare(cands)
	p.cands = cands
	now := p.entry.sim.clock.now
	for i := range cands {
		c := &cands[i]
		if c.Kind == engineapi.KindModel {
			p.router.Prefixes().Observe(now, c.Instance, c.Incarnation, c.Load.CacheEventsSeq)
		}
	}
}

func (p *routedPlacer) readCacheEvents() {
	m := p.entry.sim
	if !p.entry.alive {
		return
	}
	index := p.router.Prefixes()
	for _, w := range m.workers {
		if !w.alive || !index.NeedsPage(w.name) {
			continue
		}
		_, after := index.Next(w.name)
		page := w.engine.CacheEvents(m.clock.now, after)
		index.Apply(m.clock.now, prefix.Page{Instance: w.name, After: after, CacheEventPage: page})
	}
}

func (p *routedPlacer) key(j *job) admission.Key {
	return admission.Key{Team: j.arrival.team, Endpoint: j.workload.Name}
}

func (p *routedPlacer) arrive(j *job) {
	m := p.entry.sim
	expected := p.lengths.Estimate(p.key(j), m.scenario.Fleet.Admission.Quantile, 0, j.workload.OutputMax)
	j.req = j.arrival.request(m.scenario, expected)
	if j.workload.Endpoint != "" {
		p.call(j)
		return
	}
	p.enqueue(j)
}

func (p *routedPlacer) retry(j *job) {
	m := p.entry.sim
	j.req.PromptTokens = j.arrival.prompt + j.generated
	j.req.ExpectedOutput = max(1, p.lengths.Estimate(p.key(j), m.scenario.Fleet.Admission.Quantile, j.generated, j.workload.OutputMax)-j.generated)
	if j.workload.Endpoint != "" {
		p.call(j)
		return
	}
	p.enqueue(j)
}

func (p *routedPlacer) call(j *job) {
	m := p.entry.sim
	d, err := p.router.Pick(m.clock.now, &j.req, p.cands)
	if err != nil {
		p.entry.giveUp(j, jobRefused)
		return
	}
	j.decision = d
	p.entry.call(j, m.service(d.Instance))
}

// enqueue puts a request into the admission queue. A request that has already produced
// output is never refused for lateness.
func (p *routedPlacer) enqueue(j *job) {
	now := p.entry.sim.clock.now
	item := admission.Item[*job]{
		ID:       j.idText(),
		Team:     j.arrival.team,
		Class:    j.workload.Class,
		KVBlocks: j.req.KVBlocks(),
		Arrived:  now,
		Value:    j,
	}
	if j.generated == 0 {
		item.StartBy = p.startBy(j)
	}
	if err := p.queue.Push(now, item); err != nil {
		p.entry.giveUp(j, jobRefused)
		return
	}
	p.dispatch()
}

// startBy returns the latest start for meeting the first-token target on an idle engine:
// half the full prefill time before the target, but at least target/8 after the arrival.
func (p *routedPlacer) startBy(j *job) time.Duration {
	costs := &p.entry.sim.scenario.Fleet.Routing.Costs
	prompt := float64(j.arrival.prompt) / costs.PrefillRate(0) / 2
	target := p.entry.sim.targets(j).FirstToken.Duration
	return j.arrival.at + max(target-saturate.Seconds(prompt), target/8)
}

// dispatch places queued requests that fit and refuses those that have become too late.
func (p *routedPlacer) dispatch() {
	if !p.entry.alive || p.queue.Len() == 0 {
		return
	}
	now := p.entry.sim.clock.now
	for _, x := range p.queue.Expire(now) {
		p.entry.giveUp(x.Item.Value, jobRefused)
	}
	var placed, late []*job
	p.queue.Dispatch(now, func(item *admission.Item[*job]) bool {
		j := item.Value
		d, err := p.router.Pick(now, &j.req, p.cands)
		if err != nil {
			return false
		}
		if p.tooLate(j, &d) {
			late = append(late, j)
			return true
		}
		j.decision = d
		p.router.Started(now, &d, &j.req)
		placed = append(placed, j)
		return true
	})
	for _, j := range placed {
		p.start(j)
	}
	for _, j := range late {
		p.entry.giveUp(j, jobRefused)
	}
}

// tooLate reports whether a request that has produced no output yet would miss its
// first-token target on the chosen engine.
func (p *routedPlacer) tooLate(j *job, d *routing.Decision) bool {
	m := p.entry.sim
	waited := m.clock.now - j.arrival.at
	target := m.targets(j).FirstToken.Duration
	return j.generated == 0 && m.scenario.Fleet.Admission.TooLate(waited, d.FirstToken, target)
}

func (p *routedPlacer) start(j *job) {
	m := p.entry.sim
	d := &j.decision
	place := assignment{decode: m.byName[d.Instance]}
	prompt := place.decode
	if d.Prefill != "" {
		place.prefill = m.byName[d.Prefill]
		prompt = place.prefill
	}
	p.zones[prompt.zone].observe(j, p.lengths.Mean(p.key(j)))
	p.entry.send(j, place)
}

func (p *routedPlacer) sent(j *job) {
	if j.workload.Endpoint != "" {
		p.router.Started(p.entry.sim.clock.now, &j.decision, &j.req)
	}
}

func (p *routedPlacer) prefillDone(j *job) {
	p.router.PrefillDone(p.entry.sim.clock.now, &j.decision, &j.req)
}

func (p *routedPlacer) attemptEnded(j *job) {
	p.router.Finished(p.entry.sim.clock.now, &j.decision, &j.req)
	if j.state == jobDone && j.workload.Endpoint == "" {
		p.lengths.Observe(p.key(j), j.generated)
	}
}

// zonePlanner runs the planner of one zone.
type zonePlanner struct {
	sim      *sim
	zone     int
	planner  *planner.Planner
	forecast *planner.Forecaster
	horizon  time.Duration
}

func newZonePlanner(m *sim, zone int, cfg planner.Config) *zonePlanner {
	fleet := &m.scenario.Fleet
	cfg.ChangeTime = fleet.Planner.ChangeTime
	return &zonePlanner{
		sim:      m,
		zone:     zone,
		planner:  planner.New(cfg, fleet.Routing.Costs, fleet.Routing.Targets.Summary.FirstToken.Duration),
		forecast: planner.NewForecaster(cfg.Window.Duration),
		horizon:  cfg.ChangeTime.Duration + cfg.DrainTime.Duration,
	}
}

// observe adds a request placed in the zone to the demand forecast.
func (z *zonePlanner) observe(j *job, output float64) {
	z.forecast.Observe(z.sim.clock.now, planner.Work{
		Requests:      1,
		PromptTokens:  float64(j.req.PromptTokens - j.decision.CachedTokens),
		OutputTokens:  output,
		ContextTokens: float64(j.req.PromptTokens) + output,
	})
}

func (z *zonePlanner) plan() {
	now := z.sim.clock.now
	if !z.sim.zoneAlive(z.zone) {
		return
	}
	view := planner.View{Zone: z.sim.scenario.Fleet.Zones[z.zone].Name, Demand: z.forecast.Forecast(now, z.horizon)}
	for _, w := range z.sim.workers {
		if w.zone == z.zone && w.alive && !w.withdrawn {
			view.Engines = append(view.Engines, planner.Engine{
				Instance: w.name, Incarnation: 1, Role: w.role, Models: z.sim.models,
				KVBlocks: z.sim.scenario.Fleet.KVBlocks, Running: w.engine.Load(now).Running,
				Changing: w.changing, Draining: w.draining, RoleSince: w.roleSince,
			})
		}
	}
	plan := z.planner.Plan(now, view)
	if plan.Outcome == planner.OutcomeChange {
		z.sim.byName[plan.Change.Instance].changeRole(plan.Change.Role, plan.Change.Reason)
	}
}
