// Package scheduler joins the directory of instances with routing: it keeps the
// candidates that requests are routed among up to date and tells the directory
// what answers show about instances.
//
// It does not decide where a request runs, package routing does; and it sends
// nothing.
package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"filberthook/internal/directory"
	"filberthook/internal/engineapi"
	"filberthook/internal/routing"
)

// Clock returns the time on the process's monotonic clock.
type Clock func() time.Duration

// Scheduler picks instances for requests. Its methods may be called by many
// goroutines at once.
type Scheduler struct {
	now    Clock
	dir    *directory.Directory
	router *routing.Router

	current atomic.Pointer[candidates]
	rebuild sync.Mutex // held while candidates are built; never with another lock of this package
}

// candidates is the immutable list for one generation of the directory.
type candidates struct {
	generation uint64
	list       []routing.Candidate
}

// New returns a Scheduler over a directory and a router.
func New(now Clock, dir *directory.Directory, router *routing.Router) *Scheduler {
	s := &Scheduler{now: now, dir: dir, router: router}
	s.current.Store(&candidates{})
	return s
}

// Pick returns where the request should run now. The error is a
// *routing.NoCandidateError; nothing has run then.
func (s *Scheduler) Pick(req *routing.Request) (routing.Decision, error) {
	return s.router.Pick(s.now(), req, s.Candidates())
}

// Started notes that the request has been sent as decided. Exactly one call of
// Finished follows.
func (s *Scheduler) Started(d *routing.Decision, req *routing.Request) {
	s.router.Started(s.now(), d, req)
}

// Finished notes that the attempt has ended, whatever its outcome.
func (s *Scheduler) Finished(d *routing.Decision, req *routing.Request) {
	s.router.Finished(s.now(), d, req)
}

// PrefillDone notes that the prompt of a split request has been computed or
// given up.
func (s *Scheduler) PrefillDone(d *routing.Decision, req *routing.Request) {
	s.router.PrefillDone(s.now(), d, req)
}

// ObserveLoad takes a load report that came with an answer.
func (s *Scheduler) ObserveLoad(instance string, incarnation uint64, load engineapi.LoadReport) {
	s.dir.ObserveLoad(s.now(), instance, incarnation, load)
}

// Draining takes an instance's refusal of new work because it is leaving.
func (s *Scheduler) Draining(instance string, incarnation uint64) {
	s.dir.MarkDraining(instance, incarnation)
}

// Candidates returns the candidates of the directory's newest snapshot. They
// must not be changed.
func (s *Scheduler) Candidates() []routing.Candidate {
	snap := s.dir.Snapshot()
	cur := s.current.Load()
	if cur.generation == snap.Generation {
		return cur.list
	}
	s.rebuild.Lock()
	defer s.rebuild.Unlock()
	cur = s.current.Load()
	if cur.generation >= snap.Generation {
		return cur.list
	}
	next := &candidates{generation: snap.Generation, list: make([]routing.Candidate, len(snap.Records))}
	for i, rec := range snap.Records {
		next.list[i] = candidate(rec)
	}
	s.router.Prepare(next.list)
	s.current.Store(next)
	return next.list
}

func candidate(rec *directory.Record) routing.Candidate {
	a := &rec.Announcement
	return routing.Candidate{
		Instance:    a.Instance,
		Incarnation: a.Incarnation,
		Endpoint:    a.Endpoint,
		Kind:        a.Kind,
		Zone:        a.Zone,
		Address:     a.Address,
		Role:        a.State.Role,
		Models:      a.State.Models,
		Pieces:      a.Pieces,
		Draining:    a.Draining,
		Changing:    a.State.Outstanding.ID != "",
		Load:        a.Load,
		ReportedAt:  rec.LoadAt,
	}
}
