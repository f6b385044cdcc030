package admission

import (
	"math"
	"time"
)

// rateWindow is the busy time over which the drain rate is averaged.
const rateWindow = 5 * time.Second

// drainRate is a moving average of the pieces that leave a queue per second of
// the time in which requests wait. Idle time does not count.
type drainRate struct {
	last   time.Duration // up to here the busy time has been counted
	blocks float64       // sum that decays over rateWindow
	busy   time.Duration // time counted so far
}

// resume starts the count again when a request comes to an empty queue.
func (r *drainRate) resume(now time.Duration) { r.last = now }

func (r *drainRate) advance(now time.Duration) {
	elapsed := now - r.last
	if elapsed <= 0 {
		return
	}
	r.blocks *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.busy += elapsed
	r.last = now
}

// observe notes that pieces have left at now after a wait.
func (r *drainRate) observe(now time.Duration, blocks int) {
	r.advance(now)
	r.blocks += float64(blocks)
}

// wait returns how long it takes to place the given pieces. It is 0 while less
// than rateWindow of busy time has been seen.
func (r *drainRate) wait(now time.Duration, blocks int) time.Duration {
	r.advance(now)
	if blocks == 0 || r.busy < rateWindow || r.blocks <= 0 {
		return 0
	}
	perSecond := r.blocks / rateWindow.Seconds()
	return time.Duration(float64(blocks) / perSecond * float64(time.Second))
}
