package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/upstream"
)

// streamProgress is how much of the stream the caller has received.
type streamProgress struct {
	started   bool   // the answer's header was sent
	mediaType string // of that header
	sequence
}

// result is the result of one attempt to generate the answer.
type result uint8

const (
	finished result = iota // the caller has a complete answer or the instance's error
	notRun                 // the instance did not run the request
	broken                 // the request may have run, and its stream is incomplete
)

// serveStream serves a generation: it runs the prefill, passes the events of the decode
// on, and resumes a broken stream at another instance if the route allows it.
func (c *call) serveStream() {
	p := streamProgress{sequence: sequence{before: c.meta.LastEventID}}
	if ended, end := c.generate(&generation{ctx: c.ctx, leads: true}, &p); ended != finished {
		end()
	}
}

// generate makes attempts, one after the other, until the caller has the complete answer or no
// other attempt may follow. It then returns how the last one ended, and what ends the call.
func (c *call) generate(g *generation, p *streamProgress) (ended result, end func()) {
	ended = notRun
	for {
		containKey, refused := c.admit(g.ctx, !g.leads)
		if refused != nil {
			return ended, func() { c.endSuspect(*refused, p) }
		}
		prompt := c.prompt(p)
		prompt.ContainKey = containKey
		plan, err := c.server.fleet.Place(prompt, time.Now())
		if err != nil {
			if g.leads && c.awaitInstance(err) {
				continue
			}
			return ended, func() { c.endUnplaced(err, p) }
		}
		var reason string
		if plan.Prefill == nil {
			ended, reason = c.run(g, plan, prompt, dialect.KVHandle{}, p)
			c.excluded[plan.Decode.ID] = true
		} else if !c.arrivals.reservePrefill(time.Now()) {
			return ended, func() { c.endUnfinished("retry_budget", p) }
		} else if handle, ok := c.prefill(g, &plan, prompt); ok {
			ended, reason = c.runPrefilled(g, plan, prompt, handle, p)
		} else {
			c.excluded[plan.Prefill.ID] = true
			ended, reason = notRun, "prompt_not_read"
		}
		if ended == finished {
			return finished, nil
		}
		if !p.resumable() || !c.mayContinue(g, ended) {
			return ended, func() { c.endUnfinished(reason, p) }
		}
	}
}

// maxHandleOffers is the number of decode engines that are offered a KV cache handle. An
// engine that is full does not consume the handle.
const maxHandleOffers = 2

// runPrefilled generates the answer from the KV cache of a finished prefill.
func (c *call) runPrefilled(g *generation, plan placement.Plan, prompt *placement.Prompt, handle dialect.KVHandle, p *streamProgress) (result, string) {
	plan.PrefillTokens, plan.FetchFrom = 0, ""
	for offers := 1; ; offers++ {
		if d := c.server.quarantine.Admit(c.suspect, time.Now()); d.Answer == quarantine.Refuse {
			c.server.freeHandle(c.meta.ID, *plan.Prefill, handle)
			return notRun, "suspect_block"
		}
		if offers == 1 && plan.Reserved != nil {
			plan.Decode = *plan.Reserved
		} else if decode, err := c.server.fleet.PlaceDecode(prompt, plan.Prefill.Zone, time.Now()); err == nil {
			plan.Decode = decode
		} else {
			c.server.freeHandle(c.meta.ID, *plan.Prefill, handle)
			return notRun, c.noteUnplaced(err)
		}
		ended, reason := c.run(g, plan, prompt, handle, p)
		c.excluded[plan.Decode.ID] = true
		if ended != notRun {
			return ended, reason
		}
		if offers == maxHandleOffers || !c.mayResend(g.ctx) {
			c.server.freeHandle(c.meta.ID, *plan.Prefill, handle)
			return ended, reason
		}
	}
}

// mayContinue reports whether another attempt may follow one that ended, and charges the
// retry budget for it.
func (c *call) mayContinue(g *generation, ended result) bool {
	if c.unwritable || ended == broken && (!c.route.Resumable || c.ran >= c.route.MaxAttempts) {
		return false
	}
	return c.mayResend(g.ctx)
}

// prompt describes the request to placement. A stream that has begun has no latency goal
// any more, so placement does not refuse it: its caller waits for the rest.
func (c *call) prompt(p *streamProgress) *placement.Prompt {
	prompt := &placement.Prompt{
		Endpoint: c.endpoint, Model: c.meta.Model, PrefixBlocks: c.meta.PrefixBlocks, Tokens: c.meta.PromptTokens,
		OutputTokens: c.expectedOutput(), SingleEngine: !c.route.PromptMetadata, Excluded: c.excluded,
	}
	if !p.started {
		prompt.Goal, prompt.TimeLeft = c.route.Goal, min(c.remaining(), c.firstEventTimeLeft())
	}
	return prompt
}

