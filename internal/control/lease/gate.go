package lease

import (
	"sync"
	"time"
)

// Gate refuses early acquisitions at a replica, so that hosts that wait for
// a lease do not fill the replicated log. It only ever refuses what the log
// would refuse too, or what can be asked again later; grants are decided by the
// log alone. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	newest map[string]observation // by scope
}

// observation is the newest grant or renewal that a replica applied.
type observation struct {
	lease Lease
	at    time.Duration // by the replica's clock
}

// NewGate returns a gate that has seen no lease.
func NewGate() *Gate { return &Gate{newest: map[string]observation{}} }

// Observe records a grant, renewal or release that the replica applied at a time of
// its own clock.
func (g *Gate) Observe(now time.Duration, l Lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newest[l.Scope] = observation{lease: l, at: now}
}

// Refusal returns the refusal of a command that cannot succeed yet, nil when it
// must be proposed.
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
