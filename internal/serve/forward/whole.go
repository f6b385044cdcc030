package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

// silenceFactor is how many goals a request that may run twice waits for an
// instance before another one is asked.
const silenceFactor = 2

// whole is an answer that was read whole.
type whole struct {
	status int
	header http.Header
	body   []byte
	answer dialect.Answer
}

// serveWhole serves a request to a plain service.
func (c *call) serveWhole() {
	var failed *whole // an instance's own failure, passed on when no other succeeds
	for {
		target, err := c.server.fleet.PlaceService(c.endpoint, c.server.settings.Zone, c.excluded, time.Now())
		if err != nil {
			if c.awaitInstance(err) {
				continue
			}
			c.detail = err.Error()
			if failed == nil {
				c.giveUp("no_instance")
				return
			}
			break
		}
		got, outcome, err := c.exchangeWhole(target)
		c.excluded[target.ID] = true
		if got != nil && outcome == placement.Answered {
			c.passWhole(got)
			return
		}
		if got != nil && !got.answer.NotRun {
			failed = got
			if !c.route.Idempotent() {
				break
			}
		}
		if c.ctx.Err() != nil || c.ran >= c.route.MaxAttempts || (c.ran > 0 && !c.route.Idempotent()) || !c.mayResend() {
			if failed == nil {
				c.giveUp(reasonOf(err, got))
				return
			}
			break
		}
	}
	if c.callerGone() {
		c.giveUp("caller_left")
	}
	c.passWhole(failed)
}

func reasonOf(err error, got *whole) string {
	var notSent *upstream.NotSentError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.As(err, &notSent):
		return "no_contact"
	case err != nil:
		return "answer_lost"
	case got != nil && got.answer.NotRun:
		return "endpoint_full"
	default:
		return "bad_answer"
	}
}

var errUnsigned = errors.New("a success without an endpoint's signature, or encoded: not the endpoint's answer")

// exchangeWhole sends the request to an instance and reads its whole answer. The
// answer may be a refusal or a failure of the instance.
func (c *call) exchangeWhole(target placement.Target) (got *whole, outcome placement.Outcome, err error) {
	start := time.Now()
	fleet := c.server.fleet
	fleet.Begin(target.ID)
	outcome = placement.Canceled
	defer func() {
		c.note(target.ID, "run", outcome, start, err)
		fleet.End(target.ID, outcome, time.Since(start), time.Now())
	}()
	ctx, cancel := c.attemptContext()
	defer cancel()
	answer, err := c.server.pool.Send(ctx, target.Address, c.request(dialect.Send{Instance: target.ID, Priority: c.route.Priority}))
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		outcome = c.contactOutcome()
		return nil, outcome, err
	}
	c.arrivals++
	c.ran++ // until the instance denies it
	if err != nil {
		outcome = c.contactOutcome()
		return nil, outcome, err
	}
	defer answer.Close()
	got = &whole{status: answer.StatusCode, header: answer.Header, answer: c.server.dialect.Answer(answer.StatusCode, answer.Header)}
	if got.body, err = answer.ReadAll(maxAnswerBytes); err != nil {
		if got.answer.NotRun {
			c.ran--
		}
		outcome = c.contactOutcome()
		return nil, outcome, err
	}
	outcome, err = c.classify(got)
	return got, outcome, err
}

// classify judges an answer.
func (c *call) classify(got *whole) (placement.Outcome, error) {
	switch {
	case got.answer.NotRun:
		c.ran--
		if got.answer.Moved {
			return placement.Replaced, nil
		}
		return placement.Full, nil
	case got.header.Get("Content-Encoding") != "", got.status < 300 && !got.answer.Signed:
		return placement.Failed, errUnsigned
	case got.status >= http.StatusInternalServerError:
		return placement.Failed, nil
	default:
		return placement.Answered, nil
	}
}

// contactOutcome tells a broken connection from one that was cut from this side.
func (c *call) contactOutcome() placement.Outcome {
	if c.ctx.Err() != nil {
		return placement.Canceled
	}
	return placement.NoContact
}

// attemptContext bounds an attempt of a request that may run twice, so that there
// is time for another instance.
func (c *call) attemptContext() (context.Context, context.CancelFunc) {
	patience := silenceFactor * c.route.Goal
	if c.route.Kind != routes.Safe || c.ran+1 >= c.route.MaxAttempts || patience <= 0 || c.left() < patience+c.route.Goal {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, patience)
}

// passWhole passes an instance's answer on. An answer that is not the endpoint's
// becomes a failure of this system.
func (c *call) passWhole(got *whole) {
	if got.answer.NotRun {
		c.giveUp("endpoint_full")
		return
	}
	if got.header.Get("Content-Encoding") != "" || got.status < 300 && !got.answer.Signed {
		c.fail(http.StatusBadGateway, "bad_answer")
		return
	}
	c.firstMS = time.Since(c.start).Milliseconds()
	c.outcome, c.status = "answered", got.status
	if promises(got.status) {
		// The instance ran the request, so its status must not say otherwise.
		c.fail(http.StatusBadGateway, "endpoint_failed")
		return
	}
	copyHeader(c.w.Header(), got.header)
	c.w.WriteHeader(got.status)
	// A caller that is gone needs no answer.
	_, _ = c.w.Write(got.body)
}

// promises reports whether callers take a status for the word that a request did
// not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
