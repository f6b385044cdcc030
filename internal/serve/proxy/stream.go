package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"filberthook/internal/process/pause"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/retry"
)

// stream passes one streamed answer on to its caller, over several attempts if it breaks.
type stream struct {
	proxy     *Proxy
	call      *call.Call
	out       *eventWriter
	delivered int  // output tokens passed on; the next attempt resumes after them
	finished  bool // the last chunk of the answer was passed on
	breaks    int  // number of times that the stream broke after its first event
	times     tokenTimes
}

// serveStream streams an answer.
func (p *Proxy) serveStream(w http.ResponseWriter, r *http.Request, c *call.Call) {
	s := &stream{
		proxy:     p,
		call:      c,
		out:       newEventWriter(w),
		delivered: c.Delivered,
	}
	var exclude []string
	for attempts := 1; ; attempts++ {
		f := s.attempt(r, exclude)
		if f == nil {
			s.times.observeEnd(p.latency, c)
			c.Answered()
			return
		}
		if refusal := s.resumeOrRefuse(r.Context(), f, attempts); refusal != nil {
			s.refuse(w, refusal)
			return
		}
		exclude = excluded(exclude, f)
	}
}

// resumeOrRefuse decides whether the stream is resumed. If so it waits for the retry delay
// and returns nil, otherwise it returns the refusal that ends the call.
func (s *stream) resumeOrRefuse(ctx context.Context, f *failure, attempts int) *request.Refusal {
	if !s.out.began || f.final {
		return s.proxy.retryOrRefuse(ctx, s.call, f, attempts)
	}
	s.breaks++
	verdict := s.proxy.policy(s.call).Resume(s.breaks, s.call.Left(), rand.Float64())
	if !verdict.Again && verdict.Denied == retry.DeniedBudget {
		s.call.Counters.Retried(request.RetryDenied)
	}
	if !verdict.Again || ctx.Err() != nil || !pause.For(ctx, verdict.Delay) {
		return s.finalRefusal(ctx, f)
	}
	s.call.Counters.Retried(request.RetryResume)
	return nil
}

// finalRefusal returns the refusal that ends a broken stream.
func (s *stream) finalRefusal(ctx context.Context, f *failure) *request.Refusal {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return s.proxy.callerGone(s.call)
	case stopped(ctx):
		return request.Refuse(request.StreamBroken, "this host stopped after %d tokens", s.delivered)
	case s.call.Left() <= 0:
		return s.proxy.deadlinePassed(s.call)
	default:
		return request.Refuse(request.StreamBroken, "the stream broke after %d tokens", s.delivered).WithCause(f.err)
	}
}

// refuse ends an incomplete stream, with an ordinary refusal if nothing was written yet,
// otherwise with an error event.
func (s *stream) refuse(w http.ResponseWriter, refusal *request.Refusal) {
	if !s.out.began {
		s.call.Refuse(w, refusal)
		return
	}
	s.call.End(refusal)
	_ = s.out.failure(s.call.RefusalJSON(refusal))
}

var (
	errNoChunk    = errors.New("an event of the stream is no part of an answer")
	errEndedEarly = errors.New("the stream ended before its last chunk")
)

// attempt streams from one instance. It returns nil when the answer is complete.
func (s *stream) attempt(r *http.Request, exclude []string) *failure {
	a, f := s.proxy.begin(r.Context(), r, attemptOptions{exclude: exclude, resumeFrom: s.delivered})
	if f != nil {
		return f
	}
	defer a.end()
	if a.resp.StatusCode != http.StatusOK {
		return a.failure(request.RetryStatus, errors.New(a.resp.Status))
	}
	a.watch.noteEvent()
	cfg := &sse.ReadConfig{MaxEventSize: s.proxy.settings.MaxEventBytes}
	for event, err := range sse.Read(a.resp.Body, cfg) {
		if err != nil && s.finished {
			return s.finish()
		}
		if err != nil {
			return a.failure(request.RetryBroken, err)
		}
		a.watch.noteEvent()
		switch {
		case event.Data == "" && event.Type != errorType:
			continue
		case s.finished && (event.Type == errorType || kindOfChunk(event.Data) != chunkUsage):
			return s.finish()
		case event.Type == errorType || event.Data == streamEnd:
			return a.failure(request.RetryBroken, errEndedEarly)
		}
		if f := s.forwardEvent(a, event.Data); f != nil {
			return f
		}
	}
	if s.finished {
		return s.finish()
	}
	return a.failure(request.RetryBroken, errEndedEarly)
}

// forwardEvent writes one event of the open attempt.
func (s *stream) forwardEvent(a *attempt, data string) *failure {
	if !s.call.Request.Accepts(a.id) {
		s.call.Counters.Dropped(request.DropLate)
		return a.failure(request.RetryCrossed, errors.New("the attempt is no longer open"))
	}
	kind := kindOfChunk(data)
	if kind == chunkUnknown {
		return a.failure(request.RetryBroken, errNoChunk)
	}
	s.call.Request.Stream()
	if kind != chunkToken {
		s.finished = s.finished || kind == chunkLast
		return s.writeFailure(s.out.plain(data))
	}
	if err := s.out.token(s.delivered+1, data); err != nil {
		return s.writeFailure(err)
	}
	s.delivered++
	s.times.observeToken(s.proxy.latency, s.call)
	s.call.OutputTokens.Add(1)
	return nil
}

// finish writes the event that ends a complete answer.
func (s *stream) finish() *failure {
	s.proxy.sched.AnswerLength(s.call.Team, s.call.Endpoint.Name, s.delivered)
	return s.writeFailure(s.out.plain(streamEnd))
}

// writeFailure returns a final failure for an error of writing to the caller.
func (s *stream) writeFailure(err error) *failure {
	if err == nil {
		return nil
	}
	return &failure{final: true, refusal: s.proxy.undelivered(s.call, err), err: err}
}
