package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/routing"
)

// arrival is one request of a trace. A trace depends only on the scenario and the seed, so
// all policies get the same one.
type arrival struct {
	at          time.Duration
	workload    int
	zone        int // of the entry host that the platform's load balancer chooses
	entry       int // within the zone
	team        string
	prompt      int
	output      int
	prefixes    []uint64
	serviceTime time.Duration
}

// typicalBatch is the batch size assumed for the work of an output token when arrival rates
// are derived from the load.
const typicalBatch = 48

// newTrace generates the arrivals of a scenario in order of time.
func newTrace(s *Scenario, seed uint64) []arrival {
	var out []arrival
	unit := s.unitRate()
	for i := range s.Fleet.Workloads {
		w := &s.Fleet.Workloads[i]
		rate := w.Share * unit
		if w.Endpoint != "" {
			rate = w.Rate
		}
		g := &generator{s: s, w: w, index: i, rng: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		out = append(out, g.arrivals(rate)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// unitRate returns the requests per second over all model workloads that produce the
// scenario's load at profile factor 1.
func (s *Scenario) unitRate() float64 {
	work := 0.0
	for i := range s.Fleet.Workloads {
		w := &s.Fleet.Workloads[i]
		if w.Endpoint == "" {
			work += w.Share * s.engineSeconds(w)
		}
	}
	return s.Load * float64(s.engines()) / work
}

// engineSeconds returns the engine time of a workload's mean request when engines run
// batches of typicalBatch and no prefix is cached.
func (s *Scenario) engineSeconds(w *Workload) float64 {
	costs := &s.Fleet.Routing.Costs
	prompt := w.Prompt * math.Exp(w.PromptSpread*w.PromptSpread/2)
	output := w.Output * math.Exp(w.OutputSpread*w.OutputSpread/2)
	return prompt/costs.PrefillRate(0) + output*costs.Step(typicalBatch, 0)/typicalBatch
}

// generator generates the arrivals of one workload.
type generator struct {
	s     *Scenario
	w     *Workload
	index int
	rng   *rand.Rand
	count int
}

// arrivals generates a Poisson process whose rate follows the workload's profile, by
// thinning.
func (g *generator) arrivals(rate float64) []arrival {
	profile := g.s.profile(g.w.Name)
	peak := rate * profile.peak()
	if peak <= 0 {
		return nil
	}
	var out []arrival
	for at := 0.0; ; {
		at += g.rng.ExpFloat64() / peak
		when := saturate.Seconds(at)
		if when >= g.s.Duration.Duration {
			return out
		}
		if g.rng.Float64()*peak < rate*profile.factor(when) {
			out = append(out, g.draw(when))
		}
	}
}

func (g *generator) draw(at time.Duration) arrival {
	a := arrival{
		at:       at,
		workload: g.index,
		zone:     g.rng.IntN(len(g.s.Fleet.Zones)),
		entry:    g.rng.IntN(g.s.Fleet.EntriesPerZone),
		team:     fmt.Sprintf("%s-%d", g.w.Name, g.rng.IntN(max(1, g.w.Teams))),
	}
	g.count++
	if g.w.Endpoint != "" {
		a.serviceTime = saturate.Nanoseconds(g.rng.ExpFloat64() * float64(g.w.ServiceTime.Duration))
		return a
	}
	a.prompt = g.length(g.w.Prompt, g.w.PromptSpread, g.w.PromptMax)
	a.output = g.length(g.w.Output, g.w.OutputSpread, g.w.OutputMax)
	a.prefixes = g.prefixes(a.prompt)
	return a
}

// length draws from a lognormal distribution with the given median and sigma. The result
// is at least 8, and at most limit if limit is positive.
func (g *generator) length(median, spread float64, limit int) int {
	n := saturate.Int(median * math.Exp(spread*g.rng.NormFloat64()))
	if limit > 0 {
		n = min(n, limit)
	}
	return max(8, n)
}

// prefixes returns the hashes of a prompt's full blocks: first those of a shared document,
// then those of text unique to the request.
func (g *generator) prefixes(prompt int) []uint64 {
	blocks := prompt / engineapi.KVBlockTokens
	if blocks == 0 {
		return nil
	}
	shared := 0
	document := uint64(0)
	if g.w.Documents > 0 {
		shared = saturate.Int(math.Round(g.w.Shared * float64(blocks)))
		document = g.zipf(g.w.Documents)
	}
	hashes := make([]uint64, blocks)
	for i := range hashes {
		if i < shared {
			hashes[i] = mix(uint64(g.index)<<56 ^ document<<16 ^ uint64(i))
			continue
		}
		hashes[i] = mix(uint64(g.index)<<56 ^ 1<<55 ^ uint64(g.count)<<16 ^ uint64(i))
	}
	return hashes
}

// zipf draws a document number below n; lower numbers are more likely.
func (g *generator) zipf(n int) uint64 {
	return uint64(math.Pow(float64(n), g.rng.Float64())) - 1
}

// mix hashes x (the SplitMix64 finalizer).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// profile returns the profile of a workload, or a constant one if it has none with points.
func (s *Scenario) profile(workload string) Profile {
	for _, p := range s.Profiles {
		if p.Workload == workload && len(p.Points) > 0 {
			return p
		}
	}
	return Profile{Points: []Point{{Factor: 1}}}
}

func (p Profile) peak() float64 {
	peak := 0.0
	for _, point := range p.Points {
		peak = max(peak, point.Factor)
	}
	return peak
}

// factor returns the rate's factor at a time, interpolated between points.
func (p Profile) factor(at time.Duration) float64 {
	before := p.Points[0]
	for _, point := range p.Points {
		if point.At.Duration > at {
			span := point.At.Duration - before.At.Duration
			if span <= 0 {
				return point.Factor
			}
			part := float64(at-before.At.Duration) / float64(span)
			return before.Factor + part*(point.Factor-before.Factor)
		}
		before = point
	}
	return before.Factor
}

// request returns the arrival as a routing request.
func (a *arrival) request(s *Scenario, expected int) routing.Request {
	w := &s.Fleet.Workloads[a.workload]
	r := routing.Request{
		Class:          w.Class,
		Endpoint:       w.Endpoint,
		Prefixes:       a.prefixes,
		PromptTokens:   a.prompt,
		ExpectedOutput: expected,
		Deadline:       w.Deadline.Duration,
	}
	if w.Endpoint == "" {
		r.Model = modelName
	}
	return r
}

// modelName is the only model of an experiment's engines.
const modelName = "assist"
