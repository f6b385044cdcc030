package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"filberthook/internal/engines/placement"
)

// Silence timeouts: an attempt is given up after its engine sent nothing for any request
// for this long.
const (
	// prefillSilenceTimeout and generateSilenceTimeout are added to the estimated time.
	prefillSilenceTimeout  = 900 * time.Millisecond
	generateSilenceTimeout = 900 * time.Millisecond
	// estimateFactor multiplies the estimated time to first token, which can be too short.
	estimateFactor = 4
	// minStallTimeout applies between two events. It exceeds the pauses of a healthy stream.
	minStallTimeout = 1000 * time.Millisecond
	// stallGapFactor multiplies the route's goal for the gap between events: a stream may
	// exceed it and still be sound. Callers abandon a stream at twice that.
	stallGapFactor = 4
)

// stallTimeout returns how long the engine may send no event after the first one.
func (c *call) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGapFactor*c.route.GapGoal)
}

// silenceWatch cancels an attempt when its engine has stopped sending, both for the attempt
// and for all other requests of this host. It keeps waiting for an engine that is slow.
type silenceWatch struct {
	call     *call
	engineID string
	ctx      context.Context
	cancel   context.CancelFunc

	mu           sync.Mutex
	timeout      time.Duration
	lastProgress time.Time // last event of the attempt, or last check that found its engine sending
	timer        *time.Timer
	silent       bool
	withdrawn    bool
}

// watchSilence starts to watch an attempt at an engine. With a timeout of 0 the attempt is
// never cancelled for silence.
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

// check cancels the attempt, or schedules the next check.
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

// reserveFailover reports whether the request can be sent to an engine other than the
// silent one, and charges the retry budget for it. If not, waiting for the silent engine is
// the best option.
func (c *call) reserveFailover(id string) bool {
	excluded := maps.Clone(c.excluded)
	excluded[id] = true
	p := c.prompt(&streamProgress{})
	p.Excluded = excluded
	if !c.server.fleet.HasDecoder(p, time.Now()) {
		return false
	}
	return c.arrivals.reserve(1, time.Now())
}

// noteProgress records an event of the attempt and, from then on, applies the stall timeout.
func (s *silenceWatch) noteProgress() {
	now := time.Now()
	s.call.server.fleet.Progress(s.engineID, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastProgress = now
	if s.timeout > 0 {
		s.timeout = s.call.stallTimeout()
	}
}

// withdraw cancels the attempt because of a block in quarantine.
func (s *silenceWatch) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn = true
	s.cancel()
}

// failureReason returns the reason for callers' answers and logs.
func (s *silenceWatch) failureReason(err error) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withdrawn {
		return s.call.reasonWithdrawn()
	}
	return failureReason(err, nil)
}

// outcome returns why the attempt ended without a complete answer.
func (s *silenceWatch) outcome() placement.Outcome {
	s.mu.Lock()
	silent, withdrawn, lastProgress := s.silent, s.withdrawn, s.lastProgress
	s.mu.Unlock()
	switch {
	case silent:
		return placement.Silent
	case withdrawn:
		return placement.Canceled
	case s.call.ctx.Err() == nil:
		return placement.NoContact
	case time.Since(lastProgress) > s.call.stallTimeout() && !s.call.server.fleet.ProgressSince(s.engineID, lastProgress):
		return placement.Silent
	default:
		return placement.Canceled
	}
}

// stop stops watching and cancels the attempt's context.
func (s *silenceWatch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel()
}
