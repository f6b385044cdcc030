package routing

import (
	"math"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/class"
)

// Weights of the parts of a score. Each part is a share of a target.
const (
	lateWeight    = 5.0  // of the part of a prediction beyond its target
	memoryWeight  = 0.5  // of memory in use, squared
	ageWeight     = 0.05 // per second of a report's age
	gapPower      = 4.0  // of a gap's share of its target
	breakWeight   = 0.07 // cost of one long step to one running answer, in answers
	slowShare     = 0.05 // share of an answer's gaps that may exceed the target
	partWeight    = 0.3  // keeps prompts and answers on different mixed engines
	splitCost     = 0.05 // of two more calls and one more engine that can fail
	unseenInflow  = 0.7  // share of an engine's capacity that others are taken to fill
	unseenWait    = 0.5  // share of a wait that is added for prompts not seen yet
	batchWaitSecs = 4.0  // wait for a place in a full batch of answers
)

// backlogShare is the part of a backlog that goes before a request: engines
// run the more urgent first.
var backlogShare = [class.Count]float64{class.Status: 0.1, class.Check: 0.35, class.Summary: 1, class.Lookup: 1}

// prediction is what a candidate would do for a request.
type prediction struct {
	first  float64 // seconds to the first token
	wait   float64 // part of first that is spent behind other prompts, seconds
	gap    float64 // seconds between tokens, at the 95th percentile
	cost   float64 // harm to other answers and scarce memory, in shares of a target
	cached int     // prompt tokens expected in the prefix cache
}

// Scorer predicts what a candidate would do with its part of a request. The
// reason is Admitted unless the candidate has no room now.
type Scorer interface {
	Predict(q *query, c *Candidate) (prediction, Reason)
}

// total turns a prediction into a score; lower is better.
func (p prediction) total(t *Targets) float64 {
	return share(p.first, t.FirstToken.Seconds()) + gapShare(p.gap, t.Gap.Seconds()) + p.cost
}

// gapShare returns a gap as a share of its target, raised to a power: what is
// well below the target is all the same, so that answers are packed on few
// engines.
func gapShare(gap, target float64) float64 {
	s := share(gap, target)
	if s >= 1 {
		return s
	}
	return math.Pow(s, gapPower)
}

// share returns value as a share of its target; what is late weighs more.
func share(value, target float64) float64 {
	if target <= 0 {
		return 0
	}
	s := value / target
	if s > 1 {
		s += lateWeight * (s - 1)
	}
	return s
}

// wholeScorer predicts whole requests on mixed engines.
type wholeScorer struct{ r *Router }

// Predict implements Scorer.
func (s wholeScorer) Predict(q *query, c *Candidate) (prediction, Reason) {
	p, reason := prefillScorer(s).Predict(q, c)
	if reason != Admitted {
		return p, reason
	}
	d, reason := decodeScorer(s).Predict(q, c)
	if reason != Admitted {
		return p, reason
	}
	p.first += d.first
	p.gap = d.gap
	p.cost += d.cost
	return p, Admitted
}

// prefillScorer predicts the computation of the prompt.
type prefillScorer struct{ r *Router }

// Predict implements Scorer.
func (s prefillScorer) Predict(q *query, c *Candidate) (prediction, Reason) {
	costs := &s.r.cfg.Costs
	decoding := float64(c.Load.Running)
	if c.Role == engineapi.RolePrefill {
		decoding = 0
	}
	rate := costs.PrefillRate(decoding)
	load := estimateLoad(q.now, c, rate)
	if !load.fits(c, PiecesFor(q.req.PromptTokens), 0) {
		return prediction{}, ReasonMemory
	}
	cached := s.r.cachedTokens(q, c)
	uncached := float64(q.req.PromptTokens - cached)
	p := prediction{cached: cached}
	p.wait = backlogShare[q.req.Class] * load.backlog / rate
	p.first = s.r.distance(c) + p.wait + uncached/rate
	p.cost = load.scarcity(c) + ageWeight*load.age.Seconds() + s.r.awayCost(c)
	if c.Role != engineapi.RolePrefill {
		p.cost += s.r.interference(q, load.running, uncached) + partWeight*c.promptRank*s.r.chunkShare(uncached)
	}
	return p, Admitted
}

// chunkShare returns how much of a full step of prompt tokens a prompt fills, at
// most 1: a short prompt does answers on the same engine little harm.
func (r *Router) chunkShare(uncached float64) float64 {
	return min(1, uncached/float64(r.cfg.Costs.PrefillChunk))
}

