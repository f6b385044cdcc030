package authority

import "time"

// Clock returns the time since an arbitrary moment. It must advance while the process
// is paused.
type Clock func() time.Duration

// NewClock returns a clock that follows the monotonic or the wall clock, whichever
// has advanced further, so that a resumed host does not consider an expired lease
// valid. Setting the wall clock forward ends leases early, which is safe.
func NewClock() Clock {
	start := time.Now()
	wall := start.Round(0)
	return func() time.Duration {
		now := time.Now()
		return max(now.Sub(start), now.Round(0).Sub(wall))
	}
}
