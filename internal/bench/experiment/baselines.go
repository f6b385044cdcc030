package experiment

import (
	"strconv"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/routing"
)

// idText returns the request's identifier.
func (j *job) idText() string { return strconv.Itoa(j.id) }

// baseline is a simple policy to compare with: it sends each request at once
// and leaves waiting to the engines.
type baseline struct {
	name     string
	choose   chooser
	mixed    bool // every engine runs whole requests
	reactive bool // a threshold planner changes roles
}

// chooser picks one of the workers that fit, which are at least one.
type chooser func(p *simplePlacer, fit []*worker) *worker

// Name implements Policy.
func (b *baseline) Name() string { return b.name }

func (b *baseline) role(declared engineapi.Role) engineapi.Role {
	if b.mixed {
		return engineapi.RoleMixed
	}
	return declared
}

func (b *baseline) newPlacer(e *entry) placer {
	return &simplePlacer{entry: e, policy: b, own: make(map[string]int), next: e.sim.rng.IntN(1000)}
}

// start implements Policy.
func (b *baseline) start(m *sim, end time.Duration) {
	if !b.reactive {
		return
	}
	for zone := range m.entries {
		z := &reactivePlanner{sim: m, zone: zone}
		m.clock.every(reactivePeriod, end, z.plan)
	}
}

// simplePlacer is the part of a baseline at one entry host.
type simplePlacer struct {
	entry  *entry
	policy *baseline
	cands  []routing.Candidate
	own    map[string]int // requests in flight by endpoint instance
	next   int
}

func (p *simplePlacer) viewChanged(cands []routing.Candidate) { p.cands = cands }
func (p *simplePlacer) changed()                              {}
func (p *simplePlacer) again(j *job)                          { p.arrive(j) }

func (p *simplePlacer) arrive(j *job) {
	if j.workload.Endpoint != "" {
		p.call(j)
		return
	}
	place, ok := p.place(j)
	if !ok {
		p.entry.giveUp(j, jobRefused)
		return
	}
	p.entry.send(j, place)
}

func (p *simplePlacer) call(j *job) {
	var best *service
	for i := range p.cands {
		c := &p.cands[i]
		if c.Kind != engineapi.KindService {
			continue
		}
		v := p.entry.sim.service(c.Instance)
		if best == nil || p.own[v.name]+len(v.queue) < p.own[best.name]+len(best.queue) {
			best = v
		}
	}
	if best == nil {
		p.entry.giveUp(j, jobRefused)
		return
	}
	j.decision = routing.Decision{Instance: best.name}
	p.entry.call(j, best)
}

// place chooses the engine for the prompt, then one of its zone for the answer.
func (p *simplePlacer) place(j *job) (placement, bool) {
	if p.policy.mixed {
		fit := p.fitting(j, engineapi.RoleMixed, -1)
		if len(fit) == 0 {
			return placement{}, false
		}
		return placement{answer: p.policy.choose(p, fit)}, true
	}
	prompts := p.fitting(j, engineapi.RolePrefill, -1)
	for len(prompts) > 0 {
		prompt := p.policy.choose(p, prompts)
		answers := p.fitting(j, engineapi.RoleDecode, prompt.zone)
		if len(answers) > 0 {
			return placement{prompt: prompt, answer: p.policy.choose(p, answers)}, true
		}
		prompts = without(prompts, prompt)
	}
	return placement{}, false
}

func without(list []*worker, w *worker) []*worker {
	var out []*worker
	for _, o := range list {
		if o != w {
			out = append(out, o)
		}
	}
	return out
}

// fitting returns the workers of a role, of one zone unless zone is -1, that
// take new work and have not failed the request.
func (p *simplePlacer) fitting(j *job, role engineapi.Role, zone int) []*worker {
	var out []*worker
	for i := range p.cands {
		c := &p.cands[i]
		if c.Kind != engineapi.KindModel || c.Role != role || c.Draining || c.Changing {
			continue
		}
		w := p.entry.sim.byName[c.Instance]
		if zone >= 0 && w.zone != zone || excluded(j, w) {
			continue
		}
		out = append(out, w)
	}
	return out
}

