// Package pause sleeps for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false when ctx ended first; a d of 0 or less does
// not wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
