package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"filberthook/internal/engines/placement"
)

// Times without a byte from an engine, for any request, after which it is given up.
const (
	// readPatience and runPatience are added to what the estimate allows.
	readPatience = 900 * time.Millisecond
	runPatience  = 900 * time.Millisecond
	// patienceFactor allows for estimates that are short of what happens.
	patienceFactor = 4
	// stallPatience holds between two events: longer than a pause that is on time.
	stallPatience = 1000 * time.Millisecond
)

// silence watches an attempt and ends it when nothing comes from its engine any more,
// neither for the attempt nor for any other request of this host. An engine that is
// only slow is waited for.
type silence struct {
	call *call
	id   string
	ctx  context.Context
	end  context.CancelFunc

	mu       sync.Mutex
	patience time.Duration
	since    time.Time // last progress of the attempt
	timer    *time.Timer
	silent   bool
}

// watchSilence starts to watch an attempt at an engine. A patience of 0 waits for ever.
func (c *call) watchSilence(id string, patience time.Duration) *silence {
	s := &silence{call: c, id: id, patience: patience, since: time.Now()}
	s.ctx, s.end = context.WithCancel(c.ctx)
	if patience > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = time.AfterFunc(patience, s.check)
	}
	return s
}

// check ends the attempt, or looks again later.
func (s *silence) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := time.Since(s.since)
	switch {
	case quiet < s.patience:
		s.timer.Reset(s.patience - quiet)
	case s.call.server.fleet.ProgressSince(s.id, s.since):
		s.timer.Reset(s.patience)
		s.since = time.Now()
	case !s.call.canGoOnWithout(s.id):
		s.timer.Reset(s.patience)
	default:
		s.silent = true
		s.end()
	}
}

// canGoOnWithout reports whether the request can be sent to another engine than the
// one that is silent, and charges the budget for it. Otherwise the silent one is still
// its best chance.
func (c *call) canGoOnWithout(id string) bool {
	excluded := maps.Clone(c.excluded)
	excluded[id] = true
	p := c.prompt(&progress{})
	p.Excluded = excluded
	if _, err := c.server.fleet.PlaceDecode(p, "", time.Now()); err != nil {
		return false
	}
	if !c.server.budgets.Of(c.endpoint).Take(time.Now()) {
		return false
	}
	c.reserved.Store(true)
	return true
}

// progress notes an event of the attempt.
func (s *silence) progress() {
	now := time.Now()
	s.call.server.fleet.Progress(s.id, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = now
	if s.patience > 0 {
		s.patience = stallPatience
	}
}

// outcome tells why an attempt ended without its answer.
func (s *silence) outcome() placement.Outcome {
	s.mu.Lock()
	silent, since := s.silent, s.since
	s.mu.Unlock()
	switch {
	case silent:
		return placement.Silent
	case s.call.ctx.Err() == nil:
		return placement.NoContact
	case time.Since(since) > stallPatience && !s.call.server.fleet.ProgressSince(s.id, since):
		return placement.Silent
	default:
		return placement.Canceled
	}
}

// stop ends the watch.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.end()
}
