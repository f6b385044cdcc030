package claimlog

import (
	"sync"
	"time"
)

// health tracks whether proposals succeed. Once they have failed for ClaimTimeout,
// which is longer than an election takes, claims are refused without waiting.
type health struct {
	mu           sync.Mutex // guards the fields below
	failingSince time.Time  // first failure since the last success; zero if the last proposal succeeded
	nextProbe    time.Time  // when the next claim may be attempted while the log is down
}

// record updates the health with the result of a proposal.
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

// down reports whether proposals have failed for ClaimTimeout or longer.
func (h *health) down(now time.Time, s Settings) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.downLocked(now, s)
}

// downLocked is down for callers that hold h.mu.
func (h *health) downLocked(now time.Time, s Settings) bool {
	return !h.failingSince.IsZero() && now.Sub(h.failingSince) >= s.ClaimTimeout.Duration
}

// mayTry reports whether a claim may be attempted now: always while the log is up, and
// one per ProbeInterval while it is down.
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
