package experiment

import (
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/routing"
)

// maxAttempts limits the attempts of one request.
const maxAttempts = 6

// leaseTime is how long entry hosts go on seeing an engine that has stopped.
const leaseTime = 3 * time.Second

// placer places the requests of one entry host under a policy.
type placer interface {
	arrive(j *job)       // places, queues or refuses a new request
	retry(j *job)        // places a request again after its attempt has failed
	sent(j *job)         // the attempt has been sent
	prefillDone(j *job)  // the prefill has ended
	attemptEnded(j *job) // the attempt has ended, whatever its outcome
	dispatch()           // places queued requests, since engine memory may have become free
	viewChanged(cands []routing.Candidate)
}

// entry is one entry host with its delayed view of the instances.
type entry struct {
	sim    *sim
	zone   int
	name   string
	alive  bool
	placer placer
	cands  []routing.Candidate
}

// refreshView polls all instances.
func (e *entry) refreshView() {
	if !e.alive {
		return
	}
	s := e.sim
	cands := make([]routing.Candidate, 0, len(s.workers)+len(s.services))
	for _, w := range s.workers {
		if !w.alive && s.clock.now-w.stoppedAt > leaseTime {
			continue
		}
		cands = append(cands, w.candidate())
	}
	for _, v := range s.services {
		if v.alive {
			cands = append(cands, v.candidate())
		}
	}
	e.cands = cands
	e.placer.viewChanged(cands)
}

func (w *worker) candidate() routing.Candidate {
	c := routing.Candidate{
		Instance:    w.name,
		Incarnation: 1,
		Kind:        engineapi.KindModel,
		Zone:        w.sim.scenario.Fleet.Zones[w.zone].Name,
		Role:        w.role,
		Models:      w.sim.models,
		KVBlocks:    w.sim.scenario.Fleet.KVBlocks,
		Draining:    w.draining,
		Changing:    w.changing,
	}
	w.report(&c)
	return c
}

// report copies the engine's delayed load report into a candidate.
func (w *worker) report(c *routing.Candidate) {
	if !w.alive {
		return
	}
	now := w.sim.clock.now
	c.Load = w.engine.Load(now)
	c.ReportedAt = now - time.Duration(c.Load.AgeMillis)*time.Millisecond
}

func (v *service) candidate() routing.Candidate {
	return routing.Candidate{
		Instance:   v.name,
		Kind:       engineapi.KindService,
		Endpoint:   serviceEndpoint,
		Zone:       v.sim.scenario.Fleet.Zones[v.zone].Name,
		Load:       v.load(),
		ReportedAt: v.sim.clock.now,
	}
}

// serviceEndpoint is the endpoint of all plain service instances.
const serviceEndpoint = "desk"

// updateLoad applies the load report that comes with an engine's answer.
func (e *entry) updateLoad(w *worker) {
	for i := range e.cands {
		if e.cands[i].Instance == w.name {
			w.report(&e.cands[i])
			return
		}
	}
}

// send starts an attempt of a request.
func (e *entry) send(j *job, p assignment) {
	j.place = p
	j.prefilled = false
	j.attempts++
	j.state = jobRunning
	e.placer.sent(j)
	if p.prefill != nil {
		e.submit(&attempt{job: j, phase: phasePrefill}, p.prefill)
		return
	}
	e.submit(&attempt{job: j, phase: phaseWhole}, p.decode)
}

func (e *entry) submit(a *attempt, w *worker) {
	e.sim.clock.after(e.delay(w.zone), func() {
		if !w.submit(a) {
			e.failed(a, w)
		}
	})
}

// delay returns the one-way network delay to an instance in a zone.
func (e *entry) delay(zone int) time.Duration {
	if zone == e.zone {
		return 0
	}
	return e.sim.scenario.Fleet.ZoneDelay.Duration
}

// finished handles the completion of an attempt: after a prefill it submits the decode,
// otherwise the request is done.
func (e *entry) finished(a *attempt, w *worker) {
	j := a.job
	if !e.alive {
		return
	}
	e.updateLoad(w)
	if a.phase == phasePrefill {
		j.prefilled = true
		e.placer.prefillDone(j)
		e.submit(&attempt{job: j, phase: phaseDecode}, j.place.decode)
		e.placer.dispatch()
		return
	}
	j.state = jobDone
	j.endedAt = e.sim.clock.now + e.delay(w.zone)
	e.placer.attemptEnded(j)
	e.sim.record.addLatencies(j)
	e.placer.dispatch()
}

// failed retries a request on another engine after a failed attempt.
func (e *entry) failed(a *attempt, w *worker) {
	j := a.job
	if !e.alive || j.state != jobRunning {
		return
	}
	if j.place.prefill != nil && !j.prefilled {
		e.placer.prefillDone(j)
	}
	e.placer.attemptEnded(j)
	e.sim.record.retries++
	j.req.Exclude = append(j.req.Exclude, w.name)
	j.state = jobWaiting
	if j.attempts >= maxAttempts {
		e.giveUp(j, jobFailed)
		return
	}
	e.placer.retry(j)
}

// giveUp ends a request without a complete answer.
func (e *entry) giveUp(j *job, state jobState) {
	j.state = state
	j.endedAt = e.sim.clock.now
	e.sim.record.addLatencies(j)
}

// call sends a request to a plain service.
func (e *entry) call(j *job, v *service) {
	j.state = jobRunning
	j.attempts++
	e.placer.sent(j)
	e.sim.clock.after(e.delay(v.zone), func() {
		if !v.submit(j) {
			e.placer.attemptEnded(j)
			e.giveUp(j, jobFailed)
		}
	})
}

// serviceFinished handles the end of a service call.
func (e *entry) serviceFinished(j *job) {
	if !e.alive {
		return
	}
	j.state = jobDone
	j.endedAt = e.sim.clock.now
	e.placer.attemptEnded(j)
	e.sim.record.addLatencies(j)
}
