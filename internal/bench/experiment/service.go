package experiment

import (
	"time"

	"filberthook/internal/engines/engineapi"
)

// serviceSlots is the number of calls that one service instance runs at once.
const serviceSlots = 4

// service is one instance of a plain service; calls queue in order for a free slot.
type service struct {
	sim     *sim
	name    string
	zone    int
	alive   bool
	running int
	queue   []*job
}

func (v *service) submit(j *job) bool {
	if !v.alive {
		return false
	}
	v.queue = append(v.queue, j)
	v.start()
	return true
}

func (v *service) start() {
	for v.running < serviceSlots && len(v.queue) > 0 {
		j := v.queue[0]
		v.queue = v.queue[1:]
		v.running++
		v.sim.clock.after(j.arrival.serviceTime, func() { v.finish(j) })
	}
}

func (v *service) finish(j *job) {
	v.running--
	if !v.alive {
		return
	}
	j.entry.serviceFinished(j)
	v.start()
}

func (v *service) load() engineapi.LoadReport {
	const usualStep = 20 * time.Millisecond
	return engineapi.LoadReport{
		Running:    v.running,
		Queued:     len(v.queue),
		StepMillis: float64(usualStep.Milliseconds()) / serviceSlots,
	}
}
