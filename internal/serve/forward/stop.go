package forward

import (
	"context"
	"time"
)

// maxLateAdmission is how long after a stop began all requests are taken: the load balancer sends
// new connections until it has noticed the stop. At least half of the time to the end is left then.
const maxLateAdmission = 3 * time.Second

// stopPlan decides which requests a host that stops still takes.
type stopPlan struct {
	end      time.Time // requests still in progress are ended
	allUntil time.Time // requests that come before are taken
}

func newStopPlan(began, end time.Time) *stopPlan {
	return &stopPlan{end: end, allUntil: began.Add(min(maxLateAdmission, end.Sub(began)/2))}
}

// admits reports whether a request that came now may be sent to an instance: it came soon after
// the stop began, or its deadline is before the end.
func (p *stopPlan) admits(now, deadline time.Time) bool {
	return now.Before(p.allUntil) || !deadline.After(p.end)
}

// Stop makes the server close each connection after its next answer, and refuse requests that
// might not be answered before the end.
func (s *Server) Stop(end time.Time) {
	s.stopPlan.CompareAndSwap(nil, newStopPlan(time.Now(), end))
}

// EndRequests ends the requests in progress, which are answered with what is known: that they did
// not run, or that they may have. Streams that have begun are aborted.
func (s *Server) EndRequests() { s.endRequests() }

// stopping reports whether a stop has begun.
func (s *Server) stopping() bool { return s.stopPlan.Load() != nil }

// admitsInStop reports whether a request may be sent to an instance, as far as a stop goes.
func (s *Server) admitsInStop(now, deadline time.Time) bool {
	plan := s.stopPlan.Load()
	return plan == nil || plan.admits(now, deadline)
}

// untilEnd returns the context of a request in progress, which EndRequests ends.
func (s *Server) untilEnd(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(s.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
