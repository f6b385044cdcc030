package enginemodel

import (
	"time"

	"filberthook/internal/engines/engineapi"
)

// rateWeight is the weight of the newest step in the moving averages.
const rateWeight = 0.1

// rates are moving averages over busy steps.
type rates struct {
	stepMillis float64
	prefill    float64 // tokens per second
	decode     float64 // tokens per second
}

func (r *rates) observe(step time.Duration, prefilled, decoded int) {
	s := step.Seconds()
	r.stepMillis = average(r.stepMillis, s*1000)
	r.prefill = average(r.prefill, float64(prefilled)/s)
	r.decode = average(r.decode, float64(decoded)/s)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + rateWeight*(sample-old)
}

// loadSample is a load report and the time from which it held.
type loadSample struct {
	at     time.Duration
	report engineapi.LoadReport
}

// loadHistory keeps the newest readable load report and those younger than lag.
type loadHistory struct {
	lag     time.Duration
	seq     uint64
	samples []loadSample // oldest first; the first one is readable now
}

func (h *loadHistory) add(at time.Duration, r engineapi.LoadReport) {
	if n := len(h.samples); n > 0 {
		at = max(at, h.samples[n-1].at)
	}
	h.seq++
	r.Sequence = h.seq
	h.samples = append(h.samples, loadSample{at: at, report: r})
	h.prune(at)
}

// prune drops samples that a newer readable one replaces.
func (h *loadHistory) prune(now time.Duration) {
	drop := 0
	for drop+1 < len(h.samples) && h.samples[drop+1].at <= now-h.lag {
		drop++
	}
	if drop > 0 {
		h.samples = append(h.samples[:0], h.samples[drop:]...)
	}
}

func (h *loadHistory) read(now time.Duration) engineapi.LoadReport {
	h.prune(now)
	if len(h.samples) == 0 {
		return engineapi.LoadReport{}
	}
	r := h.samples[0].report
	r.AgeMillis = min(h.lag, now-min(now, h.samples[0].at)).Milliseconds()
	return r
}

// Load returns the engine's load as it was one reporting lag ago.
func (e *Engine) Load(now time.Duration) engineapi.LoadReport {
	e.advance(now)
	return e.loads.read(now)
}

// recordLoad adds the engine's current load to the history.
func (e *Engine) recordLoad(now time.Duration) {
	e.loads.add(now, e.currentLoad())
}

// currentLoad returns the load without lag.
func (e *Engine) currentLoad() engineapi.LoadReport {
	r := engineapi.LoadReport{
		Running:        len(e.running),
		Queued:         len(e.queue),
		UsedKVBlocks:   e.mem.used(),
		CachedKVBlocks: e.mem.lru.Len(),
		StepMillis:     e.rates.stepMillis,
		PrefillPerSec:  e.rates.prefill,
		DecodePerSec:   e.rates.decode,
		CacheEventsSeq: e.mem.log.seq,
	}
	for _, s := range e.queue {
		r.QueuedPrefill += s.target - s.computed
	}
	for _, s := range e.running {
		if s.state == statePrefill {
			r.QueuedPrefill += s.target - s.computed
		}
	}
	return r
}
