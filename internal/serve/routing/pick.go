package routing

import (
	"math"

	"filberthook/internal/engines/engineapi"
)

// choice is the best placement found so far.
type choice struct {
	instance  *Candidate // runs the request, or its decode when prefill is set
	prefill   *Candidate // runs the prefill; nil when instance runs the whole request
	predicted prediction
	score     float64
}

func noChoice() choice { return choice{score: math.Inf(1)} }

// better reports whether score is lower, and so better, than that of the choice.
func (ch *choice) better(score float64) bool { return score < ch.score }

// filter puts the candidates that pass all filters on the query's shortlists.
func (r *Router) filter(q *query) {
	for i := range q.cands {
		c := &q.cands[i]
		if reason := r.check(c, q.req); reason != Admitted {
			q.refuse(c, reason)
			continue
		}
		q.admit(i, c.Zone == r.cfg.Zone, r.cfg.Split)
	}
}

func (r *Router) check(c *Candidate, req *Request) Reason {
	for _, f := range r.filters {
		if reason := f.Check(c, req); reason != Admitted {
			return reason
		}
	}
	return Admitted
}

// choose returns the best placement on a sample of the candidates, or on all of
// them when wide is set.
func (r *Router) choose(q *query, wide bool) choice {
	best := r.chooseWhole(q, wide)
	if !r.cfg.Split || q.req.kind() != engineapi.KindModel {
		return best
	}
	split := r.chooseSplit(q, wide)
	if best.better(split.score) {
		return split
	}
	return best
}

func (r *Router) sample(q *query, list *shortlist, wide bool) []int32 {
	if wide {
		list.sampleAll()
		return list.sample
	}
	r.sampler.Sample(q, list)
	return list.sample
}

// chooseWhole finds the best engine to run the whole request.
func (r *Router) chooseWhole(q *query, wide bool) choice {
	scorer := r.whole
	if q.req.kind() == engineapi.KindService {
		scorer = r.service
	}
	best := noChoice()
	for _, i := range r.sample(q, &q.whole, wide) {
		c := &q.cands[i]
		p, reason := scorer.Predict(q, c)
		best.consider(q, choice{instance: c, predicted: p}, reason)
	}
	return best
}

// consider replaces the choice by other if other is admitted, meets the deadline
// and has a better score.
func (ch *choice) consider(q *query, other choice, reason Reason) {
	if reason == Admitted && !other.predicted.meetsDeadline(q.req) {
		reason = ReasonDeadline
	}
	if reason != Admitted {
		q.refuse(other.instance, reason)
		return
	}
	other.score = other.predicted.total(q.targets)
	q.explainChoice(&other, "score")
	if ch.better(other.score) {
		*ch = other
	}
}

// explainChoice adds a step for a placement if the request asks for an explanation.
func (q *query) explainChoice(ch *choice, stage string) {
	if !q.req.Explain {
		return
	}
	mode := "whole"
	if ch.prefill != nil {
		mode = "split, prompt on " + ch.prefill.Instance
	}
	q.explain(ch.instance, stage, mode, ch.score)
}

// chooseSplit finds the best pair of engines in one zone, one for prefill and one
// for decode.
func (r *Router) chooseSplit(q *query, wide bool) choice {
	best := noChoice()
	for _, i := range r.sample(q, &q.prefill, wide) {
		c := &q.cands[i]
		p, reason := r.prefill.Predict(q, c)
		if reason != Admitted {
			q.refuse(c, reason)
			continue
		}
		pair := r.bestDecode(q, c, wide)
		if pair.instance == nil {
			continue
		}
		pair.predicted.addPrefill(p)
		pair.predicted.firstToken += float64(q.req.PromptTokens) / r.cfg.Costs.TransferPerSec
		pair.predicted.cost += splitCost
		pair.prefill = c
		best.consider(q, pair, Admitted)
	}
	return best
}

// addPrefill combines a decode prediction with that of the prefill before it.
func (p *prediction) addPrefill(prefill prediction) {
	p.firstToken += prefill.firstToken
	p.queueWait = prefill.queueWait
	p.cost += prefill.cost
	p.cached = prefill.cached
}

// bestDecode finds the best decode engine in the zone of the prefill engine. The
// choice's instance is nil when there is none.
func (r *Router) bestDecode(q *query, prefill *Candidate, wide bool) choice {
	best := noChoice()
	list := &q.decode[prefill.zoneIndex]
	if len(list.sample) == 0 {
		r.sampleDecode(list, wide)
	}
	for _, i := range list.sample {
		c := &q.cands[i]
		if c.Instance == prefill.Instance {
			continue
		}
		p, reason := r.decode.Predict(q, c)
		if reason != Admitted {
			q.refuse(c, reason)
			continue
		}
		if score := p.total(q.targets); best.better(score) {
			best = choice{instance: c, predicted: p, score: score}
		}
	}
	return best
}

// sampleDecode samples the decode engines of one zone, which are either all local
// or all remote.
func (r *Router) sampleDecode(list *shortlist, wide bool) {
	if wide {
		list.sampleAll()
		return
	}
	r.sampler.draw(list, list.local, r.cfg.SampleLocal)
	r.sampler.draw(list, list.remote, r.cfg.SampleLocal)
}
