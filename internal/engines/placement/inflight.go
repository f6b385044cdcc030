package placement

import "time"

// InFlight is a prompt under way at an engine.
type InFlight struct {
	id          string
	prefilledBy string // engine that read the prompt; empty when this one does
	tokens      float64
	priority    int
	keys        []uint64
	expectedMs  float64 // ms until it is read
	sentAt      time.Time
	prefilled   bool
}

// BeginPrompt records that a prompt is sent to an engine that reads tokens of it.
// Source is the engine that read it before, if any.
func (f *Fleet) BeginPrompt(id, prefilledBy string, p *Prompt, tokens int, now time.Time) *InFlight {
	r := &InFlight{id: id, prefilledBy: prefilledBy, tokens: float64(tokens), priority: prefillPriority(tokens), keys: prefixKeys(p.Model, p.Parts), sentAt: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.byID[id]; in != nil {
		in.outstanding++
		r.expectedMs = f.queueMs(in, r.priority, now) + r.tokens/f.prefillRate(in)
		in.ownBacklog.add(r.priority, r.tokens)
		f.recordSent(in, r.keys, now)
	}
	return r
}

// PrefillDone records that the prompt was read: its first event or its handle came.
func (f *Fleet) PrefillDone(r *InFlight, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.byID[r.id]
	if in == nil || r.prefilled {
		return
	}
	f.removeFromBacklog(in, r)
	f.markPrefilled(in, r.keys)
	elapsed := float64(now.Sub(r.sentAt)) / float64(time.Millisecond)
	f.recordPrefillRate(in, r.tokens, elapsed)
	f.estimates.add(r, elapsed)
	excess := max(0, elapsed-r.tokens/f.prefillRate(in)-firstTokenMs)
	in.prefillDelay.add(excess, now)
	if prefiller := f.byID[r.prefilledBy]; prefiller != nil {
		prefiller.transferDelay.add(max(0, excess-transferOverheadMs), now)
	}
}

// removeFromBacklog takes the prompt out of the engine's backlog. The caller holds f.mu.
func (f *Fleet) removeFromBacklog(in *instance, r *InFlight) {
	if !r.prefilled {
		r.prefilled = true
		in.ownBacklog.add(r.priority, -r.tokens)
	}
}

// EndPrompt records how a request to an engine ended.
func (f *Fleet) EndPrompt(r *InFlight, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.byID[r.id]
	if in == nil {
		return
	}
	if o == Answered {
		f.markPrefilled(in, r.keys)
	} else if !r.prefilled {
		in.dropUnfinished(r.keys, r.sentAt)
	}
	f.removeFromBacklog(in, r)
	in.outstanding = max(0, in.outstanding-1)
	in.recordOutcome(o, now)
	f.recordZoneOutcome(in.Zone, o, now)
}