// interference is the harm that computing a prompt does to answers under way
// on the same engine.
func (r *Router) interference(q *query, running, uncached float64) float64 {
	costs := &r.cfg.Costs
	chunk := min(uncached, float64(costs.PrefillChunk))
	gap := q.targets.Gap.Seconds()
	if gap <= 0 || costs.Step(running, chunk) <= gap {
		return 0
	}
	steps := uncached / float64(costs.PrefillChunk)
	return running * max(1, steps) * breakWeight
}

// decodeScorer predicts the generation of the answer.
type decodeScorer struct{ r *Router }

// Predict implements Scorer.
func (s decodeScorer) Predict(q *query, c *Candidate) (prediction, Reason) {
	costs := &s.r.cfg.Costs
	load := estimateLoad(q.now, c, costs.PrefillRate(float64(c.Load.Running)))
	if !load.fits(c, q.req.Pieces(), s.r.cfg.MemoryGrowth) {
		return prediction{}, ReasonMemory
	}
	running := load.running + 1
	batch := min(running, float64(costs.MaxBatch))
	p := prediction{gap: costs.Step(batch, 0), first: costs.Step(batch, 0)}
	if c.Role != engineapi.RoleDecode {
		p.gap += s.r.longSteps(q, c, load.backlog, p.gap)
		p.cost += partWeight * c.answerRank
	}
	p.first += batchWaitSecs * (running - batch) / float64(costs.MaxBatch)
	p.cost += load.scarcity(c) + s.r.awayCost(c)
	return p, Admitted
}

// longSteps returns what prompts computed on the same engine add to the 95th
// percentile of an answer's gaps: nothing while they are rare, a whole chunk
// when they fill more than slowShare of its steps.
func (r *Router) longSteps(q *query, c *Candidate, backlog, step float64) float64 {
	chunk := float64(r.cfg.Costs.PrefillChunk)
	output := float64(max(1, q.req.ExpectedOutput))
	recent := c.Load.PrefillPerSec * step / chunk
	share := recent + backlog/chunk/output
	return min(1, share/slowShare) * chunk / r.cfg.Costs.PrefillPerSec
}

// awayCost is the cost of an engine that is the home engine of another host.
func (r *Router) awayCost(c *Candidate) float64 {
	if !c.away {
		return 0
	}
	return r.cfg.AwayCost
}

// serviceScorer predicts calls of plain services.
type serviceScorer struct{ r *Router }

// Predict implements Scorer.
func (s serviceScorer) Predict(q *query, c *Candidate) (prediction, Reason) {
	load := estimateLoad(q.now, c, 0)
	step := max(c.Load.StepMillis/1000, s.r.cfg.Costs.StepBase.Seconds())
	return prediction{first: s.r.distance(c) + step*(load.running+1)}, Admitted
}

// fits reports whether an engine has free memory for more pieces, with room
// for growth pieces per running request.
func (e *estimate) fits(c *Candidate, pieces int, growth float64) bool {
	return e.pieces+growth*e.running+float64(pieces) <= float64(c.Pieces)
}

// scarcity grows with the share of an engine's memory in use.
func (e *estimate) scarcity(c *Candidate) float64 {
	used := e.pieces / float64(max(1, c.Pieces))
	return memoryWeight * used * used
}

// cachedTokens returns the prompt tokens expected in an engine's prefix cache,
// less what is unsure. At least one token is always computed.
func (r *Router) cachedTokens(q *query, c *Candidate) int {
	pieces := q.matches.Blocks(c.slot)
	if pieces == 0 {
		return 0
	}
	tokens := float64(pieces*engineapi.PieceTokens) * r.index.Confidence(q.now, c.slot)
	return min(int(tokens), max(0, q.req.PromptTokens-1))
}

// distance returns the seconds added for an engine outside the own zone.
func (r *Router) distance(c *Candidate) float64 {
	if c.Zone == r.cfg.Zone {
		return 0
	}
	return r.cfg.RemotePenalty.Seconds()
}

// finishes reports whether an answer predicted by p meets the deadline.
func (p prediction) finishes(r *Request) bool {
	if r.Deadline <= 0 {
		return true
	}
	return seconds(p.first+p.gap*float64(r.ExpectedOutput)) <= r.Deadline
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