// defaultOutputShare is the expected output, as a share of the caller's limit, when the
// caller sends no length hint.
const defaultOutputShare = 0.25

func (c *call) expectedOutput() int {
	if c.meta.LengthHint > 0 {
		return c.meta.LengthHint
	}
	return int(defaultOutputShare * float64(c.meta.OutputTokens))
}

// Callers abandon a stream that has no first event after the longest of these times.
const (
	minFirstEventTimeout = 2 * time.Second
	goalTimeoutFactor    = 4 // times the route's goal
	gapTimeoutFactor     = 8 // times the route's goal for the gap between events
)

// firstEventTimeLeft returns how much longer the caller waits for the first event.
func (c *call) firstEventTimeLeft() time.Duration {
	timeout := max(minFirstEventTimeout, goalTimeoutFactor*c.route.Goal, gapTimeoutFactor*c.route.GapGoal)
	return timeout - time.Since(c.start)
}

// endUnplaced ends a call that placement found no engine for.
func (c *call) endUnplaced(err error, p *streamProgress) {
	reason := c.noteUnplaced(err)
	var hopeless *placement.HopelessError
	if errors.As(err, &hopeless) && c.ran == 0 {
		c.refuse("hopeless", max(hopeless.RetryAfter(), c.retryAfter()))
		return
	}
	c.endUnfinished(reason, p)
}

// endUnfinished ends a call whose stream is incomplete. If the stream has begun, it aborts
// the connection, so that the answer does not look complete.
func (c *call) endUnfinished(reason string, p *streamProgress) {
	if !p.started {
		c.giveUp(reason)
		return
	}
	c.outcome, c.reason = "broken_off", reason
	if c.callerGone() {
		c.outcome = outcomeCallerLeft
	}
	c.abort()
}

// run sends the request to the decode engine and passes its events on. If the engine falls
// silent, it also waits for the takeover, which may have completed the answer.
func (c *call) run(g *generation, plan placement.Plan, prompt *placement.Prompt, handle dialect.KVHandle, p *streamProgress) (result, string) {
	timeout := time.Duration(0) // wait for a stream that cannot be resumed elsewhere
	if c.route.Resumable && c.ran+1 < c.route.MaxAttempts {
		timeout = generateSilenceTimeout + estimateFactor*plan.ExpectedTTFT
	}
	watch := c.watchSilence(g, plan.Decode, timeout)
	watch.progress = p
	ended, reason := c.attempt(watch, plan, prompt, handle, p)
	watch.stop()
	return c.awaitTakeover(watch, ended, reason)
}

// attempt is one attempt of run.
func (c *call) attempt(watch *silenceWatch, plan placement.Plan, prompt *placement.Prompt, handle dialect.KVHandle, p *streamProgress) (result, string) {
	start := time.Now()
	outcome := placement.Canceled
	var failure error
	prefillEngine, source := "", ""
	if plan.Prefill != nil {
		prefillEngine, source = plan.Prefill.ID, c.server.dialect.KVSource(plan.Prefill.Address, handle)
	}
	inFlight := c.server.fleet.BeginPrompt(plan.Decode.ID, prefillEngine, prompt, plan.PrefillTokens, start)
	step := "run"
	if p.started {
		step = "resume"
	}
	defer func() {
		c.noteEngine(plan.Decode, step, outcome, start, failure, plan)
		c.server.fleet.EndPrompt(inFlight, watch.unrecorded(outcome), time.Now())
	}()
	send := dialect.SendOptions{Instance: plan.Decode.ID, ModelEngine: true, KVSource: source, FetchFrom: plan.FetchFrom, LastEventID: p.lastID, Priority: c.priority()}
	defer c.server.quarantine.Sent(c.suspect, watch.withdraw)()
	c.ran++ // undone if it was not sent, or if the instance says that it did not run
	answer, err := c.send(watch.ctx, plan.Decode, send)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		c.ran--
		outcome, failure = watch.outcome(), err
		return notRun, "no_contact"
	}
	if err != nil {
		outcome, failure = watch.outcome(), err
		c.noteLost(watch.generation.ctx, plan.Decode, step, outcome, false, err)
		return broken, watch.failureReason(err)
	}
	defer answer.Close()
	if answer.StatusCode != http.StatusOK || answer.Header.Get("Content-Encoding") != "" {
		ended, classified := c.passNonStream(answer, p, watch)
		outcome = classified
		return ended, "endpoint_refused"
	}
	if failure = c.checkStream(answer, p); failure != nil {
		outcome = placement.Failed
		return broken, "bad_answer"
	}
	eventsBefore := p.events
	if err = c.passEvents(answer, inFlight, p, watch); err == nil {
		outcome = placement.Answered
		c.outcome, c.status = "answered", answer.StatusCode
		return finished, ""
	}
	var bad badEventError
	var notWritten *callerWriteError
	switch {
	case errors.As(err, &bad):
		outcome, failure = placement.Failed, err
		return broken, "bad_answer"
	case errors.As(err, &notWritten): // says nothing about the instance, and no other one can help
		c.unwritable, failure = true, err
		return broken, watch.failureReason(err)
	}
	outcome, failure = watch.outcome(), err
	c.noteLost(watch.generation.ctx, plan.Decode, step, outcome, p.events > eventsBefore, err)
	return broken, watch.failureReason(err)
}

