package routing

import (
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/prefix"
)

// query is the scratch state of one Pick. It is pooled, so Pick does not allocate
// once its slices have grown.
type query struct {
	now      time.Duration
	req      *Request
	cands    []Candidate
	targets  *Targets
	matches  prefix.Matches
	counts   [numReasons]int
	admitted int // candidates that the filters admitted

	whole   shortlist   // engines that can run the whole request
	prefill shortlist   // engines that can run prefill
	decode  []shortlist // by zone number: engines that can decode from an imported KV cache
	steps   []Step
}

// shortlist holds the indexes of admitted candidates.
type shortlist struct {
	local  []int32
	remote []int32
	sample []int32 // candidates to score
}

func (s *shortlist) reset() {
	s.local = s.local[:0]
	s.remote = s.remote[:0]
	s.sample = s.sample[:0]
}

func (s *shortlist) add(i int, local bool) {
	if local {
		s.local = append(s.local, int32(i))
		return
	}
	s.remote = append(s.remote, int32(i))
}

func (q *query) reset(now time.Duration, req *Request, cands []Candidate, zones int) {
	q.now, q.req, q.cands = now, req, cands
	q.counts = [numReasons]int{}
	q.admitted = 0
	q.whole.reset()
	q.prefill.reset()
	for len(q.decode) < zones {
		q.decode = append(q.decode, shortlist{})
	}
	for i := range q.decode {
		q.decode[i].reset()
	}
	q.steps = nil
}

// refusal returns the error for a request that no candidate can take now. If neither
// memory nor the deadline is the cause, the admitted candidates lack a counterpart: a
// prefill engine without a decode engine, or the reverse.
func (q *query) refusal() error {
	if q.counts[ReasonMemory] == 0 && q.counts[ReasonDeadline] == 0 {
		q.counts[ReasonRole] = q.admitted
	}
	return &NoCandidateError{Model: q.req.Model, Endpoint: q.req.Endpoint, Counts: q.counts}
}

// release clears references to the caller's data before the query is pooled.
func (q *query) release() {
	q.req, q.cands, q.steps, q.targets = nil, nil, nil, nil
}

// explain adds a step if the request asks for an explanation.
func (q *query) explain(c *Candidate, stage, reason string, score float64) {
	if !q.req.Explain {
		return
	}
	q.steps = append(q.steps, Step{Instance: c.Instance, Stage: stage, Reason: reason, Score: score})
}

// refuse records the reason why a candidate cannot take the request.
func (q *query) refuse(c *Candidate, reason Reason) {
	q.counts[reason]++
	q.explain(c, "filter", reason.String(), 0)
}

// admit adds a candidate to the shortlists that its role allows.
func (q *query) admit(i int, local, split bool) {
	q.admitted++
	c := &q.cands[i]
	if c.Kind == engineapi.KindService {
		q.whole.add(i, local)
		return
	}
	if c.Role == engineapi.RoleMixed || c.Role == "" {
		q.whole.add(i, local)
	}
	if !split {
		return
	}
	if c.Role != engineapi.RoleDecode {
		q.prefill.add(i, local)
	}
	if c.Role != engineapi.RolePrefill {
		q.decode[c.zoneIndex].add(i, local)
	}
}
