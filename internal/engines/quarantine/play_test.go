package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// play is a deployment on a logical clock: hosts that exchange reports through control hosts,
// and engines that end when they begin to answer a block that is bad.
type play struct {
	rng      *rand.Rand
	now      time.Time
	hosts    []*playHost
	controls []*Ledger
	grants   *Grants
	interval time.Duration // of a host's exchange
	engines  []*playEngine
	running  []*playRun
	bad      map[Suspect]bool // blocks of the bad requests, and whether they end engines now
	badLeads bool             // they are the first and only shared blocks of their prompts
	short    float64          // part of the sound prompts that share only the first block

	identities int // of prompts so far; they have none besides their blocks while it is negative

	failed     func(*playRun) // called for sound requests that were not served, if set
	ends       []time.Time
	arrivals   []time.Time // requests with a bad block
	began      int         // sound requests that an engine has begun to answer at the first attempt
	sound      int
	refused    int // sound requests, by the quarantine or its containment
	blamedGood map[Suspect]bool
}

type playHost struct {
	ledger   *Ledger
	control  int
	exchange time.Time // next
}

type playEngine struct {
	number  int
	born    int64
	awayFor time.Duration // until it is back, 0 while it runs
}

type playRun struct {
	host    *playHost
	request *Request
	blocks  []Suspect
	engine  *playEngine
	born    int64
	until   time.Time // when its engine begins to answer
	retried bool
	once    bool // it must not run twice
	lethal  bool // it ends its engine whatever its suspects
	since   time.Time
}

const (
	playStep     = 10 * time.Millisecond
	playBegin    = 80 * time.Millisecond // from sending to the first event
	playAway     = 3 * time.Second
	playContact  = 3 * time.Second
	exchangeTime = 120 * time.Millisecond
	hostsPerStep = 24 // hosts that one control host serves in exchangeTime
)

func newPlay(seed uint64, hosts, engines int) *play {
	p := &play{identities: -1, rng: rand.New(rand.NewPCG(seed, 1)), now: start, grants: NewGrants(), bad: map[Suspect]bool{}, blamedGood: map[Suspect]bool{}}
	p.grants.Lead(1, start.Add(-time.Minute))
	controls := 1
	if hosts > hostsPerStep {
		controls = 6
	}
	for range controls {
		p.controls = append(p.controls, NewRelay())
	}
	p.interval = exchangeTime * time.Duration(max(hosts, hostsPerStep*controls)) / time.Duration(hostsPerStep*controls)
	for n := range hosts {
		ledger := New(p.rng.Float64)
		ledger.SetHosts(hosts)
		p.hosts = append(p.hosts, &playHost{ledger: ledger, control: n % controls, exchange: p.now.Add(time.Duration(p.rng.Int64N(int64(p.interval))))})
	}
	for n := range engines {
		p.engines = append(p.engines, &playEngine{number: n, born: 1})
	}
	return p
}

func (e *playEngine) instance() Instance {
	return Instance{ID: fmt.Sprint("i-", e.number, "-", e.born), Born: e.born}
}

// step advances the clock, with some requests of either kind.
func (p *play) step(sound, bad float64) {
	p.now = p.now.Add(playStep)
	for _, e := range p.engines {
		if e.awayFor > 0 {
			if e.awayFor -= playStep; e.awayFor <= 0 {
				e.awayFor = 0
				e.born++
			}
		}
	}
	p.exchangeReports()
	for range p.count(sound) {
		p.sound++
		blocks := []Suspect{Suspect(fmt.Sprint("first", p.rng.IntN(8))), Suspect(fmt.Sprint("subject", p.rng.IntN(77)))}
		p.send(blocks[:2-p.count(p.short/playStep.Seconds())], false)
	}
	for range p.count(bad) {
		for _, b := range slices.Sorted(maps.Keys(p.bad)) {
			if p.badLeads {
				p.send([]Suspect{b}, false)
			} else {
				p.send([]Suspect{Suspect(fmt.Sprint("first", p.rng.IntN(8))), b}, false)
			}
		}
	}
	p.progress()
}

