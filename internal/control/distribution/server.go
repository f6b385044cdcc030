package distribution

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/peer"
)

// Register serves watchers on a mux. Each watch also reports the revision in force
// at the host.
func Register(mux *peer.Mux, hub *Hub, registry *Registry, replicas func() []string, set *metrics.Set) {
	peer.Handle(mux, MethodWatch, func(ctx context.Context, from peer.Identity, req WatchRequest) (WatchResponse, error) {
		registry.Report(from.Host, from.Zone, req.Have, req.Engines)
		resp, err := hub.Watch(ctx, req)
		if addresses := replicas(); req.Replicas != 0 && hashAddresses(addresses) != req.Replicas {
			resp.Replicas = addresses
		}
		set.GetOrCreateCounter(fmt.Sprintf(`filberthook_watch_answers_total{kind=%q}`, resp.kind())).Inc()
		return resp, err
	})
}

// kind returns the content of a response for metrics.
func (r WatchResponse) kind() string {
	switch {
	case r.Behind:
		return "behind"
	case r.Configuration != nil:
		return "whole"
	case len(r.Deltas) > 0:
		return "deltas"
	case r.Stale:
		return "stale"
	default:
		return "nothing_new"
	}
}
