package forward

import (
	"context"
	"time"

	"filberthook/internal/engines/quarantine"
	"filberthook/internal/process/pause"
)

const (
	// maxSuspectBlocks bounds the blocks of one prompt that are tracked.
	maxSuspectBlocks = 128
	// containWait is how long a request waits while another one tests a block of its prompt:
	// about the time to the first event of a short prompt.
	containWait = 500 * time.Millisecond
	// admitPollInterval is how often a waiting request asks again.
	admitPollInterval = 20 * time.Millisecond
	// reasonQuarantined is the reason in answers and logs of requests with a suspect in quarantine; the
	// suspect's kind follows.
	reasonQuarantined = "quarantined_"
)

// newSuspect returns the request's state in the quarantine ledger: the blocks that its prompt shares with
// others are suspects, and so is the request itself, as sound requests may share all of its blocks.
func (c *call) newSuspect() *quarantine.Request {
	shared := c.meta.PrefixBlocks[:max(0, len(c.meta.PrefixBlocks)-1)]
	var suspects []quarantine.Suspect
	for _, b := range shared[:min(len(shared), maxSuspectBlocks)] {
		suspects = append(suspects, quarantine.BlockOf(c.meta.Model, b.ID))
	}
	return c.server.quarantine.Request(append(suspects, c.identity))
}

// newIdentity returns the request's name by its content.
func (c *call) newIdentity() quarantine.Suspect {
	return quarantine.Identity{
		Endpoint: c.endpoint, Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI,
		Caller: c.meta.Caller, Model: c.meta.Model, Body: c.body,
	}.Suspect()
}

// admit asks whether the request may be sent to an instance, and waits while another request
// tests one of its suspects. It returns the decision if it may not. second is set if an instance that
// has the request may have ended.
func (c *call) admit(ctx context.Context, second bool) (containKey string, refused *quarantine.Decision) {
	waitEnd := time.Now().Add(min(containWait, c.remaining()/4))
	if second || c.ran > 0 { // a second try waits for word of its suspects
		waitEnd = time.Now().Add(min(quarantine.SecondTryWait+containWait, c.remaining()))
	}
	for {
		now := time.Now()
		d := c.server.quarantine.Admit(c.suspect, now)
		switch {
		case d.Answer == quarantine.Pass:
			return "", nil
		case d.Answer == quarantine.Contain:
			return string(d.Suspect), nil
		case d.Answer == quarantine.Wait && now.Before(waitEnd) && c.pause(ctx, admitPollInterval):
			continue
		}
		return "", &d
	}
}

// pause waits without the call's lock. It returns false if ctx ends before.
func (c *call) pause(ctx context.Context, d time.Duration) (ok bool) {
	c.unlocked(func() { ok = pause.For(ctx, d) })
	return ok
}

// endSuspect ends a request that may end its instance.
func (c *call) endSuspect(d quarantine.Decision, p *streamProgress) {
	kind := d.Suspect.Kind().String()
	c.detail = kind + " " + string(d.Suspect)
	reason := "suspect_" + kind
	if d.Quarantined {
		reason = reasonQuarantined + kind
	}
	if d.RetryAfter > 0 && c.ran == 0 && !c.callerGone() {
		c.refuse(reason, max(d.RetryAfter, c.retryAfter()))
		return
	}
	c.endUnfinished(reason, p)
}

// reasonWithdrawn is the reason of a request that was canceled at its instance.
func (c *call) reasonWithdrawn() string {
	return reasonQuarantined + c.server.quarantine.QuarantinedSuspect(c.suspect).Kind().String()
}

// noteBegun records that an instance has begun to answer a stream, or has answered another request.
func (c *call) noteBegun() { c.server.quarantine.Begun(c.suspect, time.Now()) }
