package forward

import (
	"context"
	"maps"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/routes"
)

// Silence timeouts: a takeover begins, or a prefill is given up, after the engine sent nothing for any
// request for this long.
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
	// minTakeoverInterval is the time to the next check of an engine that is still silent. The time from
	// one takeover to the next doubles up to maxTakeoverInterval.
	minTakeoverInterval = 250 * time.Millisecond
	maxTakeoverInterval = 2 * time.Second
)

// stallTimeout returns how long the engine may send no event after the first one.
func (c *call) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGapFactor*c.route.GapGoal)
}

// silenceWatch notices when the engine of an attempt has stopped sending, both for the attempt and for
// all other requests of this host. A takeover then runs beside the attempt; see generation. The
// lock of its call guards it.
type silenceWatch struct {
	call       *call
	generation *generation
	target     placement.Target
	progress   *streamProgress // of the stream; nil for a prefill and for a plain service
	contained  bool            // the attempt tests a suspect at a plain service
	cancels    bool            // a silent attempt is cancelled, as another one takes its place: a prefill
	ctx        context.Context
	cancel     context.CancelFunc

	timeout      time.Duration
	lastProgress time.Time // last event of the attempt, or last check that found its engine sending
	timer        *time.Timer
	recheck      time.Duration // until a silent engine's takeover is tried again
	takeover     *generation   // the last one that began, nil if none did
	recorded     bool          // the engine's silence counts in its health
	takenOver    bool          // another engine has gone on with the stream
	silent       bool          // cancelled because of the silence
	withdrawn    bool
	stopped      bool
}

// watchSilence starts to watch an attempt at an engine. With a timeout of 0 the attempt is
// waited for, however long its engine is silent.
func (c *call) watchSilence(g *generation, target placement.Target, timeout time.Duration) *silenceWatch {
	s := &silenceWatch{call: c, generation: g, target: target, timeout: timeout, recheck: minTakeoverInterval, lastProgress: time.Now()}
	s.ctx, s.cancel = context.WithCancel(g.ctx)
	if timeout > 0 {
		s.timer = time.AfterFunc(timeout, s.check)
	}
	return s
}

// check begins a takeover from a silent engine, or schedules the next check.
func (s *silenceWatch) check() {
	c := s.call
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := time.Since(s.lastProgress)
	switch {
	case s.stopped:
	case quiet < s.timeout:
		s.timer.Reset(s.timeout - quiet)
	case c.server.fleet.ProgressSince(s.target.ID, s.lastProgress):
		s.timer.Reset(s.timeout)
		s.lastProgress = time.Now()
	case s.takeover.running():
		s.timer.Reset(minTakeoverInterval)
	case !c.reserveFailover(s):
		s.timer.Reset(minTakeoverInterval)
	case s.cancels:
		s.silent = true
		s.cancel()
	default:
		c.beginTakeover(s)
		s.timer.Reset(s.recheck)
		s.recheck = min(2*s.recheck, maxTakeoverInterval)
	}
}

// reserveFailover reports whether the request can be sent to an engine other than the
// silent one, and charges the retry budget for it. If not, waiting for the silent engine is
// the best option.
func (c *call) reserveFailover(s *silenceWatch) bool {
	if !s.cancels && c.ran >= c.route.MaxAttempts { // takeovers that ended have used them
		return false
	}
	if c.route.Kind != routes.Stream {
		return c.mayResend(s.generation.ctx)
	}
	if s.progress != nil && !s.progress.resumable() {
		return false // another engine cannot go on where the caller is
	}
	excluded := maps.Clone(c.excluded)
	excluded[s.target.ID] = true
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
	s.call.server.fleet.Progress(s.target.ID, now)
	s.lastProgress = now
	if s.timeout > 0 {
		s.timeout = s.call.stallTimeout()
	}
}

// noteWriting records how long the caller took to accept bytes. That time is no silence of the engine, whose
// further events were not read meanwhile.
func (s *silenceWatch) noteWriting(took time.Duration) {
	s.lastProgress = s.lastProgress.Add(took)
}

// withdraw cancels the attempt because of a block in quarantine.
func (s *silenceWatch) withdraw() {
	s.call.mu.Lock()
	defer s.call.mu.Unlock()
	if s.progress != nil && s.progress.events > 0 {
		return // it has begun while the verdict was on its way, which clears the suspect
	}
	s.withdrawn = true
	s.cancel()
}

// failureReason returns the reason for callers' answers and logs.
func (s *silenceWatch) failureReason(err error) string {
	if s.withdrawn {
		return s.call.reasonWithdrawn()
	}
	return failureReason(err, nil)
}

// outcome returns why the attempt ended without a complete answer.
func (s *silenceWatch) outcome() placement.Outcome {
	switch {
	case s.silent, s.takenOver:
		return placement.Silent
	case s.withdrawn:
		return placement.Canceled
	case s.generation.ctx.Err() == nil:
		return placement.NoContact
	case time.Since(s.lastProgress) > s.call.stallTimeout() && !s.call.server.fleet.ProgressSince(s.target.ID, s.lastProgress):
		return placement.Silent
	default:
		return placement.Canceled
	}
}

// stop stops watching and cancels the attempt's context.
func (s *silenceWatch) stop() {
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel()
}
