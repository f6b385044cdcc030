package routing

import (
	"math"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/class"
)

// Weights and other parameters of the score, which is in multiples of the latency
// targets.
const (
	lateWeight         = 5.0  // for the excess of a prediction over its target
	memoryWeight       = 0.5  // for the squared share of memory in use
	ageWeight          = 0.05 // per second of a report's age
	gapPower           = 4.0  // exponent for a gap below its target
	interferenceWeight = 0.07 // cost of one step over the gap target, per running request
	slowGapShare       = 0.05 // share of an answer's gaps that may exceed the target (95th percentile)
	separationWeight   = 0.3  // for an engine's prefill or decode rank, so that the two use different mixed engines
	splitCost          = 0.05 // of disaggregated prefill: two more calls, one more engine that can fail
	unseenLoadShare    = 0.7  // share of a non-preferred engine's prefill rate assumed used by other hosts
	unseenWaitShare    = 0.5  // share of the queue wait added for prompts of other hosts not yet reported
	batchWaitSecs      = 4.0  // seconds of wait for each full batch of queued requests
)

// backlogShare is the share of a prefill backlog that runs before a request of the
// class: engines run more urgent requests first.
var backlogShare = [class.Count]float64{class.Status: 0.1, class.Check: 0.35, class.Summary: 1, class.Lookup: 1}

// prediction is the predicted latency and cost of a request on a candidate.
type prediction struct {
	firstToken float64 // seconds to the first token
	queueWait  float64 // part of firstToken spent queued behind other prompts, seconds
	gap        float64 // seconds between tokens, at the 95th percentile
	cost       float64 // slowdown of other requests, memory use and other penalties, in targets
	cached     int     // prompt tokens expected to hit the prefix cache
}

// Scorer predicts the latency and cost of a request, or of its prefill or decode, on
// a candidate. The reason is Admitted unless the candidate lacks free memory now.
type Scorer interface {
	Predict(q *query, c *Candidate) (prediction, Reason)
}

// total returns the score of a prediction; lower is better.
func (p prediction) total(t *Targets) float64 {
	return targetShare(p.firstToken, t.FirstToken.Seconds()) + gapShare(p.gap, t.Gap.Seconds()) + p.cost
}

// gapShare returns a gap as a multiple of its target. Below the target it is raised
// to gapPower: gaps well below the target hardly differ in score, so that decode is
// packed on few engines.
func gapShare(gap, target float64) float64 {
	s := targetShare(gap, target)
	if s >= 1 {
		return s
	}
	return math.Pow(s, gapPower)
}

// targetShare returns value as a multiple of its target, with the excess over the
// target weighted by lateWeight.
func targetShare(value, target float64) float64 {
	if target <= 0 {
		return 0
	}
	s := value / target
	if s > 1 {
		s += lateWeight * (s - 1)
	}
	return s
}

// wholeScorer predicts requests that run on one mixed engine.
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
	p.firstToken += d.firstToken
	p.gap = d.gap
	p.cost += d.cost
	return p, Admitted
}

// prefillScorer predicts the prefill.
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
	if !load.fits(c, KVBlocksFor(q.req.PromptTokens), 0) {
		return prediction{}, ReasonMemory
	}
	cached := s.r.cachedTokens(q, c)
	uncached := float64(q.req.PromptTokens - cached)
	p := prediction{cached: cached}
	p.queueWait = backlogShare[q.req.Class] * load.backlog / rate
	p.firstToken = s.r.zonePenalty(c) + p.queueWait + uncached/rate
	p.cost = load.scarcity(c) + ageWeight*load.age.Seconds() + s.r.nonPreferredCost(c)
	if c.Role != engineapi.RolePrefill {
		p.cost += s.r.interference(q, load.running, uncached) + separationWeight*c.prefillRank*s.r.chunkShare(uncached)
	}
	return p, Admitted
}

// chunkShare returns the share of a full prefill chunk that a prompt fills, at most
// 1: a short prompt hardly delays decoding requests on the same engine.
func (r *Router) chunkShare(uncached float64) float64 {
	return min(1, uncached/float64(r.cfg.Costs.PrefillChunk))
}

