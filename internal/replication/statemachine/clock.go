package statemachine

import "time"

// ClockReading is a reading of a proposer's monotonic clock. Only readings of the same
// epoch can be compared.
type ClockReading struct {
	Epoch   string        `json:"epoch"`   // chosen at random by each process at its start
	Elapsed time.Duration `json:"elapsed"` // since the start of the process
}

// logicalClock is the time of the replicated log. It advances by the time between two
// readings of the same epoch and does not advance when the epoch changes, so it never
// runs ahead of real time. Leases and other timeouts measured by it may last longer
// than requested, never shorter.
type logicalClock struct {
	Now  time.Duration `json:"now"` // never decreases
	Last ClockReading  `json:"last"`
}

// advance updates the clock with a reading and returns the logical time.
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
