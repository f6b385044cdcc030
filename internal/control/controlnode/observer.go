package controlnode

import (
	"filberthook/internal/control/distribution"
	"filberthook/internal/control/lease"
)

// observer tells the parts of the node of changes in the agreed state. It
// implements statemachine.Observer.
type observer struct {
	*distribution.Hub
	gate  *lease.Gate
	clock clock
}

// LeaseChanged implements statemachine.Observer.
func (o *observer) LeaseChanged(l lease.Lease) { o.gate.Observe(o.clock.elapsed(), l) }
