package experiment

import (
	"strconv"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/routing"
)

// idText returns the request's identifier.
func (j *job) idText() string { return strconv.Itoa(j.id) }

// baseline is a simple policy for comparison: entry hosts send each request at once and
// requests queue at the engines.
type baseline struct {
	name     string
	choose   chooser
	mixed    bool // all engines run whole requests in the mixed role
	reactive bool // a threshold-based planner changes roles
}

// chooser picks one of the eligible workers; fit is not empty.
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
	return &simplePlacer{entry: e, policy: b, inFlight: make(map[string]int), next: e.sim.rng.IntN(1000)}
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

// simplePlacer places the requests of one entry host for a baseline.
type simplePlacer struct {
	entry    *entry
	policy   *baseline
	cands    []routing.Candidate
	inFlight map[string]int // this host's requests in flight, by instance
	next     int
}

func (p *simplePlacer) viewChanged(cands []routing.Candidate) { p.cands = cands }
func (p *simplePlacer) dispatch()                             {}
func (p *simplePlacer) retry(j *job)                          { p.arrive(j) }

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
		if best == nil || p.inFlight[v.name]+len(v.queue) < p.inFlight[best.name]+len(best.queue) {
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

// place chooses an engine for the prefill, then one in the same zone for the decode.
func (p *simplePlacer) place(j *job) (assignment, bool) {
	if p.policy.mixed {
		fit := p.fitting(j, engineapi.RoleMixed, -1)
		if len(fit) == 0 {
			return assignment{}, false
		}
		return assignment{decode: p.policy.choose(p, fit)}, true
	}
	prefills := p.fitting(j, engineapi.RolePrefill, -1)
	for len(prefills) > 0 {
		prefill := p.policy.choose(p, prefills)
		decodes := p.fitting(j, engineapi.RoleDecode, prefill.zone)
		if len(decodes) > 0 {
			return assignment{prefill: prefill, decode: p.policy.choose(p, decodes)}, true
		}
		prefills = without(prefills, prefill)
	}
	return assignment{}, false
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

// fitting returns the workers of a role that accept new requests and on which this request
// has not failed yet. A zone of -1 means all zones.
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

// chooseLeastLoad picks the worker with the fewest requests: the larger of the count in its
// delayed load report and the host's own requests in flight there.
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
			return max(p.cands[i].Load.Running+p.cands[i].Load.Queued, p.inFlight[w.name])
		}
	}
	return p.inFlight[w.name]
}

func (p *simplePlacer) sent(j *job) {
	if j.workload.Endpoint != "" {
		p.inFlight[j.decision.Instance]++
		return
	}
	p.inFlight[j.place.decode.name]++
	if j.place.prefill != nil {
		p.inFlight[j.place.prefill.name]++
	}
}

func (p *simplePlacer) prefillDone(j *job) { p.inFlight[j.place.prefill.name]-- }

func (p *simplePlacer) attemptEnded(j *job) {
	if j.workload.Endpoint != "" {
		p.inFlight[j.decision.Instance]--
		return
	}
	p.inFlight[j.place.decode.name]--
}

// Thresholds of the reactive planner.
const (
	reactivePeriod     = 5 * time.Second
	highPrefillBacklog = 16000            // queued prompt tokens per prefill engine above which one is added
	lowPrefillBacklog  = 1500             // queued prompt tokens below which one may be removed
	highDecodeUsage    = 0.9              // share of batch slots or memory in use above which a decode engine is added
	reactiveCooldown   = 10 * time.Second // minimum time between role changes in a zone
)

// reactivePlanner changes one engine's role when a threshold is crossed.
type reactivePlanner struct {
	sim  *sim
	zone int
	last time.Duration
}

func (z *reactivePlanner) plan() {
	now := z.sim.clock.now
	if !z.sim.zoneAlive(z.zone) || now-z.last < reactiveCooldown {
		return
	}
	var prefills, decodes []*worker
	for _, w := range z.sim.workers {
		switch {
		case w.zone != z.zone || !w.alive || w.withdrawn:
		case !w.available():
			return
		case w.role == engineapi.RolePrefill:
			prefills = append(prefills, w)
		default:
			decodes = append(decodes, w)
		}
	}
	backlog, used := z.backlog(prefills), z.usage(decodes)
	switch {
	case backlog > highPrefillBacklog && used < highDecodeUsage && len(decodes) > 1:
		z.change(decodes[0], engineapi.RolePrefill)
	case used > highDecodeUsage && backlog < lowPrefillBacklog && len(prefills) > 1:
		z.change(prefills[0], engineapi.RoleDecode)
	}
}

func (z *reactivePlanner) change(w *worker, role engineapi.Role) {
	z.last = z.sim.clock.now
	w.changeRole(role, "threshold")
}

// backlog returns the mean number of queued prompt tokens per engine.
func (z *reactivePlanner) backlog(workers []*worker) float64 {
	tokens := 0
	for _, w := range workers {
		tokens += w.engine.Load(z.sim.clock.now).QueuedPrefill
	}
	return float64(tokens) / float64(max(1, len(workers)))
}

// usage returns the share of batch slots or of memory in use, whichever is larger.
func (z *reactivePlanner) usage(workers []*worker) float64 {
	running, blocks := 0, 0
	for _, w := range workers {
		load := w.engine.Load(z.sim.clock.now)
		running += load.Running + load.Queued
		blocks += load.UsedKVBlocks
	}
	fleet := &z.sim.scenario.Fleet
	n := float64(max(1, len(workers)))
	return max(float64(running)/n/float64(fleet.Routing.Costs.MaxBatch), float64(blocks)/n/float64(fleet.KVBlocks))
}
