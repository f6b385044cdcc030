package placement

import (
	"time"

	"filberthook/internal/engines/instances"
)

// InFlight is a prompt that was sent to an engine and has not ended.
type InFlight struct {
	id          string
	prefilledBy string // engine that ran the prefill; empty if this one does
	tokens      float64
	uncached    bool    // no engine had any of the tokens cached
	aheadTokens float64 // known to be queued before it when it was sent
	priority    int
	keys        []uint64
	endpoint    string  // whose decode engine it is; empty at a prefill engine
	output      float64 // expected output tokens
	idleMs      float64 // prefill at an engine without a queue
	expectedMs  float64 // until the prefill is done, by the backlog; without learned corrections
	timeLeft    time.Duration
	sentAt      time.Time
	prefilled   bool
}

// BeginPrompt records that a prompt is sent to an engine, which has to compute
// prefillTokens of its tokens. prefilledBy is the engine that has run the prefill, if any.
func (f *Fleet) BeginPrompt(id, prefilledBy string, p *Prompt, prefillTokens int, now time.Time) *InFlight {
	r := &InFlight{id: id, prefilledBy: prefilledBy, tokens: float64(prefillTokens), uncached: prefillTokens <= p.uniqueTokens(), keys: prefixKeys(p.Model, p.PrefixBlocks), timeLeft: p.TimeLeft, sentAt: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.priority = prefillPriority(prefillTokens, f.typicalRate(p.Endpoint))
	if in := f.byID[id]; in != nil {
		in.outstanding++
		r.idleMs = r.tokens / f.prefillRate(in)
		r.aheadTokens = in.backlogTokens(r.priority, now)
		r.expectedMs = f.backlogMs(in, r.priority, now) + r.idleMs
		in.ownBacklog.add(r.priority, r.tokens)
		f.recordSent(in, r.keys, now)
		if in.Stage != instances.Prefill {
			r.endpoint, r.output = p.Endpoint, float64(p.OutputTokens)
		}
	}
	return r
}

// PrefillDone records that the prefill has finished: the first event of the answer has
// arrived, or the handle of the KV cache from a prefill engine.
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
	if in.tellsRate(r, elapsed, now) && f.recordPrefillRate(in, r.tokens, elapsed) {
		in.prefillRates.addedAt = now
	}
	if r.timeLeft > 0 {
		elapsed = min(elapsed, float64(r.timeLeft)/float64(time.Millisecond))
	}
	f.estimates.add(r, elapsed, now)
	excess := max(0, elapsed-r.idleMs-firstTokenMs)
	// Without the part that the backlog explained, which is gone by now: with it, a prompt that
	// many more urgent ones had overtaken kept all prompts away from its engine.
	in.prefillDelay.add(max(0, excess-(r.expectedMs-r.idleMs)), now)
	if prefiller := f.byID[r.prefilledBy]; prefiller != nil {
		prefiller.transferDelay.add(max(0, excess-transferOverheadMs), now)
	}
}

// removeFromBacklog removes the prompt from the engine's backlog. The caller holds f.mu.
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
	if r.endpoint != "" && o == Answered {
		m := f.meter(r.endpoint, now)
		m.endedSeconds.add(now.Sub(r.sentAt).Seconds(), now)
		m.endedTokens.add(r.output, now)
	}
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