// count draws the requests of one step at a rate per second.
func (p *play) count(rate float64) int {
	mean := rate * playStep.Seconds()
	n := int(mean)
	if p.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (p *play) exchangeReports() {
	for _, h := range p.hosts {
		if p.now.Before(h.exchange) {
			continue
		}
		h.exchange = p.now.Add(p.interval)
		c := p.controls[h.control]
		c.Learn(h.ledger.Report(p.now), p.now)
		h.ledger.Learn(c.Report(p.now), p.now)
		for _, probe := range h.ledger.DueProbes(p.now) {
			if p.grants.Ask(probe, 1, p.now) {
				h.ledger.Grant(probe.Suspect, p.now)
			}
		}
	}
	if p.now.UnixMilli()%100 == 0 && len(p.controls) > 1 {
		for _, c := range p.controls {
			digest := c.Report(p.now)
			for _, other := range p.controls {
				if other != c {
					other.Learn(digest, p.now)
				}
			}
		}
	}
}

func (p *play) send(blocks []Suspect, retried bool) {
	if p.identities >= 0 {
		p.identities++
		blocks = append(slices.Clip(blocks), named(fmt.Sprint("own ", p.identities)))
	}
	h := p.hosts[p.rng.IntN(len(p.hosts))]
	p.sendAt(&playRun{host: h, request: h.ledger.Request(blocks), blocks: blocks, retried: retried, since: p.now})
}

// sendAt sends a request from its host, or refuses it after half a second of waiting.
func (p *play) sendAt(r *playRun) {
	h := r.host
	d := h.ledger.Admit(r.request, p.now)
	engine := p.pick(h, d)
	if d.Answer == Contain && engine != nil && engine.awayFor > 0 { // refuses the connection
		h.ledger.Unexplained(r.request, p.now)
		d.Answer = Wait
	}
	if d.Answer == Wait && p.now.Sub(r.since) < 500*time.Millisecond+SecondTryWait {
		r.engine = nil
		p.running = append(p.running, r)
		return
	}
	if d.Answer == Wait || d.Answer == Refuse || engine == nil {
		h.ledger.Done(r.request)
		if d.Answer != Pass && !p.isLethal(r) {
			p.refused++
		}
		p.fail(r)
		return
	}
	if p.isLethal(r) {
		p.arrivals = append(p.arrivals, p.now)
	}
	r.engine, r.born, r.until = engine, engine.born, p.now.Add(playBegin)
	p.running = append(p.running, r)
}

// fail tells that a request was not served.
func (p *play) fail(r *playRun) {
	if p.failed != nil && !p.isLethal(r) {
		p.failed(r)
	}
}

func (p *play) isLethal(r *playRun) bool {
	if r.lethal {
		return true
	}
	for _, b := range r.blocks {
		if p.bad[b] {
			return true
		}
	}
	return false
}

// pick returns an engine that runs: the same for all contained requests, a random one else.
func (p *play) pick(h *playHost, d Decision) *playEngine {
	var list []*playEngine
	contained := d.Answer == Contain && d.Suspect.Kind() == KindRequest
	for _, e := range p.engines {
		// Instances that have ended stay announced for some time.
		if in := e.instance(); e.awayFor == 0 || contained && !h.ledger.HasEnded(in.ID, in.Born) {
			list = append(list, e)
		}
	}
	switch {
	case len(list) == 0:
		return nil
	case contained && len(list) == 1:
		return nil // the last instance that is left
	case d.Answer == Contain: // as package placement does
		return slices.MaxFunc(list, func(a, b *playEngine) int {
			return cmp.Compare(xxhash.Sum64String(string(d.Suspect)+a.instance().ID), xxhash.Sum64String(string(d.Suspect)+b.instance().ID))
		})
	default:
		return list[p.rng.IntN(len(list))]
	}
}

func (p *play) progress() {
	running := p.running
	p.running = nil
	for _, r := range running {
		switch {
		case r.engine == nil:
			p.sendAt(r)
		case r.engine.born != r.born || r.engine.awayFor > 0:
			p.lose(r)
		case p.now.Before(r.until):
			p.running = append(p.running, r)
		case p.isLethal(r):
			p.end(r.engine)
			p.lose(r)
		default:
			r.host.ledger.Begun(r.request, p.now)
			r.host.ledger.Done(r.request)
			if !r.retried {
				p.began++
			}
		}
	}
	if p.now.UnixMilli()%100 == 0 {
		p.noteBlame()
	}
}

// noteBlame notes the sound blocks in quarantine.
func (p *play) noteBlame() {
	for _, h := range p.hosts {
		for _, v := range h.ledger.Verdicts() {
			if !p.bad[v.Suspect] {
				p.blamedGood[v.Suspect] = true
			}
		}
	}
}

func (p *play) end(e *playEngine) {
	if e.awayFor == 0 {
		e.awayFor = playAway
		p.ends = append(p.ends, p.now)
	}
}

// lose records that a request was lost without an event, and tries it once more.
func (p *play) lose(r *playRun) {
	in := Instance{ID: fmt.Sprint("i-", r.engine.number, "-", r.born), Born: r.born}
	r.host.ledger.Lost(r.request, in, "", p.now)
	r.host.ledger.Ended(r.request, in, p.now)
	if r.retried || r.once {
		r.host.ledger.Done(r.request)
		p.fail(r)
		return
	}
	r.retried, r.since = true, p.now
	p.sendAt(r)
}

func (p *play) run(d time.Duration, sound, bad float64) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step(sound, bad)
	}
}
