package upstream

import (
	"context"
	"errors"
	"syscall"
)

// Presence is whether a process listens at an address.
type Presence uint8

// Presences of the process at an address.
const (
	Unknown   Presence = iota // no answer, as when packets are lost
	Listening                 // it accepts connections
	Gone                      // its host refuses connections to the address
)

// String returns the presence's name in logs.
func (p Presence) String() string {
	return [...]string{"unknown", "listening", "gone"}[p]
}

// PresenceAfter returns what a failed request says about the process at its address.
func PresenceAfter(err error) Presence {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Gone
	case errors.Is(err, syscall.ECONNRESET): // a listener that closes resets what it has not accepted
		return Listening
	}
	return Unknown
}

// Check connects to an address to see whether a process listens there. The connection serves
// the next request.
func (p *Pool) Check(ctx context.Context, address string) Presence {
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.fails.Inc()
		return PresenceAfter(err)
	}
	p.dials.Inc()
	p.put(newConn(raw, address))
	return Listening
}
