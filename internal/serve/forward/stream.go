package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/upstream"
)

// maxHandleBytes is the largest accepted answer to a prefill.
const maxHandleBytes = 64 << 10

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
	for {
		containKey, ok := c.admit(&p)
		if !ok {
			return
		}
		prompt := c.prompt(&p)
		prompt.ContainKey = containKey
		plan, err := c.server.fleet.Place(prompt, time.Now())
		if err != nil {
			if c.awaitInstance(err) {
				continue
			}
			c.endUnplaced(err, &p)
			return
		}
		var ended result
		var reason string
		if plan.Prefill == nil {
			ended, reason = c.run(plan, prompt, dialect.KVHandle{}, &p)
			c.excluded[plan.Decode.ID] = true
		} else if !c.arrivals.reservePrefill(time.Now()) {
			c.endUnfinished("retry_budget", &p)
			return
		} else if handle, ok := c.prefill(&plan, prompt); ok {
			ended, reason = c.runPrefilled(plan, prompt, handle, &p)
		} else {
			c.excluded[plan.Prefill.ID] = true
			ended, reason = notRun, "prompt_not_read"
		}
		if ended == finished {
			return
		}
		if !p.resumable() || !c.mayContinue(ended) {
			c.endUnfinished(reason, &p)
			return
		}
	}
}

// maxHandleOffers is the number of decode engines that are offered a KV cache handle. An
// engine that is full does not consume the handle.
const maxHandleOffers = 2

// runPrefilled generates the answer from the KV cache of a finished prefill.
func (c *call) runPrefilled(plan placement.Plan, prompt *placement.Prompt, handle dialect.KVHandle, p *streamProgress) (result, string) {
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
		ended, reason := c.run(plan, prompt, handle, p)
		c.excluded[plan.Decode.ID] = true
		if ended != notRun {
			return ended, reason
		}
		if offers == maxHandleOffers || !c.mayResend() {
			c.server.freeHandle(c.meta.ID, *plan.Prefill, handle)
			return ended, reason
		}
	}
}

// mayContinue reports whether another attempt may follow one that ended, and charges the
// retry budget for it.
func (c *call) mayContinue(ended result) bool {
	if ended == broken && (!c.route.Resumable || c.ran >= c.route.MaxAttempts) {
		return false
	}
	return c.mayResend()
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

// prefill runs the prompt's prefill on a prefill engine. It returns the handle of the KV cache,
// which the decode engine fetches.
func (c *call) prefill(plan *placement.Plan, prompt *placement.Prompt) (handle dialect.KVHandle, ok bool) {
	start := time.Now()
	target := *plan.Prefill
	outcome := placement.Canceled
	var failure error
	inFlight := c.server.fleet.BeginPrompt(target.ID, "", prompt, plan.PrefillTokens, start)
	defer func() {
		c.noteEngine(target, "read", outcome, start, failure, *plan)
		c.server.fleet.EndPrompt(inFlight, outcome, time.Now())
	}()
	send := dialect.SendOptions{Instance: target.ID, ModelEngine: true, PrefillOnly: true, FetchFrom: plan.FetchFrom, Priority: plan.PrefillPriority}
	watch := c.watchSilence(target.ID, prefillSilenceTimeout+estimateFactor*plan.ExpectedTTFT)
	defer watch.stop()
	answer, err := c.send(watch.ctx, target, send)
	if err != nil {
		outcome, failure = watch.outcome(), err
		c.noteLost(target, "read", outcome, false, err)
		return handle, false
	}
	defer answer.Close()
	body, err := answer.ReadAll(maxHandleBytes)
	if err != nil {
		outcome, failure = watch.outcome(), err
		c.noteLost(target, "read", outcome, false, err)
		return handle, false
	}
	c.server.fleet.Progress(target.ID, time.Now())
	reply := c.server.dialect.DecodeAnswer(answer.StatusCode, answer.Header)
	switch {
	case reply.Misdirected:
		outcome = placement.Replaced
		return handle, false
	case reply.NotRun:
		outcome = placement.Full
		return handle, false
	}
	handle, err = c.server.dialect.DecodeHandle(body)
	if answer.StatusCode != http.StatusOK || err != nil {
		outcome, failure = placement.Failed, err
		return handle, false
	}
	outcome = placement.Answered
	c.arrivals.prefillAccepted()
	c.server.fleet.PrefillDone(inFlight, time.Now())
	if c.ctx.Err() != nil {
		c.server.freeHandle(c.meta.ID, target, handle)
		return handle, false
	}
	return handle, true
}

// freeTimeout limits the request that frees a handle. If it fails, the engine frees the
// handle later by itself.
const freeTimeout = time.Second

// freeHandle frees a KV cache handle that no engine will fetch, for a request.
func (s *Server) freeHandle(requestID string, target placement.Target, handle dialect.KVHandle) {
	if !s.fleet.TakePermit(target, time.Now()) {
		s.logger.Info("handle not freed", "id", requestID, "instance", target.ID, "handle", handle.ID, "reason", "the instance takes no request now")
		return
	}
	method, path := s.dialect.Free(handle)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		sentAt := time.Now()
		answer, err := s.pool.Send(ctx, target.Address, &upstream.Request{Method: method, Target: path, Host: target.Address, Header: http.Header{}})
		if err != nil {
			s.logger.Info("handle not freed", "id", requestID, "instance", target.ID, "handle", handle.ID, "err", err)
			return
		}
		defer answer.Close()
		if decoded := s.dialect.DecodeAnswer(answer.StatusCode, answer.Header); trustworthy(answer.StatusCode, decoded, true) {
			s.hear(requestID, target, decoded.Notice, sentAt)
		}
		if _, err := answer.ReadAll(maxHandleBytes); err != nil {
			s.logger.Info("handle not freed", "id", requestID, "instance", target.ID, "handle", handle.ID, "err", err)
		}
	}()
}

