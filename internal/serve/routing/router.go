package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/prefix"
)

// Router picks engines. It tracks the requests that this process has in flight at
// each instance, and the index of cached prefixes.
type Router struct {
	cfg     Config
	index   *prefix.Index
	filters []Filter
	sampler *randomSampler
	whole   Scorer
	prefill Scorer
	decode  Scorer
	service Scorer
	queries sync.Pool // of *query

	mu       sync.RWMutex
	own      map[string]*ownLoad // by instance; guarded by mu
	zones    []string            // the index of a zone is its number; guarded by mu
	self     string              // name of this entry host; guarded by mu
	peers    []string            // entry hosts of the own zone including this one, sorted; guarded by mu
	allHosts int                 // entry hosts of all zones; guarded by mu

	zoneCount atomic.Int32 // length of zones, for Pick
}

// New returns a router. rng provides the seed for sampling.
func New(cfg Config, rng *rand.Rand) *Router {
	r := &Router{
		cfg:     cfg,
		index:   prefix.NewIndex(cfg.Prefix),
		filters: defaultFilters,
		own:     make(map[string]*ownLoad),
		zones:   []string{cfg.Zone},
	}
	r.zoneCount.Store(1)
	r.sampler = &randomSampler{cfg: &r.cfg, seed: rng.Uint64()}
	r.whole = wholeScorer{r}
	r.prefill = prefillScorer{r}
	r.decode = decodeScorer{r}
	r.service = serviceScorer{r}
	r.queries.New = func() any { return new(query) }
	return r
}

// Prefixes returns the prefix index that Pick reads. The caller applies cache
// events to it.
func (r *Router) Prefixes() *prefix.Index { return r.index }

// SetPeers sets the entry hosts of the own zone. Each engine of the zone is then
// preferred by one of them (by several when hosts outnumber engines): hosts that
// act on the same stale reports do not all pick the same engine, and each knows
// the load of its preferred engines best. It takes effect with the next Prepare.
//
// allHosts is the number of entry hosts in all zones. Their load that no report
// shows yet is assumed to be like this host's own.
func (r *Router) SetPeers(self string, peers []string, allHosts int) {
	sorted := slices.Clone(peers)
	if !slices.Contains(sorted, self) {
		sorted = append(sorted, self)
	}
	slices.Sort(sorted)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self, r.peers, r.allHosts = self, slices.Compact(sorted), max(allHosts, len(sorted))
}

// Prepare sets the candidates' fields that Pick reads. Call it once for each new
// snapshot, before other goroutines see it. The tracked load of known instances
// is kept.
func (r *Router) Prepare(cands []Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range cands {
		c := &cands[i]
		c.own = r.ownLoadOf(c.Instance)
		c.senders, c.unseenShare = 1, 0
		if c.Zone != r.cfg.Zone && r.allHosts > 0 {
			c.senders, c.unseenShare = float64(r.allHosts), unseenLoadShare
		}
		c.slot = r.index.Slot(c.Instance)
		c.zoneIndex = r.zoneNumber(c.Zone)
	}
	rankEngines(cands)
	r.markPreferred(cands)
}

// markPreferred marks which engines of the own zone this entry host prefers. The
// engines of each role are assigned to hosts round-robin in order of name. If
// hosts outnumber engines, several hosts share an engine. The caller holds r.mu.
func (r *Router) markPreferred(cands []Candidate) {
	if len(r.peers) < 2 {
		return
	}
	self := slices.Index(r.peers, r.self)
	for _, role := range []engineapi.Role{engineapi.RolePrefill, engineapi.RoleDecode, engineapi.RoleMixed} {
		var engines []*Candidate
		for i := range cands {
			c := &cands[i]
			if c.Kind == engineapi.KindModel && c.Zone == r.cfg.Zone && c.Role == role {
				engines = append(engines, c)
			}
		}
		slices.SortFunc(engines, func(a, b *Candidate) int { return cmp.Compare(a.Instance, b.Instance) })
		for i, c := range engines {
			r.setPreferred(c, i, len(engines), self)
		}
	}
}

// setPreferred sets nonPreferred, senders and unseenShare of engine i of n, as seen by
// entry host number self of the zone. The caller holds r.mu.
func (r *Router) setPreferred(c *Candidate, i, n, self int) {
	hosts := len(r.peers)
	if hosts > n {
		c.nonPreferred = self%n != i
		c.senders = float64(hosts) / float64(n)
		return
	}
	c.nonPreferred = i%hosts != self
	if c.nonPreferred {
		c.senders, c.unseenShare = float64(hosts), unseenLoadShare
	}
}

