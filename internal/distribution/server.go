package distribution

import (
	"context"

	"filberthook/internal/peer"
)

// Register serves watchers on a mux. Each watch reports the revision that the
// host has in force.
func Register(mux *peer.Mux, hub *Hub, registry *Registry) {
	peer.Handle(mux, MethodWatch, func(ctx context.Context, from peer.Identity, req WatchRequest) (WatchResponse, error) {
		registry.Report(from.Host, from.Zone, req.Have, req.Engines)
		return hub.Watch(ctx, req)
	})
}
