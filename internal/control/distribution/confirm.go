package distribution

import (
	"context"
	"time"
)

// confirmInterval is the time between a replica's confirmations.
const confirmInterval = 400 * time.Millisecond

// RunConfirmations confirms at regular intervals until ctx ends that the hub's
// replica is up to date. While confirmations fail, the hub becomes stale and reports
// that to its watchers.
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
	// After an error the hub's last confirmation ages until it reports that it is stale.
	_ = hub.Confirm(ctx)
}