// rankEngines ranks the mixed engines of each zone by name, so that all entry hosts
// compute the same ranks. The only mixed engine of a zone has rank 0 for both
// prefill and decode.
func rankEngines(cands []Candidate) {
	byName := make([]*Candidate, 0, len(cands))
	for i := range cands {
		c := &cands[i]
		c.prefillRank, c.decodeRank = 0, 0
		if c.Kind == engineapi.KindModel && c.Role != engineapi.RolePrefill && c.Role != engineapi.RoleDecode {
			byName = append(byName, c)
		}
	}
	slices.SortFunc(byName, func(a, b *Candidate) int {
		return cmp.Or(cmp.Compare(a.zoneIndex, b.zoneIndex), cmp.Compare(a.Instance, b.Instance))
	})
	for from := 0; from < len(byName); {
		to := from
		for to < len(byName) && byName[to].zoneIndex == byName[from].zoneIndex {
			to++
		}
		for i := from; i < to && to-from > 1; i++ {
			byName[i].prefillRank = float64(i-from) / float64(to-from-1)
			byName[i].decodeRank = 1 - byName[i].prefillRank
		}
		from = to
	}
}

// ownLoadOf returns the load that this process tracks for an instance. The caller
// holds r.mu.
func (r *Router) ownLoadOf(instance string) *ownLoad {
	own := r.own[instance]
	if own == nil {
		own = &ownLoad{}
		r.own[instance] = own
	}
	return own
}

// zoneNumber returns the number of a zone, assigned at its first use. The caller
// holds r.mu.
func (r *Router) zoneNumber(zone string) int {
	if at := slices.Index(r.zones, zone); at >= 0 {
		return at
	}
	r.zones = append(r.zones, zone)
	r.zoneCount.Store(int32(len(r.zones)))
	return len(r.zones) - 1
}

// Forget deletes the state of an instance that has been removed for good.
func (r *Router) Forget(instance string) {
	r.index.Forget(instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.own, instance)
}

// Pick returns the best placement for the request now. Prepare must have been
// called on cands. The error is a *NoCandidateError; the request has not run then.
func (r *Router) Pick(now time.Duration, req *Request, cands []Candidate) (Decision, error) {
	q := r.queries.Get().(*query)
	defer r.queries.Put(q)
	q.reset(now, req, cands, int(r.zoneCount.Load()))
	defer q.release()
	q.targets = r.cfg.Targets.Of(req.Class)
	r.index.Match(now, req.Prefixes, &q.matches)
	r.filter(q)
	best := r.choose(q, false)
	if best.instance == nil {
		// The second, wide pass counts these refusals anew.
		q.counts[ReasonMemory], q.counts[ReasonDeadline] = 0, 0
		best = r.choose(q, true)
	}
	if best.instance == nil {
		return Decision{Steps: q.steps}, q.refusal()
	}
	q.explainChoice(&best, "choice")
	return best.decision(q), nil
}

func (ch *choice) decision(q *query) Decision {
	d := Decision{
		Instance:     ch.instance.Instance,
		Address:      ch.instance.Address,
		Incarnation:  ch.instance.Incarnation,
		CachedTokens: ch.predicted.cached,
		FirstToken:   saturate.Seconds(ch.predicted.firstToken + unseenWaitShare*ch.predicted.queueWait),
		Gap:          saturate.Seconds(ch.predicted.gap),
		Score:        ch.score,
		Steps:        q.steps,
		decode:       ch.instance.own,
	}
	if ch.prefill != nil {
		d.Prefill = ch.prefill.Instance
		d.PrefillAddress = ch.prefill.Address
		d.PrefillIncarnation = ch.prefill.Incarnation
		d.prefill = ch.prefill.own
	}
	return d
}

// Started records that the request has been sent as decided. Exactly one call of
// Finished must follow, and before it one of PrefillDone if the request is split.
func (r *Router) Started(now time.Duration, d *Decision, req *Request) {
	prompt := req.PromptTokens - d.CachedTokens
	whole := change{at: now, running: 1, blocks: req.KVBlocks()}
	prefillInstance := d.Instance
	if d.prefill != nil {
		prefillInstance = d.Prefill
		d.prefill.add(change{at: now, prefill: prompt, running: 1, blocks: KVBlocksFor(req.PromptTokens)})
		d.prefill.prefillSent(now, prompt)
	} else {
		whole.prefill = prompt
	}
	d.decode.add(whole)
	r.index.Expect(now, prefillInstance, req.Prefixes)
}

// PrefillDone records that the prefill of a split request has finished, failed or
// been abandoned.
func (r *Router) PrefillDone(now time.Duration, d *Decision, req *Request) {
	if d.prefill != nil {
		d.prefill.add(change{at: now, running: -1, blocks: -KVBlocksFor(req.PromptTokens)})
		d.prefill.prefillDone(now, req.PromptTokens-d.CachedTokens)
	}
}

// Finished records that the attempt has ended, whatever its outcome.
func (r *Router) Finished(now time.Duration, d *Decision, req *Request) {
	d.decode.add(change{at: now, running: -1, blocks: -req.KVBlocks()})
}
