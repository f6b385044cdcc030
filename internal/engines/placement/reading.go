package placement

import "time"

// InFlight is a prompt under way at an engine.
type InFlight struct {
	id       string
	source   string // engine that read the prompt; empty when this one does
	tokens   float64
	priority int
	keys     []uint64
	expected float64 // ms until it is read
	sent     time.Time
	read     bool
}

// BeginPrompt records that a prompt is sent to an engine that reads tokens of it.
// Source is the engine that read it before, if any.
func (f *Fleet) BeginPrompt(id, source string, p *Prompt, tokens int, now time.Time) *InFlight {
	r := &InFlight{id: id, source: source, tokens: float64(tokens), priority: readPriority(tokens), keys: chain(p.Model, p.Parts), sent: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.known[id]; in != nil {
		in.outstanding++
		r.expected = f.waiting(in, r.priority, now) + r.tokens/f.rate(in)
		in.own.add(r.priority, r.tokens)
		f.hold(in, r.keys, now)
	}
	return r
}

// PrefillDone records that the prompt was read: its first event or its handle came.
func (f *Fleet) PrefillDone(r *InFlight, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.known[r.id]
	if in == nil || r.read {
		return
	}
	f.settle(in, r)
	f.partsRead(in, r.keys)
	took := float64(now.Sub(r.sent)) / float64(time.Millisecond)
	f.observe(in, r.tokens, took)
	f.estimates.add(r, took)
	beyond := max(0, took-r.tokens/f.rate(in)-firstTokenTime)
	in.wait.add(beyond, now)
	if reader := f.known[r.source]; reader != nil {
		reader.transfer.add(max(0, beyond-transferOverhead), now)
	}
}

// settle takes the prompt out of the engine's backlog. The caller holds f.mu.
func (f *Fleet) settle(in *instance, r *InFlight) {
	if !r.read {
		r.read = true
		in.own.add(r.priority, -r.tokens)
	}
}

// EndPrompt records how a request to an engine ended.
func (f *Fleet) EndPrompt(r *InFlight, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.known[r.id]
	if in == nil {
		return
	}
	if o == Answered {
		f.partsRead(in, r.keys)
	} else if !r.read {
		in.partsLost(r.keys, r.sent)
	}
	f.settle(in, r)
	in.outstanding = max(0, in.outstanding-1)
	in.judge(o, now)
	f.judgeZone(in.Zone, o, now)
}
