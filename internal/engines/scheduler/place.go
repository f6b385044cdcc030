package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/ident"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/routing"
)

// dispatchInterval is how often the queues are dispatched when no event triggers
// it.
const dispatchInterval = 20 * time.Millisecond

// maxQueues bounds the number of queues; there is one for each model.
const maxQueues = 1024

// Placement describes a request that is to be placed.
type Placement struct {
	Team      string // calling team
	Endpoint  string
	TimeLeft  time.Duration // until the deadline
	MaxTokens int           // caller's limit on the answer's length; 0 for no limit
	Generated int           // output tokens already delivered; a request with any is not refused as late
}

// waiter is a request in a queue.
type waiter struct {
	placement Placement
	arrived   time.Duration
	req       *routing.Request
	decision  routing.Decision
	err       error
	done      chan struct{} // closed after decision and err are set
}

// CanceledError reports that the caller left before its request was placed.
type CanceledError struct{ Err error }

func (e *CanceledError) Error() string {
	return fmt.Sprintf("request left the queue before it was placed: %v; nothing has run", e.Err)
}

// Unwrap returns the cause.
func (e *CanceledError) Unwrap() error { return e.Err }

// Place picks an instance for the request and records its start there. It
// estimates the length of the answer. A request for a model without free
// capacity is queued, and refused as soon as it cannot start in time. The error
// is a *routing.NoCandidateError, an *admission.RefusedError or a
// *CanceledError; nothing has run then. Exactly one call of Finished follows a
// nil error.
func (s *Scheduler) Place(ctx context.Context, p Placement, req *routing.Request) (routing.Decision, error) {
	if req.Kind == engineapi.KindModel {
		req.ExpectedOutput = s.expectedOutput(p)
		req.PromptTokens += p.Generated
	}
	w := &waiter{placement: p, arrived: s.now(), req: req, done: make(chan struct{})}
	q := s.queue(req)
	if q == nil || q.Len() == 0 {
		d, err := s.tryStart(w)
		if err == nil || q == nil || !isTemporary(err) {
			return d, err
		}
	}
	return s.wait(ctx, q, w)
}

// expectedOutput estimates the output tokens that are still to come.
func (s *Scheduler) expectedOutput(p Placement) int {
	key := admission.Key{Team: p.Team, Endpoint: p.Endpoint}
	total := s.lengths.Estimate(key, s.admission.Quantile, p.Generated, p.MaxTokens)
	return max(1, total-p.Generated)
}

// AnswerLength records the length in tokens of a complete answer.
func (s *Scheduler) AnswerLength(team, endpoint string, tokens int) {
	s.lengths.Observe(admission.Key{Team: team, Endpoint: endpoint}, tokens)
}

// isTemporary reports whether a request that was not placed can succeed later.
func isTemporary(err error) bool {
	var none *routing.NoCandidateError
	return errors.As(err, &none) && none.Temporary()
}

// tryStart picks an instance and records the start. If only instances are left
// that have failed the request, they are tried again. A request that would be
// too late at the picked instance is refused.
func (s *Scheduler) tryStart(w *waiter) (routing.Decision, error) {
	d, err := s.Pick(w.req)
	if err != nil && len(w.req.Exclude) > 0 {
		w.req.Exclude = nil
		d, err = s.Pick(w.req)
	}
	if err != nil {
		return d, err
	}
	if late := s.tooLate(w, &d); late != nil {
		return d, late
	}
	s.Started(&d, w.req)
	s.recordDemand(w, &d)
	return d, nil
}

// minRetryAfter is the shortest time after which a request refused as late
// should be retried.
const minRetryAfter = time.Second

// tooLate returns the refusal of a request whose answer has not begun and
// cannot begin in time.
func (s *Scheduler) tooLate(w *waiter, d *routing.Decision) error {
	if w.req.Kind != engineapi.KindModel || w.placement.Generated > 0 {
		return nil
	}
	waited := s.now() - w.arrived
	target := s.routing.Targets.Of(w.req.Class).FirstToken.Duration
	if !s.admission.TooLate(waited, d.FirstToken, target) {
		return nil
	}
	return &admission.RefusedError{
		ID:         w.req.ID,
		Reason:     admission.RefusedDeadline,
		RetryAfter: max(minRetryAfter, waited+d.FirstToken-target),
	}
}

