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
	// prefillSilenceTimeout and runPatience are added to what the estimate allows.
	prefillSilenceTimeout  = 900 * time.Millisecond
	generateSilenceTimeout = 900 * time.Millisecond
	// estimateFactor allows for estimates that are short of what happens.
	estimateFactor = 4
	// stallTimeout holds between two events: longer than a pause that is on time.
	stallTimeout = 1000 * time.Millisecond
)

// silenceWatch watches an attempt and ends it when nothing comes from its engine any more,
// neither for the attempt nor for any other request of this host. An engine that is
// only slow is waited for.
type silenceWatch struct {
	call     *call
	engineID string
	ctx      context.Context
	cancel   context.CancelFunc

	mu           sync.Mutex
	timeout      time.Duration
	lastProgress time.Time // last progress of the attempt
	timer        *time.Timer
	silent       bool
}

// watchSilence starts to watch an attempt at an engine. A patience of 0 waits for ever.
func (c *call) watchSilence(id string, timeout time.Duration) *silenceWatch {
	s := &silenceWatch{call: c, engineID: id, timeout: timeout, lastProgress: time.Now()}
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	if timeout > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = time.AfterFunc(timeout, s.check)
	}
	return s
}

// check ends the attempt, or looks again later.
func (s *silenceWatch) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := time.Since(s.lastProgress)
	switch {
	case quiet < s.timeout:
		s.timer.Reset(s.timeout - quiet)
	case s.call.server.fleet.ProgressSince(s.engineID, s.lastProgress):
		s.timer.Reset(s.timeout)
		s.lastProgress = time.Now()
	case !s.call.reserveFailover(s.engineID):
		s.timer.Reset(s.timeout)
	default:
		s.silent = true
		s.cancel()
	}
}

// reserveFailover reports whether the request can be sent to another engine than the
// one that is silent, and charges the budget for it. Otherwise the silent one is still
// its best chance.
func (c *call) reserveFailover(id string) bool {
	excluded := maps.Clone(c.excluded)
	excluded[id] = true
	p := c.prompt(&streamProgress{})
	p.Excluded = excluded
	if _, err := c.server.fleet.PlaceDecode(p, "", time.Now()); err != nil {
		return false
	}
	if !c.server.budgets.Of(c.endpoint).Take(time.Now()) {
		return false
	}
	c.retryReserved.Store(true)
	return true
}

// noteProgress notes an event of the attempt.
func (s *silenceWatch) noteProgress() {
	now := time.Now()
	s.call.server.fleet.Progress(s.engineID, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastProgress = now
	if s.timeout > 0 {
		s.timeout = stallTimeout
	}
}

// outcome tells why an attempt ended without its answer.
func (s *silenceWatch) outcome() placement.Outcome {
	s.mu.Lock()
	silent, lastProgress := s.silent, s.lastProgress
	s.mu.Unlock()
	switch {
	case silent:
		return placement.Silent
	case s.call.ctx.Err() == nil:
		return placement.NoContact
	case time.Since(lastProgress) > stallTimeout && !s.call.server.fleet.ProgressSince(s.engineID, lastProgress):
		return placement.Silent
	default:
		return placement.Canceled
	}
}

// stop ends the watch.
func (s *silenceWatch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel()
}
