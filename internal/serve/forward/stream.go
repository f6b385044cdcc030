package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/upstream"
)

// maxHandleBytes bounds the answer to a prefill.
const maxHandleBytes = 64 << 10

// progress is what the caller has of its stream.
type progress struct {
	started bool   // the header was sent
	lastID  string // of the last event that was passed on
	events  int
}

// result is how a run of a stream ended.
type result uint8

const (
	finished result = iota // the caller has its final answer
	notRun                 // the instance did not run the request
	broken                 // it may have run and did not end
)

// serveStream serves a generation: it has the prompt read, passes the events on, and
// goes on at another instance after a break where the route allows it.
func (c *call) serveStream() {
	var p progress
	for {
		prompt := c.prompt(&p)
		plan, err := c.server.fleet.Place(prompt, time.Now())
		if err != nil {
			if c.awaitInstance(err) {
				continue
			}
			c.notPlaced(err, &p)
			return
		}
		var ended result
		var reason string
		if plan.Prefill == nil {
			ended, reason = c.run(plan, prompt, dialect.Handle{}, &p)
			c.excluded[plan.Decode.ID] = true
		} else if handle, ok := c.readApart(&plan, prompt); ok {
			ended, reason = c.runRead(plan, prompt, handle, &p)
		} else {
			c.excluded[plan.Prefill.ID] = true
			ended, reason = notRun, "prompt_not_read"
		}
		if ended == finished {
			return
		}
		if !c.mayGoOn(ended) {
			c.endUnfinished(reason, &p)
			return
		}
	}
}

// runsOfHandle is how many engines are offered a prompt that was read: one that is full
// has not taken the handle.
const runsOfHandle = 2

// runRead has the answer to a prompt that was read generated.
func (c *call) runRead(plan placement.Plan, prompt *placement.Prompt, handle dialect.Handle, p *progress) (result, string) {
	plan.PrefillTokens, plan.FetchFrom = 0, ""
	for offers := 1; ; offers++ {
		var err error
		if plan.Decode, err = c.server.fleet.PlaceDecode(prompt, plan.Prefill.Zone, time.Now()); err != nil {
			c.server.free(*plan.Prefill, handle)
			c.detail = err.Error()
			return notRun, "no_instance"
		}
		ended, reason := c.run(plan, prompt, handle, p)
		c.excluded[plan.Decode.ID] = true
		if ended != notRun || offers == runsOfHandle || !c.mayResend() {
			return ended, reason
		}
	}
}

// mayGoOn reports whether a run that ended may be followed by another, and charges
// the budget for it.
func (c *call) mayGoOn(ended result) bool {
	if ended == broken && (!c.route.Resumable || c.ran >= c.route.MaxAttempts) {
		return false
	}
	return c.mayResend()
}

// prompt describes the request to placement. A stream that has begun is never hopeless:
// its caller waits for the rest.
func (c *call) prompt(p *progress) *placement.Prompt {
	prompt := &placement.Prompt{
		Endpoint: c.endpoint, Model: c.meta.Model, Parts: c.meta.Parts, Tokens: c.meta.PromptTokens,
		OutputTokens: c.expectedOutput(), SingleEngine: !c.route.PromptMetadata, Excluded: c.excluded,
	}
	if !p.started {
		prompt.Goal, prompt.TimeLeft = c.route.Goal, min(c.left(), c.patience())
	}
	return prompt
}

// hintlessShare of the most output is expected of callers that give no hint.
const hintlessShare = 0.25

func (c *call) expectedOutput() int {
	if c.meta.LengthHint > 0 {
		return c.meta.LengthHint
	}
	return int(hintlessShare * float64(c.meta.OutputTokens))
}

// Callers abandon a stream without a first event after the longest of these.
const (
	minPatience    = 2 * time.Second
	goalPatience   = 4 // times the goal
	pausesPatience = 8 // times the longest pause between events
)

