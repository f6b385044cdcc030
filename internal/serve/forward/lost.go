package forward

import (
	"context"
	"errors"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/httpanswer"
	"filberthook/internal/process/pause"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

const (
	// presenceTimeout bounds the check whether an instance that has lost a request still runs.
	presenceTimeout = 300 * time.Millisecond
	// presenceWait is how long a request waits for the check unless it is unproven: some round trips
	// within a region. What is found out later counts for other requests.
	presenceWait = 40 * time.Millisecond
	// presenceAttempts is how often an instance is checked that still accepts connections: a
	// process that ends closes its connections before its listener at times. presenceRecheck is the
	// time to the second check; it grows fourfold.
	presenceAttempts = 3
	presenceRecheck  = 20 * time.Millisecond
)

// noteLost finds out whether the instance that has lost an attempt has ended, logs which
// request it was, and records it as a suspect of the end if it had not begun. Only outcomes
// that can mean an end count, and no request that was not sent.
func (c *call) noteLost(ctx context.Context, target placement.Target, step string, o placement.Outcome, begun bool, cause error) {
	var notSent *upstream.NotSentError
	if o != placement.NoContact && o != placement.Silent || errors.As(cause, &notSent) {
		return
	}
	begun = begun || step == "resume"
	if !begun {
		c.server.quarantine.Lost(c.suspect, instanceOf(target), target.Address, time.Now())
	}
	if o == placement.Silent {
		return // a later start at the same address would show that it has ended
	}
	lost := lostAttempt{
		id: c.meta.ID, route: c.route.Name, target: target, step: step, begun: begun, blocks: c.sharedBlocks(), identity: c.identity, request: c.suspect, cause: cause,
	}
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		c.server.checkLost(lost)
	}()
	if begun {
		return // nothing is decided by it for this request
	}
	if c.route.Kind == routes.Unsafe {
		return // it has no other attempt
	}
	var timeout <-chan time.Time
	if !c.server.quarantine.Unproven(c.suspect, time.Now()) {
		timer := time.NewTimer(presenceWait)
		defer timer.Stop()
		timeout = timer.C
	}
	c.unlocked(func() {
		select {
		case <-checked:
		case <-timeout:
		case <-ctx.Done(): // no other attempt follows
		}
	})
}

func instanceOf(t placement.Target) quarantine.Instance {
	return quarantine.Instance{ID: t.ID, Born: t.Born}
}

// lostAttempt is an attempt whose connection broke before its answer was complete.
type lostAttempt struct {
	id, route, step string
	target          placement.Target
	begun           bool // the instance had answered with an event
	blocks          []string
	identity        quarantine.Suspect
	request         *quarantine.Request
	cause           error
}

// checkLost finds out whether the instance of a lost attempt has ended.
func (s *Server) checkLost(a lostAttempt) {
	presence := s.presenceOf(a.target.Address)
	switch presence {
	case upstream.Gone:
		s.quarantine.Ended(a.request, instanceOf(a.target), time.Now())
	case upstream.Unknown:
		s.quarantine.Unexplained(a.request, time.Now())
	}
	s.metrics.GetOrCreateCounter(`filberthook_entry_lost_attempts_total{instance="` + presence.String() + `"}`).Inc()
	s.logger.Info("attempt lost", "id", a.id, "route", a.route, "instance", a.target.ID, "born", a.target.Born, "step", a.step,
		"begun", a.begun, "blocks", a.blocks, "address", a.target.Address, "identity", a.identity, "process", presence.String(), "broken_answer", string(httpanswer.ReasonOf(a.cause)), "err", a.cause.Error())
}

// presenceOf finds out whether a process still listens at an address where a connection broke.
func (s *Server) presenceOf(address string) upstream.Presence {
	ctx, cancel := context.WithTimeout(context.Background(), presenceTimeout)
	defer cancel()
	presence := s.pool.Check(ctx, address)
	recheck := presenceRecheck
	for n := 1; n < presenceAttempts && presence == upstream.Listening && pause.For(ctx, recheck); n++ {
		presence = s.pool.Check(ctx, address)
		recheck *= 4
	}
	return presence
}

// maxLoggedBlocks bounds the prompt blocks in a log line.
const maxLoggedBlocks = 16

// sharedBlocks returns the IDs of the prompt's blocks but the last, which is the request's own.
func (c *call) sharedBlocks() []string {
	var out []string
	for _, b := range c.meta.PrefixBlocks[:max(0, len(c.meta.PrefixBlocks)-1)] {
		if len(out) == maxLoggedBlocks {
			break
		}
		out = append(out, b.ID)
	}
	return out
}
