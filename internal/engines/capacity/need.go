package capacity

import (
	"math"
	"time"

	"filberthook/internal/process/saturate"
)

// sample is the demand and the fleet at one time.
type sample struct {
	at time.Time
	// Engines busy with prefill, and decode slots in use at the pace of empty engines.
	prefill, decode float64
	// The same with the rise that is expected until instances ordered now have started.
	prefillAhead, decodeAhead float64
	backlog                   time.Duration
	ready                     map[Pool]int
}

// trendSpan is the time over which a rise is measured: shorter, and the chance in the arrival of
// requests outweighs it.
const trendSpan = 2 * time.Second

// history is the recent samples, oldest first.
type history []sample

// add appends a sample with its forecast and drops those that no longer count.
func (h *history) add(s sample, lead time.Duration, settings Settings) {
	s.prefillAhead, s.decodeAhead = s.prefill, s.decode
	if old := h.before(s.at.Add(-trendSpan)); old != nil {
		ahead := func(now, then float64) float64 {
			slope := (now - then) / s.at.Sub(old.at).Seconds()
			return min(now+max(0, slope)*lead.Seconds(), settings.MaxRise*now)
		}
		s.prefillAhead, s.decodeAhead = ahead(s.prefill, old.prefill), ahead(s.decode, old.decode)
	}
	*h = append(*h, s)
	for len(*h) > 0 && s.at.Sub((*h)[0].at) > settings.Memory+settings.Sustained {
		*h = (*h)[1:]
	}
}

// before returns the newest sample at or before a time, nil if there is none.
func (h history) before(at time.Time) *sample {
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].at.After(at) {
			return &h[i]
		}
	}
	return nil
}

// sustained returns the highest demand that lasted for a time.
func (h history) sustained(lasting time.Duration, of func(*sample) float64) float64 {
	highest := 0.0
	for last := len(h) - 1; last >= 0; last-- {
		lowest, first := of(&h[last]), last
		for ; first > 0 && h[last].at.Sub(h[first-1].at) <= lasting; first-- {
			lowest = min(lowest, of(&h[first-1]))
		}
		if first == 0 && last < len(h)-1 {
			break // what came before is not known any more
		}
		highest = max(highest, lowest)
	}
	return highest
}

// recent returns the part of the history that lies within a time.
func (h history) recent(within time.Duration) history {
	for i := range h {
		if h[len(h)-1].at.Sub(h[i].at) <= within {
			return h[i:]
		}
	}
	return h
}

// backlogs returns the lowest and the highest backlog.
func (h history) backlogs() (lowest, highest time.Duration) {
	lowest = h[0].backlog
	for i := range h {
		lowest, highest = min(lowest, h[i].backlog), max(highest, h[i].backlog)
	}
	return lowest, highest
}

// need is how many instances the demand takes.
type need struct {
	total                   int // with headroom
	busyPrefill, busyDecode int // without, at the demand of this moment
	prefill, decode         int // that each stage must keep while instances are given back
	survivors               int // after the reclaim of a zone
	regular                 int // that stay regular
}

// emptyPace converts decode slots in use to those at the pace of empty engines.
func (s Settings) emptyPace(slots, capacity float64) float64 {
	if capacity <= 0 {
		return slots
	}
	return slots / (1 + s.StepGrowth*min(1, slots/capacity))
}

// decodeEngines returns how many engines decode a demand at a use of their slots.
func (s Settings) decodeEngines(atEmptyPace, use, slots float64) int {
	return saturate.Int(math.Ceil(atEmptyPace * (1 + s.StepGrowth*use) / (use * slots)))
}

// needOf returns what the demand in a history takes, for engines with some slots each.
func (s Settings) needOf(h history, slots float64) need {
	prefill := h.sustained(s.Sustained, func(x *sample) float64 { return x.prefillAhead })
	decode := h.sustained(s.Sustained, func(x *sample) float64 { return x.decodeAhead })
	now := h[len(h)-1]
	n := need{
		busyPrefill: saturate.Int(math.Ceil(now.prefillAhead / s.BusyUse)),
		busyDecode:  s.decodeEngines(now.decodeAhead, s.BusyUse, slots),
		prefill:     saturate.Int(math.Ceil(prefill / s.KeptPrefillUse)),
		decode:      s.decodeEngines(decode, s.KeptDecodeUse, slots),
	}
	// A rise beyond the headroom is met at once, however long it will last.
	n.total = max(n.busyPrefill+n.busyDecode, saturate.Int(math.Ceil(prefill/s.PrefillUse))+s.decodeEngines(decode, s.DecodeUse, slots))
	return n
}

// bounded returns the need with a total between two numbers, and what follows from the total.
func (n need) bounded(lowest, highest int, s Settings) need {
	n.total = min(max(n.total, lowest), highest)
	n.survivors = saturate.Int(math.Ceil(s.Survivors * float64(n.total)))
	n.regular = saturate.Int(math.Ceil(s.RegularShare * float64(n.total)))
	return n
}
