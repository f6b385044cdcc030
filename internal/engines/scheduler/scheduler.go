// Package scheduler connects the directory of instances with routing: it keeps the
// routing candidates up to date, queues requests that find no capacity, and reports
// to the directory what answers reveal about instances.
//
// It does not decide where a request runs, package routing does; and it sends
// nothing.
package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/routing"

	"github.com/VictoriaMetrics/metrics"
)

// Clock returns the time on the process's monotonic clock.
type Clock func() time.Duration

// Meter counts the work that starts in this host's availability zone.
type Meter interface {
	Add(prompt, cached, output int)
}

// Settings are the settings of a Scheduler.
type Settings struct {
	Routing   routing.Config
	Admission admission.Config
}

// Scheduler picks instances for requests. Its methods may be called by many
// goroutines at once, except for Run, which runs once.
type Scheduler struct {
	now       Clock
	dir       *directory.Directory
	router    *routing.Router
	routing   routing.Config
	admission admission.Config
	lengths   *admission.Lengths
	meter     Meter
	metrics   *metrics.Set
	wake      chan struct{}

	current   atomic.Pointer[candidates]
	rebuildMu sync.Mutex // held while candidates are built; never with another lock of this package

	queuesMu sync.RWMutex // guards queues
	queues   map[string]*admission.Queue[*waiter]
}

// candidates is the immutable list for one generation of the directory.
type candidates struct {
	generation uint64
	list       []routing.Candidate
}

// New returns a Scheduler over a directory and a router. The router must have
// been created with the same routing settings.
func New(settings Settings, now Clock, dir *directory.Directory, router *routing.Router, meter Meter, set *metrics.Set) *Scheduler {
	s := &Scheduler{
		now:       now,
		dir:       dir,
		router:    router,
		routing:   settings.Routing,
		admission: settings.Admission,
		lengths:   admission.NewLengths(settings.Admission.PriorOutput),
		meter:     meter,
		metrics:   set,
		wake:      make(chan struct{}, 1),
		queues:    make(map[string]*admission.Queue[*waiter]),
	}
	s.current.Store(&candidates{})
	return s
}

// Pick returns where the request should run now. The error is a
// *routing.NoCandidateError; nothing has run then.
func (s *Scheduler) Pick(req *routing.Request) (routing.Decision, error) {
	return s.router.Pick(s.now(), req, s.Candidates())
}

// Started records that the request is sent as decided. Exactly one call of
// Finished follows.
func (s *Scheduler) Started(d *routing.Decision, req *routing.Request) {
	s.router.Started(s.now(), d, req)
}

// Finished records that the attempt has ended, whatever its outcome.
func (s *Scheduler) Finished(d *routing.Decision, req *routing.Request) {
	s.router.Finished(s.now(), d, req)
	s.wakeDispatcher()
}

// PrefillDone records that the prefill of a request with disaggregated prefill
// has finished or been abandoned.
func (s *Scheduler) PrefillDone(d *routing.Decision, req *routing.Request) {
	s.router.PrefillDone(s.now(), d, req)
}

// ObserveLoad records a load report that came with an answer.
func (s *Scheduler) ObserveLoad(instance string, incarnation uint64, load engineapi.LoadReport) {
	s.dir.ObserveLoad(s.now(), instance, incarnation, load)
}

// Draining records that an instance refused new work because it is draining.
func (s *Scheduler) Draining(instance string, incarnation uint64) {
	s.dir.MarkDraining(instance, incarnation)
}

// Live reports whether an instance holds its lease. A newer incarnation counts
// as another instance.
func (s *Scheduler) Live(instance string, incarnation uint64) bool {
	rec := s.dir.Snapshot().Find(instance)
	return rec != nil && rec.Announcement.Incarnation == incarnation
}

// Candidates returns the candidates of the directory's newest snapshot. The
// caller must not modify them.
func (s *Scheduler) Candidates() []routing.Candidate {
	snap := s.dir.Snapshot()
	cur := s.current.Load()
	if cur.generation == snap.Generation {
		return cur.list
	}
	s.rebuildMu.Lock()
	defer s.rebuildMu.Unlock()
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
		KVBlocks:    a.KVBlocks,
		Draining:    a.Draining || a.State.Drained,
		Changing:    a.State.Outstanding.ID != "",
		Load:        a.Load,
		ReportedAt:  rec.LoadAt,
	}
}
