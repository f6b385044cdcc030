package zoneplanner

import (
	"fmt"
	"slices"
	"time"

	"filberthook/internal/control/authority"
	"filberthook/internal/engines/engineapi"
)

// step is the progress of a change.
type step uint8

// Steps of a change, in order.
const (
	stepDrain   step = iota // order the drain
	stepEmpty               // wait until the requests under way have ended
	stepApply               // order the change itself
	stepApplied             // wait until it is done
	stepUndrain             // order the end of the drain
	stepDone
)

var stepNames = [...]string{"drain", "empty", "apply", "applied", "undrain", "done"}

// String returns the step's name.
func (s step) String() string { return stepNames[s] }

// Outcome tells how a change ended.
type Outcome string

// Outcomes of changes.
const (
	OutcomeApplied   Outcome = "applied"
	OutcomeTimedOut  Outcome = "drain_timed_out" // requests were still under way; the engine goes on as before
	OutcomeFailed    Outcome = "order_failed"
	OutcomeRestarted Outcome = "engine_restarted"
	OutcomeGone      Outcome = "engine_gone"
)

// target is what a change makes of an engine.
type target struct {
	instance    string
	incarnation uint64
	change      authority.Change
	reason      string
}

// String describes the change for logs.
func (t target) String() string {
	if t.change.Kind == engineapi.OrderSetRole {
		return fmt.Sprintf("%s %s to %s", t.change.Kind, t.instance, t.change.Role)
	}
	return fmt.Sprintf("%s %s %s version %s", t.change.Kind, t.instance, t.change.Model.Name, t.change.Model.Version)
}

// observation is what is known of the engine of a change at one moment.
type observation struct {
	view   authority.View
	known  bool // the engine is there and its state was read under this lease
	idle   bool // no request runs or waits, by a load report made after the drain
	loadAt time.Duration
}

// carrier carries one change out: it drains the engine first, so that no
// request is cut, and lets it take work again afterwards. It is a state machine
// without I/O; next returns the order to send.
type carrier struct {
	target  target
	step    step
	started time.Duration
	drained time.Duration // when the engine was first seen drained; 0 before
	outcome Outcome       // how it will have ended once undrained
}

func newCarrier(now time.Duration, t target) *carrier {
	return &carrier{target: t, started: now, outcome: OutcomeApplied}
}

// next takes an observation and returns the order to send now, if any. The
// caller tells sent when the order has left.
func (c *carrier) next(now time.Duration, o observation, limit time.Duration) (authority.Change, bool) {
	if !o.known || o.view.Outstanding != "" {
		return authority.Change{}, false
	}
	if o.view.Ref.Incarnation != c.target.incarnation {
		c.finish(OutcomeRestarted)
		return authority.Change{}, false
	}
	c.advance(now, o, limit)
	return c.order()
}

// advance moves the step by what the engine's state shows.
func (c *carrier) advance(now time.Duration, o observation, limit time.Duration) {
	state := &o.view.State
	if c.step == stepDrain && state.Drained {
		c.step = stepEmpty
		c.drained = now
	}
	if c.step == stepEmpty && o.idle && o.loadAt > c.drained {
		c.step = stepApply
	}
	if c.step <= stepEmpty && now-c.started > limit {
		c.outcome = OutcomeTimedOut
		c.step = stepUndrain
	}
	if c.step == stepApplied {
		c.checkApplied(state)
	}
	if c.step == stepUndrain && !state.Drained {
		c.step = stepDone
	}
}

// checkApplied reads the outcome of the order that made the change.
func (c *carrier) checkApplied(state *engineapi.EngineState) {
	if !carries(state, c.target.change) {
		c.outcome = OutcomeFailed
	}
	c.step = stepUndrain
}

// carries reports whether an engine's state is what a change asks for.
func carries(state *engineapi.EngineState, change authority.Change) bool {
	switch change.Kind {
	case engineapi.OrderSetRole:
		return state.Role == change.Role
	case engineapi.OrderLoadModel:
		return hasModel(state.Models, change.Model)
	case engineapi.OrderUnloadModel:
		return !slices.ContainsFunc(state.Models, func(m engineapi.Model) bool { return m.Name == change.Model.Name })
	}
	return false
}

// hasModel reports whether a model is loaded in its version with all adapters.
func hasModel(loaded []engineapi.Model, want engineapi.Model) bool {
	for _, m := range loaded {
		if m.Name != want.Name || m.Version != want.Version {
			continue
		}
		missing := func(adapter string) bool { return !slices.Contains(m.Adapters, adapter) }
		return !slices.ContainsFunc(want.Adapters, missing)
	}
	return false
}

// order returns the order of the present step, if it has one.
func (c *carrier) order() (authority.Change, bool) {
	switch c.step {
	case stepDrain:
		return authority.Change{Kind: engineapi.OrderDrain}, true
	case stepApply:
		return c.target.change, true
	case stepUndrain:
		return authority.Change{Kind: engineapi.OrderUndrain}, true
	}
	return authority.Change{}, false
}

// sent notes that the order of the present step has left.
func (c *carrier) sent() {
	if c.step == stepApply {
		c.step = stepApplied
	}
}

func (c *carrier) finish(outcome Outcome) {
	c.outcome = outcome
	c.step = stepDone
}
