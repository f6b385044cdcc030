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
	stepDrain        step = iota // order the drain
	stepAwaitIdle                // wait for a load report, newer than the drain, without requests
	stepApply                    // order the change itself
	stepAwaitApplied             // wait until the change has been applied
	stepUndrain                  // order the end of the drain
	stepDone
)

var stepNames = [...]string{"drain", "empty", "apply", "applied", "undrain", "done"}

// String returns the step's name.
func (s step) String() string { return stepNames[s] }

// Outcome is how a change ended.
type Outcome string

// Outcomes of changes.
const (
	OutcomeApplied   Outcome = "applied"
	OutcomeTimedOut  Outcome = "drain_timed_out" // requests were still running; the engine is unchanged
	OutcomeFailed    Outcome = "order_failed"
	OutcomeRestarted Outcome = "engine_restarted"
	OutcomeGone      Outcome = "engine_gone"
)

// plannedChange is a change of one engine and the reason for it.
type plannedChange struct {
	instance    string
	incarnation uint64
	change      authority.Change
	reason      string
}

// String describes the change for logs.
func (t plannedChange) String() string {
	if t.change.Kind == engineapi.OrderSetRole {
		return fmt.Sprintf("%s %s to %s", t.change.Kind, t.instance, t.change.Role)
	}
	return fmt.Sprintf("%s %s %s version %s", t.change.Kind, t.instance, t.change.Model.Name, t.change.Model.Version)
}

// observation is what is known about the engine of a change at one moment.
type observation struct {
	view   authority.View
	known  bool // the engine exists and its state was read under this lease
	idle   bool // no running or queued requests in the load report of loadAt
	loadAt time.Duration
}

// executor executes one change: it drains the engine first, so that no request
// is interrupted, and undrains it afterwards. It is a state machine without I/O;
// next returns the order to send.
type executor struct {
	planned   plannedChange
	step      step
	startedAt time.Duration
	drainedAt time.Duration // when the engine was first seen drained; 0 before
	outcome   Outcome       // reported once the engine is undrained
}

func newExecutor(now time.Duration, t plannedChange) *executor {
	return &executor{planned: t, startedAt: now, outcome: OutcomeApplied}
}

// next takes an observation and returns the order to send now, if any. The
// caller calls orderSent once the order has been sent.
func (c *executor) next(now time.Duration, o observation, drainLimit time.Duration) (authority.Change, bool) {
	if !o.known || o.view.Outstanding != "" {
		return authority.Change{}, false
	}
	if o.view.Ref.Incarnation != c.planned.incarnation {
		c.finish(OutcomeRestarted)
		return authority.Change{}, false
	}
	c.advance(now, o, drainLimit)
	return c.order()
}

// advance updates the step according to the engine's state.
func (c *executor) advance(now time.Duration, o observation, drainLimit time.Duration) {
	state := &o.view.State
	if c.step == stepDrain && state.Drained {
		c.step = stepAwaitIdle
		c.drainedAt = now
	}
	if c.step == stepAwaitIdle && o.idle && o.loadAt > c.drainedAt {
		c.step = stepApply
	}
	if c.step <= stepAwaitIdle && now-c.startedAt > drainLimit {
		c.outcome = OutcomeTimedOut
		c.step = stepUndrain
	}
	if c.step == stepAwaitApplied {
		c.checkApplied(state)
	}
	if c.step == stepUndrain && !state.Drained {
		c.step = stepDone
	}
}

// checkApplied checks whether the order of stepApply took effect.
func (c *executor) checkApplied(state *engineapi.EngineState) {
	if !satisfies(state, c.planned.change) {
		c.outcome = OutcomeFailed
	}
	c.step = stepUndrain
}

// satisfies reports whether an engine's state is the result of a change.
func satisfies(state *engineapi.EngineState, change authority.Change) bool {
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

// hasModel reports whether a model is loaded in the wanted version with all its
// adapters.
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

// order returns the order of the current step, if it has one.
func (c *executor) order() (authority.Change, bool) {
	switch c.step {
	case stepDrain:
		return authority.Change{Kind: engineapi.OrderDrain}, true
	case stepApply:
		return c.planned.change, true
	case stepUndrain:
		return authority.Change{Kind: engineapi.OrderUndrain}, true
	}
	return authority.Change{}, false
}

// orderSent records that the order of the current step has been sent.
func (c *executor) orderSent() {
	if c.step == stepApply {
		c.step = stepAwaitApplied
	}
}

func (c *executor) finish(outcome Outcome) {
	c.outcome = outcome
	c.step = stepDone
}
