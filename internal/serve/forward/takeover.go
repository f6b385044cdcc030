package forward

import (
	"context"
	"errors"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

// generation is a sequence of attempts to serve a request. The handler runs the first one. What follows is said of
// streams; for a request to a plain service its whole answer is what the first event is here.
//
// A healthy engine may be silent for a second or more and then go on, and nothing tells it from a dead one
// meanwhile. A silent attempt is therefore kept, and another generation, the takeover, runs beside it:
//
//   - The first valid event of the takeover makes it the one that leads: its events are passed on from there, and
//     the silent attempt is cancelled at once.
//   - An event, or the complete end, of the silent attempt cancels the takeover.
//   - A takeover that ends otherwise changes nothing for the silent attempt.
//   - If the silent attempt breaks, the takeover goes on as its resumption.
//
// An attempt of a takeover can be silent in turn, and has a takeover of its own then.
//
// The lock of the call guards all of its state. It is released while an attempt waits for an
// instance, so that attempts interleave only there.
type generation struct {
	ctx    context.Context
	cancel context.CancelFunc
	leads  bool          // its events are passed on to the caller
	silent *silenceWatch // the attempt that it would take over from; nil for the handler's

	done  chan struct{} // closed when it has ended
	ended result

	// Of requests to plain services:
	answered *wholeAnswer // of a takeover that answered first
	failed   *wholeAnswer // an instance's error answer, passed on if no other instance succeeds
}

var errTakenOver = errors.New("another engine has gone on with the stream, or this one is not needed any more")

// running reports whether a takeover has not ended.
func (g *generation) running() bool {
	if g == nil {
		return false
	}
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

// beginTakeover starts a takeover from a silent attempt. The caller holds c.mu.
func (c *call) beginTakeover(s *silenceWatch) {
	now := time.Now()
	c.excluded[s.target.ID] = true
	if !s.recorded {
		s.recorded = true
		c.server.fleet.NoteSilent(s.target.ID, now)
		// A later start at its address shows that it has ended.
		c.server.quarantine.Lost(c.suspect, instanceOf(s.target), s.target.Address, now)
	}
	g := &generation{silent: s, done: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(s.generation.ctx)
	s.takeover = g
	silentFor := now.Sub(s.lastProgress)
	go func() {
		defer close(g.done)
		defer g.cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.route.Kind == routes.Stream {
			g.ended, _ = c.generate(g, s.progress)
		} else {
			c.takeOverWhole(g)
		}
		c.endTakeover(g, silentFor, now)
	}()
}

// errSilent is the cause of an attempt at a plain service that is taken for lost while it is kept.
var errSilent = errors.New("no answer yet; the request is also sent to another instance")

// takeOverWhole sends a request to a plain service elsewhere. Before, its quarantine state is that of a lost request.
func (c *call) takeOverWhole(g *generation) {
	c.noteLost(g.ctx, g.silent.target, "run", placement.NoContact, false, errSilent)
	if g.silent.contained {
		c.server.quarantine.Unexplained(c.suspect, time.Now())
	}
	answered, _ := c.answerWhole(g)
	if answered != nil && g.ctx.Err() == nil {
		g.answered, g.leads = answered, true
		g.silent.takenOver = true
		g.silent.cancel()
	}
}

// endTakeover counts and logs a takeover. The caller holds c.mu.
func (c *call) endTakeover(g *generation, silentFor time.Duration, began time.Time) {
	result := "failed"
	switch {
	case g.leads:
		result = "taken_over"
	case c.ctx.Err() != nil:
		result = "request_ended"
	case g.ctx.Err() != nil:
		result = "went_on"
	}
	c.server.metrics.GetOrCreateCounter(`filberthook_entry_takeovers_total{result="` + result + `"}`).Inc()
	c.server.logger.Info("takeover from a silent instance ended", "id", c.meta.ID, "route", c.route.Name, "silent", g.silent.target.ID,
		"silent_ms", silentFor.Milliseconds(), "result", result, "ran", c.ran, "max_attempts", c.route.MaxAttempts,
		"ms", time.Since(began).Milliseconds())
}

// awaitTakeover waits for the takeover of an attempt that has ended, and returns how both ended. The
// caller holds c.mu.
func (c *call) awaitTakeover(s *silenceWatch, ended result, reason string) (result, string) {
	g := s.takeover
	if g == nil {
		return ended, reason
	}
	if ended == finished || c.unwritable {
		g.cancel()
	}
	c.unlocked(func() { <-g.done })
	if ended == finished || g.ended == finished {
		return finished, ""
	}
	if g.ended == broken {
		ended = broken // the request may have run there
	}
	return ended, reason
}

// obsolete reports whether the attempt's bytes may not be passed on any more, as another attempt has gone on
// with the stream. The caller holds c.mu.
func (s *silenceWatch) obsolete() bool {
	return s.takenOver || !s.generation.leads && s.generation.ctx.Err() != nil
}

// claim makes an attempt with a valid event, or a complete answer, the one whose bytes are passed on, unless
// it is obsolete. The caller holds c.mu.
func (s *silenceWatch) claim() {
	g := s.generation
	if s.takeover != nil {
		s.takeover.cancel()
	}
	g.leads = true
	for other := g.silent; other != nil && !other.takenOver; other = other.generation.silent {
		other.takenOver, other.generation.leads = true, false
		other.cancel()
	}
}

// unrecorded returns the outcome that the engine's health does not have yet.
func (s *silenceWatch) unrecorded(o placement.Outcome) placement.Outcome {
	if o == placement.Silent && s.recorded {
		return placement.Canceled
	}
	return o
}

// unlocked calls a function that waits, without the call's lock.
func (c *call) unlocked(wait func()) {
	c.mu.Unlock()
	defer c.mu.Lock()
	wait()
}

// nextEvent is next of events, without the call's lock.
func (c *call) nextEvent(events *eventReader) (e event, err error) {
	c.unlocked(func() { e, err = events.next() })
	return e, err
}

// readAll is ReadAll of an answer, without the call's lock.
func (c *call) readAll(answer *upstream.Answer, limit int64) (body []byte, err error) {
	c.unlocked(func() { body, err = answer.ReadAll(limit) })
	return body, err
}
