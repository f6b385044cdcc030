package enginemodel

import (
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/invariant"
	"filberthook/internal/process/saturate"
)

// Engine is the state of one model engine.
type Engine struct {
	cfg      Config
	role     engineapi.Role
	models   []engineapi.Model
	draining bool

	mem      *memory
	requests map[string]*sequence
	queue    []*sequence // most urgent first
	running  []*sequence // most urgent first
	arrivals uint64

	orders  orderBook
	rates   rates
	loads   loadHistory
	pending []Event // caused outside Step, returned by the next Step
	last    time.Duration
	events  []Event     // reused by Step
	batch   []*sequence // reused by runBatch
}

// New returns an idle engine. It panics when the configuration is not valid;
// see Config.Validate.
func New(cfg Config) *Engine {
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	e := &Engine{
		cfg:      cfg,
		role:     cfg.Role,
		models:   cloneModels(cfg.Models),
		mem:      newMemory(cfg),
		requests: make(map[string]*sequence),
		orders:   newOrderBook(),
		loads:    loadHistory{lag: cfg.LoadReportLag},
	}
	e.recordLoad(0)
	return e
}

// Submit gives the engine a request. It returns a *RefusedError when the
// engine refuses it; no work is done then.
func (e *Engine) Submit(now time.Duration, r Request) error {
	e.advance(now)
	if reason := e.refusal(r); reason != "" {
		return &RefusedError{Request: r.ID, Reason: reason}
	}
	r.Prefixes = r.Prefixes[:min(len(r.Prefixes), r.PromptTokens/engineapi.KVBlockTokens)]
	s := &sequence{req: r, arrival: e.arrivals, readyAt: now, generated: r.ResumeFrom}
	e.arrivals++
	if r.ImportedTokens > 0 && e.cfg.KVTransferTokensPerSecond > 0 {
		s.readyAt = now + saturate.Seconds(float64(r.ImportedTokens)/e.cfg.KVTransferTokensPerSecond)
	}
	s.target = r.PromptTokens + r.ResumeFrom
	e.requests[r.ID] = s
	e.queue = insertByUrgency(e.queue, s)
	e.recordLoad(now)
	return nil
}

// Generated returns the number of output tokens of a request, including those
// before ResumeFrom, and whether the engine knows the request.
func (e *Engine) Generated(id string) (tokens int, known bool) {
	s := e.requests[id]
	if s == nil {
		return 0, false
	}
	return s.generated, true
}

func (e *Engine) refusal(r Request) RefusalReason {
	m, loaded := e.model(r.Model)
	switch {
	case e.orders.refusesAll():
		return RefusedChanging
	case e.draining:
		return RefusedDraining
	case !loaded || e.orders.replaces(r.Model):
		return RefusedModel
	case r.Adapter != "" && !slices.Contains(m.Adapters, r.Adapter):
		return RefusedAdapter
	case !e.fitsRole(r):
		return RefusedRole
	case kvBlocksFor(r.PromptTokens+r.OutputTokens) > e.cfg.KVBlocks:
		return RefusedTooLarge
	case e.requests[r.ID] != nil:
		return RefusedDuplicate
	}
	return ""
}

func (e *Engine) fitsRole(r Request) bool {
	switch e.role {
	case engineapi.RolePrefill:
		return r.PrefillOnly
	case engineapi.RoleDecode:
		return !r.PrefillOnly && r.ImportedTokens > 0
	default:
		return true
	}
}

// Cancel ends a request and frees its memory. It reports whether the engine
// knew the request.
func (e *Engine) Cancel(now time.Duration, id string) bool {
	e.advance(now)
	s := e.requests[id]
	if s == nil {
		return false
	}
	e.remove(s)
	e.recordLoad(now)
	return true
}

