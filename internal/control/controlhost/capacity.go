package controlhost

import (
	"context"
	"sync"

	"filberthook/internal/control/capacityreconciler"
	"filberthook/internal/serve/routes"
)

// capacity holds the bounds and prices of the instances that are ordered, from the configuration
// in force.
type capacity struct {
	decode func(body []byte) (*routes.Config, error)

	mu      sync.Mutex
	version uint64
	limits  map[string]routes.Autoscale // by endpoint
}

// OrderInstances has this host order instances, if that is among its duties, for the endpoints
// whose configuration asks for it. It must be called before Run.
func (h *Host) OrderInstances(decode func(body []byte) (*routes.Config, error)) {
	h.capacity = &capacity{decode: decode}
}

// reconcileCapacity orders instances while this host holds the duties.
func (h *Host) reconcileCapacity(ctx context.Context) {
	reconciler := &capacityreconciler.Reconciler{
		Group:     h.membership,
		Holder:    h.duties.holder,
		Platform:  h.duties.platform,
		Load:      h.loads,
		Limits:    h.instanceLimits,
		Instances: h.view.Snapshot,
		Logger:    h.logger,
		Metrics:   h.metrics,
	}
	reconciler.Run(ctx)
}

// instanceLimits returns the limits in force. A configuration is decoded once, and only at the
// leader, as a large one takes some of the time of a small host.
func (h *Host) instanceLimits() map[string]routes.Autoscale {
	d := h.documentInForce()
	h.capacity.mu.Lock()
	defer h.capacity.mu.Unlock()
	if d.Version == h.capacity.version {
		return h.capacity.limits
	}
	config, err := h.capacity.decode(d.Body)
	if err != nil {
		h.logger.Error("no instances ordered by the configuration in force: replace it by a valid one", "version", d.Version, "err", err)
		config = &routes.Config{}
	}
	limits := map[string]routes.Autoscale{}
	for name, e := range config.Endpoints {
		if e.Autoscale != nil {
			limits[name] = *e.Autoscale
		}
	}
	h.capacity.version, h.capacity.limits = d.Version, limits
	return limits
}

// ordersInstances reports whether the instances of an endpoint are ordered by demand.
func (h *Host) ordersInstances(endpoint string) bool {
	if h.capacity == nil || !h.duties.set.Instances {
		return false
	}
	_, ordered := h.instanceLimits()[endpoint]
	return ordered
}
