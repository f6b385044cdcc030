package claimlog

import (
	"sync"
	"time"
)

// health remembers whether the log answers, so that claims are refused at once
// while it has been out of reach for longer than an election takes.
type health struct {
	mu           sync.Mutex // guards the fields below
	failingSince time.Time  // first failure since the last success; zero when there is none
	nextProbe    time.Time  // when the next claim may be tried while the log is down
}

// record records the end of a proposal.
func (h *health) record(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.failingSince = time.Time{}
		return
	}
	if h.failingSince.IsZero() {
		h.failingSince = time.Now()
	}
}

// down reports whether proposals have failed for longer than a claim waits.
func (h *health) down(now time.Time, s Settings) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.downLocked(now, s)
}

// downLocked expects h.mu to be held.
func (h *health) downLocked(now time.Time, s Settings) bool {
	return !h.failingSince.IsZero() && now.Sub(h.failingSince) >= s.ClaimTimeout.Duration
}

// mayTry reports whether a claim may be tried now: always while the log
// answers, one per interval while it is down.
func (h *health) mayTry(now time.Time, s Settings) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.downLocked(now, s) {
		return true
	}
	if now.Before(h.nextProbe) {
		return false
	}
	h.nextProbe = now.Add(s.ProbeInterval.Duration)
	return true
}