// passNonStream handles an answer that is not a stream, such as a refusal. It is passed on
// unless the request did not run, the stream has begun, or another attempt may succeed.
func (c *call) passNonStream(answer *upstream.Answer, p *streamProgress, watch *silenceWatch) (result, placement.Outcome) {
	got := &wholeAnswer{status: answer.StatusCode, header: answer.Header, answer: c.server.dialect.DecodeAnswer(answer.StatusCode, answer.Header)}
	var err error
	if got.body, err = c.readWhole(answer); err != nil && !got.answer.NotRun {
		return broken, watch.outcome()
	}
	outcome, err := c.classify(got)
	switch {
	case got.answer.NotRun:
		return notRun, outcome
	case err != nil, p.started, c.route.Resumable && got.status >= http.StatusInternalServerError && c.remaining() > 0,
		!watch.generation.leads && impliesNotRun(got.status), watch.obsolete():
		return broken, outcome
	}
	watch.claim()
	c.passWhole(got)
	return finished, outcome
}

// callerWriteError reports that an answer's bytes could not be written to the caller.
type callerWriteError struct{ cause error }

// Error implements error.
func (e *callerWriteError) Error() string { return "write to the caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerWriteError) Unwrap() error { return e.cause }

// notWritten counts a failed write to the caller: by its deadline, or because the connection has ended.
func (c *call) notWritten(cause error) error {
	kind := "connection"
	if errors.Is(cause, os.ErrDeadlineExceeded) {
		kind = "deadline"
	}
	c.server.metrics.GetOrCreateCounter(`filberthook_entry_caller_write_failures_total{cause="` + kind + `"}`).Inc()
	return &callerWriteError{cause}
}

// passEvents forwards the events of an answer as they arrive, until its end.
func (c *call) passEvents(answer *upstream.Answer, inFlight *placement.InFlight, p *streamProgress, watch *silenceWatch) error {
	controller := http.NewResponseController(c.w)
	events := newEventReader(answer, answer.Reserve)
	proven := false  // an event shows that the answer goes on where the caller is
	var early []byte // comments before that event
	for {
		e, err := c.nextEvent(events)
		if watch.obsolete() {
			return errTakenOver
		}
		if errors.Is(err, io.EOF) {
			if !proven {
				return errTruncatedEvent // an answer without events is incomplete
			}
			watch.claim()
			return nil
		}
		if err != nil {
			return err
		}
		if e.comment && !proven {
			if len(early)+len(e.raw) > maxEventBytes {
				return &EventSizeError{maxEventBytes}
			}
			if err := answer.Reserve(int64(len(e.raw))); err != nil {
				return err
			}
			early = append(early, e.raw...)
			continue
		}
		if !e.comment {
			if err := p.check(e, !proven); err != nil {
				return err
			}
			watch.claim()
			proven = true
		}
		if p.events == 0 {
			c.firstMS = time.Since(c.start).Milliseconds()
		}
		if !p.started {
			p.started, p.mediaType = true, mediaType(answer.Header)
			copyHeader(c.w.Header(), answer.Header)
			c.w.WriteHeader(answer.StatusCode)
		}
		if !e.comment {
			c.server.fleet.PrefillDone(inFlight, time.Now())
			watch.noteProgress()
			p.pass(e)
			c.noteBegun()
			c.countUsage(time.Now())
		}
		began := time.Now()
		text := e.raw
		if early != nil {
			text, early = append(early, e.raw...), nil
		}
		if _, err := c.w.Write(text); err != nil {
			return c.notWritten(err)
		}
		if err := controller.Flush(); err != nil {
			return c.notWritten(err)
		}
		watch.noteWriting(time.Since(began))
	}
}