// recordDemand adds a started request to the demand of this host's zone. Answers
// count with their mean length: the quantile used to reserve memory would
// overstate the demand to the planner.
func (s *Scheduler) recordDemand(w *waiter, d *routing.Decision) {
	if w.req.Kind != engineapi.KindModel {
		return
	}
	mean := s.lengths.Mean(admission.Key{Team: w.placement.Team, Endpoint: w.placement.Endpoint})
	s.meter.Add(w.req.PromptTokens, d.CachedTokens, max(1, saturate.Int(mean)-w.placement.Generated))
}

// queue returns the queue of the request's model, nil for plain services and
// when there are too many models.
func (s *Scheduler) queue(req *routing.Request) *admission.Queue[*waiter] {
	if req.Kind != engineapi.KindModel {
		return nil
	}
	s.queuesMu.RLock()
	q := s.queues[req.Model]
	s.queuesMu.RUnlock()
	if q != nil {
		return q
	}
	s.queuesMu.Lock()
	defer s.queuesMu.Unlock()
	if q := s.queues[req.Model]; q != nil || len(s.queues) >= maxQueues {
		return q
	}
	q = admission.NewQueue[*waiter](s.admission, req.Model, s.metrics)
	s.queues[req.Model] = q
	return q
}

// wait queues the request until it is placed or refused, or its caller leaves.
func (s *Scheduler) wait(ctx context.Context, q *admission.Queue[*waiter], w *waiter) (routing.Decision, error) {
	item := admission.Item[*waiter]{
		ID:       ident.New(),
		Team:     w.placement.Team,
		Class:    w.req.Class,
		KVBlocks: w.req.KVBlocks(),
		Arrived:  w.arrived,
		StartBy:  s.startBy(w.arrived, w.placement, w.req),
		Value:    w,
	}
	if err := q.Push(s.now(), item); err != nil {
		return routing.Decision{}, err
	}
	s.wakeDispatcher()
	select {
	case <-w.done:
		return w.decision, w.err
	case <-ctx.Done():
	}
	if q.Cancel(item.ID) {
		return routing.Decision{}, &CanceledError{Err: ctx.Err()}
	}
	<-w.done // it left the queue concurrently
	if w.err == nil {
		s.release(&w.decision, w.req)
	}
	return routing.Decision{}, &CanceledError{Err: ctx.Err()}
}

// release undoes the start of a request that will not be sent.
func (s *Scheduler) release(d *routing.Decision, req *routing.Request) {
	if d.Prefill != "" {
		s.PrefillDone(d, req)
	}
	s.Finished(d, req)
}

// startBy returns the latest time to start a request, or 0 if its answer has begun:
// the first-token target of its class less half its prefill time, but at least an
// eighth of the target, and no later than the deadline.
func (s *Scheduler) startBy(now time.Duration, p Placement, req *routing.Request) time.Duration {
	if p.Generated > 0 {
		return 0
	}
	prompt := float64(req.PromptTokens) / s.routing.Costs.PrefillRate(0) / 2
	target := s.routing.Targets.Of(req.Class).FirstToken.Duration
	latest := max(target-saturate.Seconds(prompt), target/8)
	if p.TimeLeft > 0 {
		latest = min(latest, p.TimeLeft)
	}
	return now + latest
}

// Run places queued requests until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		s.dispatchAll()
	}
}

// wakeDispatcher makes Run dispatch the queues at once.
func (s *Scheduler) wakeDispatcher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Scheduler) dispatchAll() {
	s.queuesMu.RLock()
	queues := make([]*admission.Queue[*waiter], 0, len(s.queues))
	for _, q := range s.queues {
		queues = append(queues, q)
	}
	s.queuesMu.RUnlock()
	for _, q := range queues {
		if q.Len() > 0 {
			s.dispatch(q)
		}
	}
}

// dispatch refuses the requests that have become late and places those that fit.
func (s *Scheduler) dispatch(q *admission.Queue[*waiter]) {
	now := s.now()
	for _, x := range q.Expire(now) {
		x.Item.Value.err = x.Err
		close(x.Item.Value.done)
	}
	q.Dispatch(now, func(item *admission.Item[*waiter]) bool {
		w := item.Value
		d, err := s.tryStart(w)
		if err != nil && isTemporary(err) {
			return false
		}
		w.decision, w.err = d, err
		close(w.done)
		return true
	})
}

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int {
	s.queuesMu.RLock()
	defer s.queuesMu.RUnlock()
	n := 0
	for _, q := range s.queues {
		n += q.Len()
	}
	return n
}
