package controlwatch

import "time"

// hostCountMemory is how long a reported number of entry hosts counts at least. A control
// host that has restarted reports too few until all hosts have found it again, and each
// of them would then take too large a share of what they have in common.
const hostCountMemory = 10 * time.Second

// hostCount remembers the highest number of entry hosts that was reported recently.
type hostCount struct {
	current, previous int // highest of this period and of the one before
	since             time.Time
}

// report records a number of hosts; 0 means that a control host does not know it.
func (c *hostCount) report(n int, now time.Time) {
	c.advance(now)
	if c.since.IsZero() && n > 0 {
		c.since = now
	}
	c.current = max(c.current, n)
}

// highest returns the highest recent number, 0 if there is none.
func (c *hostCount) highest(now time.Time) int {
	c.advance(now)
	return max(c.current, c.previous)
}

// advance begins a new period after hostCountMemory. A period without any report keeps the
// last number: the hosts are unreachable, not gone.
func (c *hostCount) advance(now time.Time) {
	if now.Sub(c.since) < hostCountMemory || c.current == 0 {
		return
	}
	c.current, c.previous, c.since = 0, c.current, now
}
