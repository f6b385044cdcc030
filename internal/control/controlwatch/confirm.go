package controlwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/boottime"
	"filberthook/internal/replication/raftnet"
)

const (
	// sharedReadAge is how old a read may be at a control host that confirms a version, so that
	// the control host reads four times a second for any number of entry hosts.
	sharedReadAge = 250 * time.Millisecond
	// askTimeout bounds one question to the control hosts.
	askTimeout = 700 * time.Millisecond
	// askOthersAfter is how long the control host that answered last may take before all others
	// are asked. It is longer than a control host waits for its quorum.
	askOthersAfter = 250 * time.Millisecond
	// firstAskPause and maxAskPause bound the pause after a question without a confirmation, which
	// doubles. Up to as much again is added at random.
	firstAskPause = 100 * time.Millisecond
	maxAskPause   = 400 * time.Millisecond
	// idleAskPause is how often it is checked whether confirmations are needed.
	idleAskPause = 100 * time.Millisecond
)

// Confirmations records which version a quorum has confirmed to be the newest.
type Confirmations interface {
	// Confirm records that at a moment, by CLOCK_BOOTTIME, a quorum knew of no newer version.
	Confirm(version uint64, at time.Duration)
	// Failed records that no control host confirmed any version when they were asked.
	Failed()
}

// Confirmer asks control hosts again and again whether there is a newer configuration.
type Confirmer struct {
	Clients  *raftnet.Pool // used for nothing else: a call that runs out ends its connection
	Interval time.Duration // between two questions
	Needed   func() bool   // whether confirmations are needed now
	Record   Confirmations
	// Wake makes Confirm check at once whether the next question is due. Timers do not count the
	// time of a suspension, so a host that comes back would ask late.
	Wake <-chan struct{}
}

// answer is a confirmation by one control host.
type answer struct {
	address string
	version uint64
	at      time.Duration // by CLOCK_BOOTTIME
	err     error
	ok      bool
}

// Confirm asks until ctx ends.
func (w *Watcher) Confirm(ctx context.Context, c *Confirmer) {
	var due, pause time.Duration
	var asked uint64 // version in force at the last question
	preferred, lost := "", false
	for {
		now, version := boottime.Now(), w.config.Version()
		if c.Needed() && (now >= due || version != asked) {
			asked = version
			a := w.askNewest(ctx, c.Clients, preferred)
			if ctx.Err() != nil {
				return
			}
			if a.ok {
				c.Record.Confirm(a.version, a.at)
				preferred, pause = a.address, 0
				due = now + c.Interval*9/10 + rand.N(c.Interval/5) // spreads hosts that started together
			} else {
				c.Record.Failed()
				preferred, pause = "", min(max(firstAskPause, 2*pause), maxAskPause)
				due = boottime.Now() + pause + rand.N(pause)
			}
			w.logConfirmation(a, version, &lost)
			continue
		}
		wait := idleAskPause
		if due > now {
			wait = min(wait, due-now)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-c.Wake:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// logConfirmation logs when confirmations stop coming and when they come again.
func (w *Watcher) logConfirmation(a answer, version uint64, lost *bool) {
	switch {
	case !a.ok && !*lost:
		w.logger.Warn("configuration not confirmed by a quorum", "version", version, "err", a.err)
	case a.ok && *lost:
		w.logger.Info("configuration confirmed by a quorum again", "version", version, "newest", a.version, "control", a.address)
	}
	*lost = !a.ok
}

// askNewest asks one control host, and the others if that does not confirm soon.
func (w *Watcher) askNewest(ctx context.Context, clients *raftnet.Pool, preferred string) answer {
	first, others := w.askOrder(preferred)
	if first == "" {
		return answer{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan answer, 1+len(others))
	ask := func(address string) { go func() { answers <- askOne(ctx, clients, address) }() }
	ask(first)
	askOthers := func() {
		for _, address := range others {
			ask(address)
		}
		others = nil
	}
	timer := time.NewTimer(askOthersAfter)
	defer timer.Stop()
	last := answer{}
	for waiting := 1; waiting > 0; {
		select {
		case last = <-answers:
			if last.ok {
				return last
			}
			waiting += len(others) - 1
			askOthers()
		case <-timer.C:
			waiting += len(others)
			askOthers()
		}
	}
	return last
}

// askOrder returns the control host to ask first and the others. Hosts that answered their last
// call come first.
func (w *Watcher) askOrder(preferred string) (first string, others []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up, down []string
	for address, t := range w.watched { // in random order, which spreads the entry hosts
		switch {
		case address == preferred:
			first = address
		case t.up:
			up = append(up, address)
		default:
			down = append(down, address)
		}
	}
	rand.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	all := append(up, down...)
	if first == "" && len(all) > 0 {
		return all[0], all[1:]
	}
	return first, all
}

// askOne asks a control host which version a quorum knows to be the newest. The moment is
// reckoned back from the time when the call was sent, so it is not later than the read, however
// long the call or its answer takes.
func askOne(ctx context.Context, clients *raftnet.Pool, address string) answer {
	sent := boottime.Now()
	var resp controlapi.DocumentResponse
	req := controlapi.DocumentRequest{Confirm: true, VersionOnly: true, MaxAgeMS: sharedReadAge.Milliseconds()}
	err := clients.Get(address).Call(ctx, controlapi.MethodDocument, req, &resp)
	age := time.Duration(resp.ConfirmedAgeMS) * time.Millisecond
	return answer{address: address, version: resp.Version, at: sent - age, err: err, ok: err == nil && resp.Confirmed && resp.ConfirmedAgeMS >= 0}
}
