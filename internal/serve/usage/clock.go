package usage

import (
	"slices"
	"time"
)

const (
	// jitter is the difference of two round trips that counts as none.
	jitter = 20 * time.Millisecond
	// sampleLifetime bounds how long a more exact sample replaces newer ones.
	sampleLifetime = 30 * time.Second
	// forgetSource is when the clock of a control host that is no longer reached is left out, if
	// others are.
	forgetSource = 2 * time.Minute
)

// clock estimates the true time from the times of day of the control hosts and of this host. Its
// readings are carried forward by a clock that counts suspensions and never jumps, so that a jump
// of one time of day moves no window. It does no I/O and reads no clock.
type clock struct {
	own     time.Duration // this host's time of day less the other clock
	sources map[string]sample
}

// sample is a reading of a control host's time of day.
type sample struct {
	ahead     time.Duration // less this host's other clock
	roundTrip time.Duration
	at        time.Duration
}

func newClock(wall, now time.Duration) *clock {
	return &clock{own: wall - now, sources: map[string]sample{}}
}

// observeOwn records this host's time of day.
func (c *clock) observeOwn(wall, now time.Duration) { c.own = wall - now }

// observe records the time of day that a control host sent in an answer, which has arrived now. The
// error of a sample is at most half of its round trip, so a sample over a slow exchange replaces a
// better one only if that is old or both cannot be right.
func (c *clock) observe(source string, wall, roundTrip, now time.Duration) {
	next := sample{ahead: wall + roundTrip/2 - now, roundTrip: roundTrip, at: now}
	old, known := c.sources[source]
	apart := (next.ahead - old.ahead).Abs()
	if known && roundTrip > old.roundTrip+jitter && now-old.at < sampleLifetime && apart <= (roundTrip+old.roundTrip)/2+jitter {
		return
	}
	c.sources[source] = next
	for other, s := range c.sources {
		if now-s.at > forgetSource {
			delete(c.sources, other)
		}
	}
}

// synchronized reports whether the clocks of control hosts outweigh this host's own.
func (c *clock) synchronized() bool { return len(c.sources) > 1 }

// trueTime returns the time since 1970 as the median of all clocks tells it.
func (c *clock) trueTime(now time.Duration) time.Duration {
	all := make([]time.Duration, 1, len(c.sources)+1)
	all[0] = c.own
	for _, s := range c.sources {
		all = append(all, s.ahead)
	}
	slices.Sort(all)
	middle := len(all) / 2
	if len(all)%2 == 0 {
		return now + (all[middle-1]+all[middle])/2
	}
	return now + all[middle]
}