// Step runs one batch step that starts at now and returns the events of the
// requests and the time of its end. The events are valid until the next call of Step.
// When there is nothing to run, busy is false and end is the time of the next
// known change, or now when there is none.
func (e *Engine) Step(now time.Duration) (events []Event, end time.Duration, busy bool) {
	e.advance(now)
	e.events = append(e.events[:0], e.pending...)
	e.pending = e.pending[:0]
	e.admit(now)
	e.reserve(now)
	if len(e.running) == 0 {
		return e.events, e.nextChange(now), false
	}
	chunk, decoding := e.planPrefill(), e.countDecoding()
	step := e.cfg.StepBase + time.Duration(decoding)*e.cfg.StepPerSequence +
		saturate.Seconds(float64(chunk)/e.cfg.PrefillTokensPerSecond)
	end = now + step
	decoded := e.runBatch(end, chunk)
	e.rates.observe(step, chunk, decoded)
	e.checkMemory()
	e.recordLoad(end)
	return e.events, end, true
}

// nextChange returns when an order or an import finishes, whichever is first.
func (e *Engine) nextChange(now time.Duration) time.Duration {
	next := e.orders.doneAt()
	for _, s := range e.queue {
		if s.readyAt > now && (next == 0 || s.readyAt < next) {
			next = s.readyAt
		}
	}
	return max(next, now)
}

// admit moves requests from the queue to the batch in order of urgency, until
// one does not fit. Requests whose imported KV cache is still being transferred
// are skipped.
func (e *Engine) admit(now time.Duration) {
	kept := e.queue[:0]
	for i, s := range e.queue {
		if s.readyAt > now {
			kept = append(kept, s)
			continue
		}
		if len(e.running) >= e.cfg.MaxBatch || !e.start(now, s) {
			kept = append(kept, e.queue[i:]...)
			break
		}
	}
	clear(e.queue[len(kept):])
	e.queue = kept
}

// start reserves the memory of the whole context of a request and puts it into
// the batch. It reports false when memory is short.
func (e *Engine) start(now time.Duration, s *sequence) bool {
	hit := e.mem.match(s.req.Model, s.req.Prefixes)
	keys := s.req.Prefixes[:hit]
	for _, h := range keys {
		k := cacheKey{s.req.Model, h}
		e.mem.pin(k)
		s.pinned = append(s.pinned, k)
	}
	need := kvBlocksFor(s.target+1) - hit
	if !e.mem.allocate(now, need) {
		e.unpinAll(s)
		return false
	}
	s.privateBlocks = need
	s.cachedHit = min(hit*engineapi.KVBlockTokens, s.req.PromptTokens)
	s.computed = max(s.cachedHit, e.importedTokens(s))
	s.computed = min(s.computed, s.target-1)
	s.state = statePrefill
	s.started = true
	if s.paused {
		s.paused = false
		e.emit(EventResumed, s, now)
	}
	e.running = insertByUrgency(e.running, s)
	return true
}

// importedTokens returns the context tokens that an imported KV cache covers.
func (e *Engine) importedTokens(s *sequence) int {
	return min(s.req.ImportedTokens, s.target)
}

// reserve makes sure that each decoding request has memory for its next token,
// most urgent first, pausing the least urgent ones when memory is short.
func (e *Engine) reserve(now time.Duration) {
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		for s.state == stateDecode && s.kvBlocks() < kvBlocksFor(s.contextTokens()+1) {
			if e.mem.allocate(now, 1) {
				s.privateBlocks++
				continue
			}
			e.pause(now, e.running[len(e.running)-1])
			if i >= len(e.running) {
				return
			}
		}
	}
}

// pause moves the request back into the queue and frees its memory. Whole
// blocks of its prompt stay in the prefix cache as long as memory allows.
func (e *Engine) pause(now time.Duration, s *sequence) {
	e.running = without(e.running, s)
	e.freeMemory(s)
	s.state = stateQueued
	s.paused = true
	s.computed = 0
	s.req.ImportedTokens = 0
	s.target = s.contextTokens()
	e.queue = insertByUrgency(e.queue, s)
	e.emit(EventPaused, s, now)
}

// planPrefill returns how many prompt tokens the next step computes.
func (e *Engine) planPrefill() int {
	chunk := 0
	for _, s := range e.running {
		if s.state == statePrefill {
			chunk += s.target - s.computed
		}
	}
	return min(chunk, e.cfg.PrefillChunk)
}

func (e *Engine) countDecoding() int {
	n := 0
	for _, s := range e.running {
		if s.state == stateDecode {
			n++
		}
	}
	return n
}

