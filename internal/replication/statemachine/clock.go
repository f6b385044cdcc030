package statemachine

import "time"

// ClockReading is one reading of a proposer's monotonic clock. Readings of one epoch
// can be compared, readings of different epochs cannot.
type ClockReading struct {
	Epoch   string        `json:"epoch"`   // chosen at random by each process at its start
	Elapsed time.Duration `json:"elapsed"` // since the start of the process
}

// logicalClock is the time of the replicated log. It advances by what elapsed
// between two readings of the same epoch and stands still when the epoch
// changes, so it never runs ahead of real time. Leases and other waits that are
// counted by it may last longer than asked for, never shorter.
type logicalClock struct {
	Now  time.Duration `json:"now"` // only grows
	Last ClockReading  `json:"last"`
}

// advance returns the logical time at a reading.
func (c *logicalClock) advance(r ClockReading) time.Duration {
	if r.Epoch != c.Last.Epoch {
		c.Last = r
		return c.Now
	}
	if r.Elapsed > c.Last.Elapsed {
		c.Now += r.Elapsed - c.Last.Elapsed
		c.Last = r
	}
	return c.Now
}
