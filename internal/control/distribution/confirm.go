package distribution

import (
	"context"
	"time"
)

// confirmInterval is the time between a replica's confirmations.
const confirmInterval = 400 * time.Millisecond

// RunConfirmations keeps a hub fresh until ctx ends: it confirms again
// and again that the replica is up to date. A failure leaves the hub as it is;
// the hub then tells its watchers that it is stale.
func RunConfirmations(ctx context.Context, hub *Hub) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		confirmOnce(ctx, hub)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func confirmOnce(ctx context.Context, hub *Hub) {
	ctx, cancel := context.WithTimeout(ctx, StaleAfter)
	defer cancel()
	// The hub itself shows how old its last confirmation is.
	_ = hub.Confirm(ctx)
}