// run sends the request to the decode engine and passes its events on.
func (c *call) run(plan placement.Plan, prompt *placement.Prompt, handle dialect.KVHandle, p *streamProgress) (result, string) {
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
		c.server.fleet.EndPrompt(inFlight, outcome, time.Now())
	}()
	send := dialect.SendOptions{Instance: plan.Decode.ID, ModelEngine: true, KVSource: source, FetchFrom: plan.FetchFrom, LastEventID: p.lastID, Priority: c.priority()}
	timeout := time.Duration(0) // wait for a stream that cannot be resumed elsewhere
	if c.route.Resumable && c.ran+1 < c.route.MaxAttempts {
		timeout = generateSilenceTimeout + estimateFactor*plan.ExpectedTTFT
	}
	watch := c.watchSilence(plan.Decode.ID, timeout)
	defer watch.stop()
	defer c.server.quarantine.Sent(c.suspect, watch.withdraw)()
	answer, err := c.send(watch.ctx, plan.Decode, send)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		outcome, failure = watch.outcome(), err
		return notRun, "no_contact"
	}
	c.ran++ // undone if the instance says that it did not run
	if err != nil {
		outcome, failure = watch.outcome(), err
		c.noteLost(plan.Decode, step, outcome, false, err)
		return broken, watch.failureReason(err)
	}
	defer answer.Close()
	if answer.StatusCode != http.StatusOK || answer.Header.Get("Content-Encoding") != "" {
		ended, classified := c.passNonStream(answer, p)
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
	if errors.As(err, &bad) {
		outcome, failure = placement.Failed, err
		return broken, "bad_answer"
	}
	outcome, failure = watch.outcome(), err
	c.noteLost(plan.Decode, step, outcome, p.events > eventsBefore, err)
	return broken, watch.failureReason(err)
}

// passNonStream handles an answer that is not a stream, such as a refusal. It is passed on
// unless the request did not run, the stream has begun, or another attempt may succeed.
func (c *call) passNonStream(answer *upstream.Answer, p *streamProgress) (result, placement.Outcome) {
	got := &wholeAnswer{status: answer.StatusCode, header: answer.Header, answer: c.server.dialect.DecodeAnswer(answer.StatusCode, answer.Header)}
	var err error
	if got.body, err = answer.ReadAll(maxAnswerBytes); err != nil && !got.answer.NotRun {
		return broken, c.contactOutcome()
	}
	outcome, err := c.classify(got)
	switch {
	case got.answer.NotRun:
		return notRun, outcome
	case err != nil, p.started, c.route.Resumable && got.status >= http.StatusInternalServerError && c.remaining() > 0:
		return broken, outcome
	}
	c.passWhole(got)
	return finished, outcome
}

// passEvents forwards the events of an answer as they arrive, until its end.
func (c *call) passEvents(answer *upstream.Answer, inFlight *placement.InFlight, p *streamProgress, watch *silenceWatch) error {
	controller := http.NewResponseController(c.w)
	events := newEventReader(answer)
	proven := false  // an event shows that the answer goes on where the caller is
	var early []byte // comments before that event
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if !proven {
				return errTruncatedEvent // an answer without events is incomplete
			}
			return nil
		}
		if err != nil {
			return err
		}
		if e.comment && !proven {
			if early = append(early, e.raw...); len(early) > maxEventBytes {
				return &EventSizeError{maxEventBytes}
			}
			continue
		}
		if !e.comment {
			if err := p.check(e, !proven); err != nil {
				return err
			}
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
		if _, err := c.w.Write(append(early, e.raw...)); err != nil {
			return err
		}
		early = nil
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}
