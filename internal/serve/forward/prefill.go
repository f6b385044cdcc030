package forward

import (
	"context"
	"net/http"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/upstream"
)

// maxHandleBytes is the largest accepted answer to a prefill.
const maxHandleBytes = 64 << 10

// prefill runs the prompt's prefill on a prefill engine. It returns the handle of the KV cache,
// which the decode engine fetches.
func (c *call) prefill(g *generation, plan *placement.Plan, prompt *placement.Prompt) (handle dialect.KVHandle, ok bool) {
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
	watch := c.watchSilence(g, target, prefillSilenceTimeout+estimateFactor*plan.ExpectedTTFT)
	watch.cancels = true
	defer watch.stop()
	answer, err := c.send(watch.ctx, target, send)
	if err != nil {
		outcome, failure = watch.outcome(), err
		c.noteLost(g.ctx, target, "read", outcome, false, err)
		return handle, false
	}
	defer answer.Close()
	body, err := c.readAll(answer, maxHandleBytes)
	if err != nil {
		outcome, failure = watch.outcome(), err
		c.noteLost(g.ctx, target, "read", outcome, false, err)
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
	if g.ctx.Err() != nil {
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