// runBatch computes chunk prompt tokens and one token of each decoding
// request. A request whose prompt is done generates its first token in the
// same step. It returns the number of generated tokens.
func (e *Engine) runBatch(end time.Duration, chunk int) int {
	decoded := 0
	e.batch = append(e.batch[:0], e.running...)
	for _, s := range e.batch {
		if s.state == statePrefill {
			n := min(chunk, s.target-s.computed)
			chunk -= n
			if !e.prefill(end, s, n) {
				continue
			}
		}
		if e.generate(end, s) {
			decoded++
		}
	}
	return decoded
}

// prefill computes n context tokens and reports whether the request can
// generate in this step.
func (e *Engine) prefill(end time.Duration, s *sequence, n int) bool {
	s.computed += n
	e.storePrefixes(end, s)
	if s.computed < s.target {
		return false
	}
	s.state = stateDecode
	e.emit(EventPrefillDone, s, end)
	if s.req.PrefillOnly {
		e.finish(end, s)
		return false
	}
	return true
}

// storePrefixes moves the fully computed blocks of the prompt to the prefix cache.
func (e *Engine) storePrefixes(now time.Duration, s *sequence) {
	whole := min(s.computed/engineapi.KVBlockTokens, len(s.req.Prefixes))
	for i := len(s.pinned); i < whole; i++ {
		k := cacheKey{s.req.Model, s.req.Prefixes[i]}
		e.mem.store(now, k)
		s.privateBlocks--
		s.pinned = append(s.pinned, k)
	}
}

// generate emits the next output token and reports whether there was one.
func (e *Engine) generate(end time.Duration, s *sequence) bool {
	if s.generated >= s.req.OutputTokens {
		e.finish(end, s)
		return false
	}
	e.events = append(e.events, Event{Kind: EventToken, Request: s.req.ID, Token: s.generated, At: end})
	s.generated++
	s.computed++
	if s.generated >= s.req.OutputTokens {
		e.finish(end, s)
	}
	return true
}

func (e *Engine) finish(end time.Duration, s *sequence) {
	e.emit(EventFinished, s, end)
	e.remove(s)
}

func (e *Engine) emit(kind EventKind, s *sequence, at time.Duration) {
	ev := Event{Kind: kind, Request: s.req.ID, At: at}
	if kind == EventPrefillDone {
		ev.CachedTokens = s.cachedHit
	}
	e.events = append(e.events, ev)
}

// remove deletes a request and frees its memory.
func (e *Engine) remove(s *sequence) {
	e.freeMemory(s)
	delete(e.requests, s.req.ID)
	if s.state == stateQueued {
		e.queue = without(e.queue, s)
		return
	}
	e.running = without(e.running, s)
}

func (e *Engine) freeMemory(s *sequence) {
	e.mem.release(s.privateBlocks)
	s.privateBlocks = 0
	e.unpinAll(s)
}

func (e *Engine) unpinAll(s *sequence) {
	for _, k := range slices.Backward(s.pinned) {
		e.mem.unpin(k)
	}
	s.pinned = s.pinned[:0]
}

// checkMemory asserts that private and cached blocks fit into the memory.
func (e *Engine) checkMemory() {
	m := e.mem
	invariant.Check(m.privateBlocks >= 0 && m.privateBlocks+len(m.entries) <= m.totalBlocks, "engine_memory_bounded",
		"private %d, cached %d, total %d", m.privateBlocks, len(m.entries), m.totalBlocks)
}

// contextTokens returns the tokens of the prompt and of the answer so far.
func (s *sequence) contextTokens() int { return s.req.PromptTokens + s.generated }

func insertByUrgency(list []*sequence, s *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(list, s, func(a, b *sequence) int {
		if a.moreUrgent(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, s)
}

func without(list []*sequence, s *sequence) []*sequence {
	at := slices.Index(list, s)
	return slices.Delete(list, at, at+1)
}

// kvBlocksFor returns the number of KV blocks needed for a number of tokens.
func kvBlocksFor(tokens int) int {
	return (tokens + engineapi.KVBlockTokens - 1) / engineapi.KVBlockTokens
}