// patience returns how long the caller waits for the first event from now on.
func (c *call) patience() time.Duration {
	all := max(minPatience, goalPatience*c.route.Goal, pausesPatience*c.route.GapGoal)
	return all - time.Since(c.start)
}

// notPlaced ends a call for which there is no engine.
func (c *call) notPlaced(err error, p *progress) {
	c.detail = err.Error()
	var hopeless *placement.HopelessError
	if errors.As(err, &hopeless) && c.ran == 0 {
		c.refuse("hopeless", max(hopeless.RetryAfter(), c.returnAfter()))
		return
	}
	c.endUnfinished("no_instance", p)
}

// endUnfinished ends a call whose stream did not end. A stream that has begun is
// broken off, so that it does not look complete.
func (c *call) endUnfinished(reason string, p *progress) {
	if !p.started {
		c.giveUp(reason)
		return
	}
	c.outcome, c.reason = "broken_off", reason
	if c.callerGone() {
		c.outcome = "caller_left"
	}
	panic(http.ErrAbortHandler)
}

// readApart has a prefill engine read the prompt. It returns the handle of the KV
// cache that the generating engine takes.
func (c *call) readApart(plan *placement.Plan, prompt *placement.Prompt) (handle dialect.Handle, ok bool) {
	start := time.Now()
	target := *plan.Prefill
	outcome := placement.Canceled
	var failure error
	reading := c.server.fleet.BeginPrompt(target.ID, "", prompt, plan.PrefillTokens, start)
	defer func() {
		c.notePrompt(target.ID, "read", outcome, start, failure, *plan)
		c.server.fleet.EndPrompt(reading, outcome, time.Now())
	}()
	send := dialect.Send{Instance: target.ID, Model: true, Prefill: true, Fetch: plan.FetchFrom, Priority: plan.PrefillPriority()}
	watch := c.watchSilence(target.ID, readPatience+patienceFactor*plan.ExpectedTTFT)
	defer watch.stop()
	answer, err := c.server.pool.Send(watch.ctx, target.Address, c.request(send))
	if err != nil {
		outcome, failure = watch.outcome(), err
		var lost *upstream.LostError
		if errors.As(err, &lost) {
			c.arrivals++
		}
		return handle, false
	}
	c.arrivals++
	defer answer.Close()
	body, err := answer.ReadAll(maxHandleBytes)
	if err != nil {
		outcome, failure = watch.outcome(), err
		return handle, false
	}
	c.server.fleet.Progress(target.ID, time.Now())
	said := c.server.dialect.Answer(answer.StatusCode, answer.Header)
	switch {
	case said.Moved:
		outcome = placement.Replaced
		return handle, false
	case said.NotRun:
		outcome = placement.Full
		return handle, false
	}
	handle, err = c.server.dialect.Handle(body)
	if answer.StatusCode != http.StatusOK || err != nil {
		outcome, failure = placement.Failed, err
		return handle, false
	}
	outcome = placement.Answered
	c.server.fleet.PrefillDone(reading, time.Now())
	if c.ctx.Err() != nil {
		c.server.free(target, handle)
		return handle, false
	}
	return handle, true
}

// freeTimeout bounds the call that frees a handle; its engine frees it anyway.
const freeTimeout = time.Second

// free frees a handle that nobody will take.
func (s *Server) free(target placement.Target, handle dialect.Handle) {
	method, path := s.dialect.Free(handle)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		answer, err := s.pool.Send(ctx, target.Address, &upstream.Request{Method: method, Target: path, Host: target.Address, Header: http.Header{}})
		if err != nil {
			s.logger.Info("handle not freed", "instance", target.ID, "handle", handle.ID, "err", err)
			return
		}
		defer answer.Close()
		if _, err := answer.ReadAll(maxHandleBytes); err != nil {
			s.logger.Info("handle not freed", "instance", target.ID, "handle", handle.ID, "err", err)
		}
	}()
}

