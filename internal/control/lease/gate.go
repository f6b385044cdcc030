package lease

import (
	"sync"
	"time"
)

// Gate refuses premature acquisitions at a replica, so that hosts that wait for a
// lease do not fill the replicated log. It refuses only commands that the log
// would refuse too or that the sender can repeat later; grants are decided by the
// log alone. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	newest map[string]observation // by scope
}

// observation is the newest state of a lease that a replica applied.
type observation struct {
	lease Lease
	at    time.Duration // by the replica's clock
}

// NewGate returns a gate without observations.
func NewGate() *Gate { return &Gate{newest: map[string]observation{}} }

// Observe records a grant, renewal or release that the replica applied at a time of
// its own clock.
func (g *Gate) Observe(now time.Duration, l Lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newest[l.Scope] = observation{lease: l, at: now}
}

// Refusal returns the error for a command that cannot succeed yet, nil when the
// command must be proposed to the log.
func (g *Gate) Refusal(now time.Duration, cmd Command) *Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.newest[cmd.Scope]
	if !ok || cmd.Kind != Acquire || s.lease.Released || s.lease.Holder == cmd.Holder {
		return nil
	}
	remaining := s.at + s.lease.TTL - now
	if remaining <= 0 {
		return nil
	}
	return &Error{Code: CodeHeld, Scope: cmd.Scope, Holder: s.lease.Holder.Host, Remaining: remaining}
}
