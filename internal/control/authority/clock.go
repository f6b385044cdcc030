package authority

import "time"

// Clock returns the time since an arbitrary moment. It must not stand still
// while the process is paused.
type Clock func() time.Duration

// NewClock returns a clock that follows whichever of the monotonic and the wall
// clock has gone further, so that a host that was suspended does not take an
// old lease for a valid one. A wall clock that is set forward ends leases early,
// which is safe.
func NewClock() Clock {
	start := time.Now()
	wall := start.Round(0)
	return func() time.Duration {
		now := time.Now()
		return max(now.Sub(start), now.Round(0).Sub(wall))
	}
}