func excluded(j *job, w *worker) bool {
	for _, name := range j.req.Exclude {
		if name == w.name {
			return true
		}
	}
	return false
}

func chooseRoundRobin(p *simplePlacer, fit []*worker) *worker {
	p.next++
	return fit[p.next%len(fit)]
}

// chooseLeastLoad picks the worker with the fewest requests, by its late report
// or by the own requests in flight, whichever are more.
func chooseLeastLoad(p *simplePlacer, fit []*worker) *worker {
	best, least := fit[0], int(^uint(0)>>1)
	p.next++
	for i := range fit {
		w := fit[(i+p.next)%len(fit)]
		if load := p.load(w); load < least {
			best, least = w, load
		}
	}
	return best
}

func (p *simplePlacer) load(w *worker) int {
	for i := range p.cands {
		if p.cands[i].Instance == w.name {
			return max(p.cands[i].Load.Running+p.cands[i].Load.Queued, p.own[w.name])
		}
	}
	return p.own[w.name]
}

func (p *simplePlacer) sent(j *job) {
	if j.workload.Endpoint != "" {
		p.own[j.decision.Instance]++
		return
	}
	p.own[j.place.answer.name]++
	if j.place.prompt != nil {
		p.own[j.place.prompt.name]++
	}
}

func (p *simplePlacer) promptDone(j *job) { p.own[j.place.prompt.name]-- }

func (p *simplePlacer) attemptEnded(j *job) {
	if j.workload.Endpoint != "" {
		p.own[j.decision.Instance]--
		return
	}
	p.own[j.place.answer.name]--
}

// Thresholds of the reactive planner.
const (
	reactivePeriod  = 5 * time.Second
	promptBacklog   = 16000            // prompt tokens waiting per prefill engine that call for another one
	promptQuiet     = 1500             // below this a prefill engine can go
	answersBusy     = 0.9              // share of batch places or memory in use that calls for another decode engine
	reactiveRecover = 10 * time.Second // least time between changes of a zone
)

// reactivePlanner changes a role whenever a threshold is crossed.
type reactivePlanner struct {
	sim  *sim
	zone int
	last time.Duration
}

func (z *reactivePlanner) plan() {
	now := z.sim.clock.now
	if !z.sim.zoneAlive(z.zone) || now-z.last < reactiveRecover {
		return
	}
	var prompts, answers []*worker
	for _, w := range z.sim.workers {
		switch {
		case w.zone != z.zone || !w.alive || w.leaving:
		case !w.available():
			return
		case w.role == engineapi.RolePrefill:
			prompts = append(prompts, w)
		default:
			answers = append(answers, w)
		}
	}
	backlog, busy := z.backlog(prompts), z.busy(answers)
	switch {
	case backlog > promptBacklog && busy < answersBusy && len(answers) > 1:
		z.change(answers[0], engineapi.RolePrefill)
	case busy > answersBusy && backlog < promptQuiet && len(prompts) > 1:
		z.change(prompts[0], engineapi.RoleDecode)
	}
}

func (z *reactivePlanner) change(w *worker, role engineapi.Role) {
	z.last = z.sim.clock.now
	w.changeRole(role, "threshold")
}

// backlog returns the prompt tokens waiting per engine.
func (z *reactivePlanner) backlog(workers []*worker) float64 {
	tokens := 0
	for _, w := range workers {
		tokens += w.engine.Load(z.sim.clock.now).QueuedPrefill
	}
	return float64(tokens) / float64(max(1, len(workers)))
}

// busy returns the share of batch places or of memory in use, whichever is more.
func (z *reactivePlanner) busy(workers []*worker) float64 {
	running, pieces := 0, 0
	for _, w := range workers {
		load := w.engine.Load(z.sim.clock.now)
		running += load.Running + load.Queued
		pieces += load.UsedKVBlocks
	}
	fleet := &z.sim.scenario.Fleet
	n := float64(max(1, len(workers)))
	return max(float64(running)/n/float64(fleet.Routing.Costs.MaxBatch), float64(pieces)/n/float64(fleet.Pieces))
}