// interference returns the cost of a prefill for the requests that decode on the same
// engine: the steps that it lengthens beyond the gap target.
func (r *Router) interference(q *query, running, uncached float64) float64 {
	costs := &r.cfg.Costs
	chunk := min(uncached, float64(costs.PrefillChunk))
	gap := q.targets.Gap.Seconds()
	if gap <= 0 || costs.Step(running, chunk) <= gap {
		return 0
	}
	steps := uncached / float64(costs.PrefillChunk)
	return running * max(1, steps) * interferenceWeight
}

// decodeScorer predicts the decode.
type decodeScorer struct{ r *Router }

// Predict implements Scorer.
func (s decodeScorer) Predict(q *query, c *Candidate) (prediction, Reason) {
	costs := &s.r.cfg.Costs
	load := estimateLoad(q.now, c, costs.PrefillRate(float64(c.Load.Running)))
	if !load.fits(c, q.req.KVBlocks(), s.r.cfg.MemoryGrowth) {
		return prediction{}, ReasonMemory
	}
	running := load.running + 1
	batch := min(running, float64(costs.MaxBatch))
	p := prediction{gap: costs.Step(batch, 0), firstToken: costs.Step(batch, 0)}
	if c.Role != engineapi.RoleDecode {
		p.gap += s.r.prefillGap(q, c, load.backlog, p.gap)
		p.cost += separationWeight * c.decodeRank
	}
	p.firstToken += batchWaitSecs * (running - batch) / float64(costs.MaxBatch)
	p.cost += load.scarcity(c) + s.r.nonPreferredCost(c)
	return p, Admitted
}

// prefillGap returns the seconds that prefills on the same engine add to the 95th
// percentile of an answer's gaps. It grows with the share of steps that run prefill and
// reaches the time of a full chunk when that share is slowGapShare.
func (r *Router) prefillGap(q *query, c *Candidate, backlog, step float64) float64 {
	chunk := float64(r.cfg.Costs.PrefillChunk)
	output := float64(max(1, q.req.ExpectedOutput))
	recent := c.Load.PrefillPerSec * step / chunk
	share := recent + backlog/chunk/output
	return min(1, share/slowGapShare) * chunk / r.cfg.Costs.PrefillPerSec
}

// nonPreferredCost returns the cost of an engine that another entry host prefers.
func (r *Router) nonPreferredCost(c *Candidate) float64 {
	if !c.nonPreferred {
		return 0
	}
	return r.cfg.NonPreferredCost
}

// serviceScorer predicts calls of plain services.
type serviceScorer struct{ r *Router }

// Predict implements Scorer.
func (s serviceScorer) Predict(q *query, c *Candidate) (prediction, Reason) {
	load := estimateLoad(q.now, c, 0)
	step := max(c.Load.StepMillis/1000, s.r.cfg.Costs.StepBase.Seconds())
	return prediction{firstToken: s.r.zonePenalty(c) + step*(load.running+1)}, Admitted
}

// fits reports whether an engine has free memory for the given KV blocks and, per
// running request, growth more.
func (e *estimate) fits(c *Candidate, blocks int, growth float64) bool {
	return e.blocks+growth*e.running+float64(blocks) <= float64(c.KVBlocks)
}

// scarcity returns a cost that grows with the share of an engine's memory in use.
func (e *estimate) scarcity(c *Candidate) float64 {
	used := e.blocks / float64(max(1, c.KVBlocks))
	return memoryWeight * used * used
}

// cachedTokens returns the prompt tokens expected in an engine's prefix cache,
// reduced by the index's confidence. At least one token is always computed.
func (r *Router) cachedTokens(q *query, c *Candidate) int {
	blocks := q.matches.Blocks(c.slot)
	if blocks == 0 {
		return 0
	}
	tokens := float64(blocks*engineapi.KVBlockTokens) * r.index.Confidence(q.now, c.slot)
	return min(saturate.Int(tokens), max(0, q.req.PromptTokens-1))
}

// zonePenalty returns the seconds added to the first token for an engine outside the
// own zone.
func (r *Router) zonePenalty(c *Candidate) float64 {
	if c.Zone == r.cfg.Zone {
		return 0
	}
	return r.cfg.RemotePenalty.Seconds()
}

// meetsDeadline reports whether the predicted answer ends before the deadline.
func (p prediction) meetsDeadline(r *Request) bool {
	if r.Deadline <= 0 {
		return true
	}
	return saturate.Seconds(p.firstToken+p.gap*float64(r.ExpectedOutput)) <= r.Deadline
}
