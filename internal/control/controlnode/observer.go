package controlnode

import (
	"filberthook/internal/control/distribution"
	"filberthook/internal/control/lease"
)

// observer notifies the hub and the gate of changes in the replicated state. It
// implements statemachine.Observer.
type observer struct {
	*distribution.Hub
	gate  *lease.Gate
	clock clock
}

// LeaseChanged implements statemachine.Observer.
func (o *observer) LeaseChanged(l lease.Lease) { o.gate.Observe(o.clock.elapsed(), l) }
