package controlnode

import (
	"crypto/rand"
	"time"

	"filberthook/internal/replication/statemachine"
)

// clock reads this process's monotonic clock. Its epoch distinguishes it from the
// clocks of other processes and of earlier runs.
type clock struct {
	epoch string
	start time.Time
}

func newClock() clock { return clock{epoch: rand.Text(), start: time.Now()} }

// elapsed returns the time since the start of the process.
func (c clock) elapsed() time.Duration { return time.Since(c.start) }

// stamp returns the clock reading for a command that is proposed now.
func (c clock) stamp() statemachine.ClockReading {
	return statemachine.ClockReading{Epoch: c.epoch, Elapsed: c.elapsed()}
}
