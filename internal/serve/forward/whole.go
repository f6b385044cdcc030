package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

// attemptTimeoutGoals is how long a safe request waits for an instance before it is sent to
// another one, in multiples of the route's goal.
const attemptTimeoutGoals = 2

// wholeAnswer is an answer whose body was read completely.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	answer dialect.Answer
}

// serveWhole serves a request to a plain service.
func (c *call) serveWhole() {
	var failed *wholeAnswer // an instance's error answer, passed on if no other instance succeeds
	for {
		containKey, ok := c.admit(&streamProgress{})
		if !ok {
			return
		}
		target, err := c.placeWhole(containKey)
		if err != nil {
			if c.awaitInstance(err) {
				continue
			}
			reason := c.noteUnplaced(err)
			if failed == nil {
				c.giveUp(reason)
				return
			}
			break
		}
		got, outcome, err := c.exchangeWhole(target)
		c.excluded[target.ID] = true
		if containKey != "" && outcome == placement.NoContact {
			c.server.quarantine.Unexplained(c.suspect, time.Now())
		}
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
				c.giveUp(failureReason(err, got))
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

// placeWhole picks the instance; a contained request goes to the same one as all others with its key.
func (c *call) placeWhole(containKey string) (placement.Target, error) {
	if containKey == "" {
		return c.server.fleet.PlaceService(c.endpoint, c.server.settings.Zone, c.excluded, time.Now())
	}
	return c.server.fleet.PlaceContained(c.endpoint, containKey, c.excluded, c.server.quarantine.HasEnded, time.Now())
}

func failureReason(err error, got *wholeAnswer) string {
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

var errUnsigned = errors.New("answer lacks the endpoint's signature or has a content encoding, so it is not the endpoint's")

// exchangeWhole sends the request to an instance and reads its whole answer, which may be
// a refusal or an error.
func (c *call) exchangeWhole(target placement.Target) (got *wholeAnswer, outcome placement.Outcome, err error) {
	start := time.Now()
	fleet := c.server.fleet
	fleet.Begin(target.ID)
	outcome = placement.Canceled
	defer func() {
		c.note(target, "run", outcome, start, err)
		fleet.End(target.ID, outcome, time.Since(start), time.Now())
	}()
	ctx, cancel := c.attemptContext()
	defer cancel()
	withdrawn := make(chan struct{})
	defer c.server.quarantine.Sent(c.suspect, func() { close(withdrawn); cancel() })()
	answer, err := c.send(ctx, target, dialect.SendOptions{Instance: target.ID, Priority: c.priority()})
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		outcome = c.contactOutcome()
		return nil, outcome, err
	}
	c.ran++ // undone if the instance says that it did not run
	if err != nil {
		outcome = c.lostOutcome(withdrawn)
		c.noteLost(target, "run", outcome, false, err)
		return nil, outcome, err
	}
	defer answer.Close()
	got = &wholeAnswer{status: answer.StatusCode, header: answer.Header, answer: c.server.dialect.DecodeAnswer(answer.StatusCode, answer.Header)}
	if got.body, err = answer.ReadAll(maxAnswerBytes); err != nil {
		if got.answer.NotRun {
			c.ran--
		}
		outcome = c.lostOutcome(withdrawn)
		c.noteLost(target, "run", outcome, got.answer.NotRun, err)
		return nil, outcome, err
	}
	if outcome, err = c.classify(got); outcome == placement.Answered {
		c.countUsage(start)
		c.noteBegun() // a failure is no proof that the request is sound: instances fail some they never ran
	}
	return got, outcome, err
}

// classify returns the outcome of an attempt from its answer. If the instance did not run
// the request, it removes the attempt from c.ran, the count of attempts that may have run it.
func (c *call) classify(got *wholeAnswer) (placement.Outcome, error) {
	switch {
	case got.answer.NotRun:
		c.ran--
		if got.answer.Misdirected {
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

// contactOutcome distinguishes a broken connection from one that this host closed.
func (c *call) contactOutcome() placement.Outcome {
	if c.ctx.Err() != nil {
		return placement.Canceled
	}
	return placement.NoContact
}

// lostOutcome is contactOutcome of an attempt that may have been withdrawn from its instance.
func (c *call) lostOutcome(withdrawn <-chan struct{}) placement.Outcome {
	select {
	case <-withdrawn:
		return placement.Canceled
	default:
		return c.contactOutcome()
	}
}

// attemptContext limits an attempt of a safe request, so that there is time to try another
// instance.
func (c *call) attemptContext() (context.Context, context.CancelFunc) {
	timeout := attemptTimeoutGoals * c.route.Goal
	if c.route.Kind != routes.Safe || c.ran+1 >= c.route.MaxAttempts || timeout <= 0 || c.remaining() < timeout+c.route.Goal {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, timeout)
}

// passWhole passes an instance's answer on. An answer that is not the endpoint's is
// replaced by 502.
func (c *call) passWhole(got *wholeAnswer) {
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
	if impliesNotRun(got.status) {
		// The instance ran the request, so the caller must not get a status that denies it.
		c.fail(http.StatusBadGateway, "endpoint_failed")
		return
	}
	copyHeader(c.w.Header(), got.header)
	if len(got.body) > 0 { // answers to HEAD have none and tell the length of another
		c.w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	c.w.WriteHeader(got.status)
	// Ignore the error: the caller has disconnected.
	_, _ = c.w.Write(got.body)
}

// impliesNotRun reports whether callers take the status to mean that the request did not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