// run sends the request to the engine that generates and passes its events on.
func (c *call) run(plan placement.Plan, prompt *placement.Prompt, handle dialect.Handle, p *progress) (result, string) {
	start := time.Now()
	outcome := placement.Canceled
	var failure error
	reader, source := "", ""
	if plan.Prefill != nil {
		reader, source = plan.Prefill.ID, c.server.dialect.Source(plan.Prefill.Address, handle)
	}
	reading := c.server.fleet.BeginPrompt(plan.Decode.ID, reader, prompt, plan.PrefillTokens, start)
	step := "run"
	if p.started {
		step = "resume"
	}
	defer func() {
		c.notePrompt(plan.Decode.ID, step, outcome, start, failure, plan)
		c.server.fleet.EndPrompt(reading, outcome, time.Now())
	}()
	send := dialect.Send{Instance: plan.Decode.ID, Model: true, Source: source, Fetch: plan.FetchFrom, LastEventID: p.lastID, Priority: c.route.Priority}
	patience := time.Duration(0) // a stream that cannot go on elsewhere is waited for
	if c.route.Resumable && c.ran+1 < c.route.MaxAttempts {
		patience = runPatience + patienceFactor*plan.ExpectedTTFT
	}
	watch := c.watchSilence(plan.Decode.ID, patience)
	defer watch.stop()
	answer, err := c.server.pool.Send(watch.ctx, plan.Decode.Address, c.request(send))
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		outcome, failure = watch.outcome(), err
		return notRun, "no_contact"
	}
	c.arrivals++
	c.ran++ // until the instance denies it
	if err != nil {
		outcome, failure = watch.outcome(), err
		return broken, reasonOf(err, nil)
	}
	defer answer.Close()
	if answer.StatusCode != http.StatusOK || answer.Header.Get("Content-Encoding") != "" {
		ended, judged := c.passRefusal(answer, p)
		outcome = judged
		return ended, "endpoint_refused"
	}
	if err = c.passEvents(answer, reading, p, watch); err == nil {
		outcome = placement.Answered
		c.outcome, c.status = "answered", answer.StatusCode
		return finished, ""
	}
	outcome, failure = watch.outcome(), err
	return broken, reasonOf(err, nil)
}

// passRefusal takes an answer that is no stream. It is the caller's final answer
// unless the instance did not run the request, or the stream has begun.
func (c *call) passRefusal(answer *upstream.Answer, p *progress) (result, placement.Outcome) {
	got := &whole{status: answer.StatusCode, header: answer.Header, answer: c.server.dialect.Answer(answer.StatusCode, answer.Header)}
	var err error
	if got.body, err = answer.ReadAll(maxAnswerBytes); err != nil && !got.answer.NotRun {
		return broken, c.contactOutcome()
	}
	outcome, err := c.classify(got)
	switch {
	case got.answer.NotRun:
		return notRun, outcome
	case err != nil, p.started, c.route.Resumable && got.status >= http.StatusInternalServerError && c.left() > 0:
		return broken, outcome
	}
	c.passWhole(got)
	return finished, outcome
}

// passEvents passes the events of an answer on as they arrive, until its end.
func (c *call) passEvents(answer *upstream.Answer, reading *placement.InFlight, p *progress, watch *silence) error {
	controller := http.NewResponseController(c.w)
	events := newEventReader(answer)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if !p.started {
				return errTornEvent // a stream without events is not complete
			}
			return nil
		}
		if err != nil {
			return err
		}
		if p.events == 0 {
			c.firstMS = time.Since(c.start).Milliseconds()
		}
		if !p.started {
			p.started = true
			copyHeader(c.w.Header(), answer.Header)
			c.w.WriteHeader(answer.StatusCode)
		}
		c.server.fleet.PrefillDone(reading, time.Now())
		watch.progress()
		p.events++
		if e.id != "" {
			p.lastID = e.id
		}
		if _, err := c.w.Write(e.raw); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}
