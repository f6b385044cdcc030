package admission

import (
	"math"
	"time"

	"filberthook/internal/process/saturate"
)

// rateWindow is the time constant of the drain rate's average, in busy time.
const rateWindow = 5 * time.Second

// drainRate is an exponential moving average of the KV blocks that leave a queue
// per second of busy time, that is, while requests wait. Idle time is not counted.
type drainRate struct {
	last   time.Duration // end of the busy time counted so far
	blocks float64       // sum that decays over rateWindow
	busy   time.Duration // total busy time counted
}

// resume starts counting busy time at now, after the queue was empty.
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

// observe records that blocks left the queue at now after a wait.
func (r *drainRate) observe(now time.Duration, blocks int) {
	r.advance(now)
	r.blocks += float64(blocks)
}

// wait returns the expected time to place the given KV blocks. It is 0 until
// rateWindow of busy time has been observed.
func (r *drainRate) wait(now time.Duration, blocks int) time.Duration {
	r.advance(now)
	if blocks == 0 || r.busy < rateWindow || r.blocks <= 0 {
		return 0
	}
	perSecond := r.blocks / rateWindow.Seconds()
	return saturate.Seconds(float64(blocks) / perSecond)
}
