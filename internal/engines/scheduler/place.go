package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/ident"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/routing"
)

// dispatchInterval is how often waiting requests are looked at when nothing
// else has happened.
const dispatchInterval = 20 * time.Millisecond

// maxQueues bounds the number of models that requests wait for.
const maxQueues = 1024

// Placement describes a request that is to be placed.
type Placement struct {
	Team      string // calling team
	Endpoint  string
	Left      time.Duration // until the deadline
	MaxTokens int           // limit of the answer that the caller set; 0 is none
	Generated int           // output tokens that the caller has; such a request is not refused for lateness
}

// waiter is a request in a queue.
type waiter struct {
	place    Placement
	arrived  time.Duration
	req      *routing.Request
	decision routing.Decision
	err      error
	done     chan struct{} // closed after decision and err are set
}

// CanceledError tells that a caller left before its request was placed.
type CanceledError struct{ Err error }

func (e *CanceledError) Error() string {
	return fmt.Sprintf("request left the queue before it was placed: %v; nothing has run", e.Err)
}

// Unwrap returns the cause.
func (e *CanceledError) Unwrap() error { return e.Err }

// Place picks an instance for the request and notes that it has started there.
// It estimates the length of the answer. A request for a model that has no room
// now waits its turn; it is refused as soon as it cannot start in time. The
// error is a *routing.NoCandidateError, an *admission.RefusedError or a
// *CanceledError; nothing has run then. Exactly one call of Finished follows a
// nil error.
func (s *Scheduler) Place(ctx context.Context, p Placement, req *routing.Request) (routing.Decision, error) {
	if req.Kind == engineapi.KindModel {
		req.ExpectedOutput = s.expectedOutput(p)
		req.PromptTokens += p.Generated
	}
	w := &waiter{place: p, arrived: s.now(), req: req, done: make(chan struct{})}
	q := s.queue(req)
	if q == nil || q.Len() == 0 {
		d, err := s.startNow(w)
		if err == nil || q == nil || !waitable(err) {
			return d, err
		}
	}
	return s.wait(ctx, q, w)
}

// expectedOutput estimates the output tokens that are still to come.
func (s *Scheduler) expectedOutput(p Placement) int {
	key := admission.Key{Team: p.Team, Endpoint: p.Endpoint}
	whole := s.lengths.Estimate(key, s.admission.Quantile, p.Generated, p.MaxTokens)
	return max(1, whole-p.Generated)
}

// AnswerLength notes the length in tokens of a whole answer.
func (s *Scheduler) AnswerLength(team, endpoint string, tokens int) {
	s.lengths.Observe(admission.Key{Team: team, Endpoint: endpoint}, tokens)
}

// waitable reports whether waiting can help a request that was not picked.
func waitable(err error) bool {
	var none *routing.NoCandidateError
	return errors.As(err, &none) && none.Temporary()
}

// startNow picks an instance and notes the start. When only instances are left
// that have failed the request, they are tried again. A request that would be
// too late where it would run is refused.
func (s *Scheduler) startNow(w *waiter) (routing.Decision, error) {
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
	s.meterStart(w, &d)
	return d, nil
}

// minReturnAdvice is the least time after which a request that would be too
// late is worth sending again.
const minReturnAdvice = time.Second

// tooLate returns the refusal of a request whose answer has not begun and
// cannot begin in time.
func (s *Scheduler) tooLate(w *waiter, d *routing.Decision) error {
	if w.req.Kind != engineapi.KindModel || w.place.Generated > 0 {
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
		RetryAfter: max(minReturnAdvice, waited+d.FirstToken-target),
	}
}

// meterStart counts the work that starts at an engine of the own zone. Answers
// count with their mean length: the quantile that reserves memory would make
// the planner see more work than there is.
func (s *Scheduler) meterStart(w *waiter, d *routing.Decision) {
	if w.req.Kind != engineapi.KindModel {
		return
	}
	mean := s.lengths.Mean(admission.Key{Team: w.place.Team, Endpoint: w.place.Endpoint})
	s.meter.Add(w.req.PromptTokens, d.CachedTokens, max(1, int(mean)-w.place.Generated))
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

// wait queues the request until it is placed, refused or its caller leaves.
func (s *Scheduler) wait(ctx context.Context, q *admission.Queue[*waiter], w *waiter) (routing.Decision, error) {
	item := admission.Item[*waiter]{
		ID:       ident.New(),
		Team:     w.place.Team,
		Class:    w.req.Class,
		KVBlocks: w.req.KVBlocks(),
		Arrived:  w.arrived,
		StartBy:  s.startBy(w.arrived, w.place, w.req),
		Value:    w,
	}
	if err := q.Push(s.now(), item); err != nil {
		return routing.Decision{}, err
	}
	s.wakeUp()
	select {
	case <-w.done:
		return w.decision, w.err
	case <-ctx.Done():
	}
	if q.Cancel(item.ID) {
		return routing.Decision{}, &CanceledError{Err: ctx.Err()}
	}
	<-w.done // it left the queue at the same moment
	if w.err == nil {
		s.abandon(&w.decision, w.req)
	}
	return routing.Decision{}, &CanceledError{Err: ctx.Err()}
}

// abandon gives back the place of a request that is not sent.
func (s *Scheduler) abandon(d *routing.Decision, req *routing.Request) {
	if d.Prefill != "" {
		s.PrefillDone(d, req)
	}
	s.Finished(d, req)
}

// startBy returns the latest start that can meet the first-token target of the
// class and the deadline; 0 for a request whose answer has begun.
func (s *Scheduler) startBy(now time.Duration, p Placement, req *routing.Request) time.Duration {
	if p.Generated > 0 {
		return 0
	}
	prompt := float64(req.PromptTokens) / s.routing.Costs.PrefillRate(0) / 2
	target := s.routing.Targets.Of(req.Class).FirstToken.Duration
	latest := max(target-time.Duration(prompt*float64(time.Second)), target/8)
	if p.Left > 0 {
		latest = min(latest, p.Left)
	}
	return now + latest
}

// Run places waiting requests until ctx ends.
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

// wakeUp lets Run look at the queues at once.
func (s *Scheduler) wakeUp() {
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

// dispatch refuses what has become too late and places what can be placed.
func (s *Scheduler) dispatch(q *admission.Queue[*waiter]) {
	now := s.now()
	for _, x := range q.Expire(now) {
		x.Item.Value.err = x.Err
		close(x.Item.Value.done)
	}
	q.Dispatch(now, func(item *admission.Item[*waiter]) bool {
		w := item.Value
		d, err := s.startNow(w)
		if err != nil && waitable(err) {
			return false
		}
		w.decision, w.err = d, err
		close(w.done)
		return true
	})
}

// Waiting returns the number of requests that wait for a place.
func (s *Scheduler) Waiting() int {
	s.queuesMu.RLock()
	defer s.queuesMu.RUnlock()
	n := 0
	for _, q := range s.queues {
		n += q.Len()
	}
	return n
}
