package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/network/httpanswer"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

// attemptTimeoutGoals is how long a safe request waits for an instance before it is also sent to
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
	got, end := c.answerWhole(&generation{ctx: c.ctx, leads: true})
	if got == nil {
		end()
		return
	}
	c.passWhole(got)
}

// answerWhole makes attempts, one after the other, until an instance has answered or no other attempt may
// follow. It then returns what ends the call.
func (c *call) answerWhole(g *generation) (answered *wholeAnswer, end func()) {
	for {
		containKey, refused := c.admit(g.ctx, !g.leads)
		if refused != nil {
			return nil, func() { c.endSuspect(*refused, &streamProgress{}) }
		}
		target, err := c.placeWhole(containKey)
		if err != nil {
			if g.leads && c.awaitInstance(err) {
				continue
			}
			return nil, func() { c.endWhole(g, c.noteUnplaced(err)) }
		}
		got, outcome, err := c.exchangeWhole(g, target, containKey)
		c.excluded[target.ID] = true
		if containKey != "" && outcome == placement.NoContact {
			c.server.quarantine.Unexplained(c.suspect, time.Now())
		}
		if got != nil && outcome == placement.Answered {
			return got, nil
		}
		if got != nil && !got.answer.NotRun {
			g.failed = got
		}
		if g.failed != nil && !c.route.Idempotent() || g.ctx.Err() != nil || c.ran >= c.route.MaxAttempts ||
			(c.ran > 0 && !c.route.Idempotent()) || !c.mayResend(g.ctx) {
			return nil, func() { c.endWhole(g, failureReason(err, got)) }
		}
	}
}

// endWhole ends a call that no instance has answered, with an instance's error if there is one.
func (c *call) endWhole(g *generation, reason string) {
	if g.failed == nil {
		c.giveUp(reason)
		return
	}
	if c.callerGone() {
		c.giveUp("caller_left")
	}
	c.passWhole(g.failed)
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
	var notWritten *callerWriteError
	switch {
	case errors.As(err, &notWritten):
		return "caller_not_written"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.As(err, &notSent):
		return "no_contact"
	case httpanswer.ReasonOf(err) != "":
		return "bad_answer"
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
// a refusal or an error. If the instance is silent, it also waits for the takeover, whose answer
// it returns if that came first.
func (c *call) exchangeWhole(g *generation, target placement.Target, containKey string) (*wholeAnswer, placement.Outcome, error) {
	watch := c.watchSilence(g, target, c.attemptTimeout())
	watch.contained = containKey != ""
	got, outcome, err := c.exchangeOnce(watch, target)
	watch.stop()
	other := watch.takeover
	if other == nil {
		return got, outcome, err
	}
	if outcome == placement.Answered {
		other.cancel()
	}
	c.unlocked(func() { <-other.done })
	switch {
	case outcome == placement.Answered:
	case other.answered != nil:
		return other.answered, placement.Answered, nil
	case got == nil && other.failed != nil:
		return other.failed, placement.Failed, nil
	}
	return got, outcome, err
}

// exchangeOnce is one attempt of exchangeWhole.
func (c *call) exchangeOnce(watch *silenceWatch, target placement.Target) (got *wholeAnswer, outcome placement.Outcome, err error) {
	start := time.Now()
	fleet := c.server.fleet
	fleet.Begin(target.ID)
	outcome = placement.Canceled
	defer func() {
		c.note(target, "run", outcome, start, err)
		fleet.End(target.ID, watch.unrecorded(outcome), time.Since(start), time.Now())
	}()
	defer c.server.quarantine.Sent(c.suspect, watch.withdraw)()
	c.ran++ // undone if it was not sent, or if the instance says that it did not run
	answer, err := c.send(watch.ctx, target, dialect.SendOptions{Instance: target.ID, Priority: c.priority()})
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		c.ran--
		outcome = watch.wholeOutcome()
		return nil, outcome, err
	}
	if err != nil {
		outcome = watch.wholeOutcome()
		c.noteLost(watch.generation.ctx, target, "run", outcome, false, err)
		return nil, outcome, err
	}
	defer answer.Close()
	got = &wholeAnswer{status: answer.StatusCode, header: answer.Header, answer: c.server.dialect.DecodeAnswer(answer.StatusCode, answer.Header)}
	if got.body, err = c.readWhole(answer); err != nil {
		if got.answer.NotRun {
			c.ran--
		}
		outcome = watch.wholeOutcome()
		c.noteLost(watch.generation.ctx, target, "run", outcome, got.answer.NotRun, err)
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

// wholeOutcome returns why an attempt at a plain service has ended without an answer: it distinguishes a broken
// connection from one that this host closed.
func (s *silenceWatch) wholeOutcome() placement.Outcome {
	switch {
	case s.takenOver:
		return placement.Silent
	case s.withdrawn, s.generation.ctx.Err() != nil:
		return placement.Canceled
	}
	return placement.NoContact
}

// attemptTimeout returns how long an attempt of a safe request waits before another one runs beside it, 0 for no
// limit: there must be time for both.
func (c *call) attemptTimeout() time.Duration {
	timeout := attemptTimeoutGoals * c.route.Goal
	if c.route.Kind != routes.Safe || c.ran+1 >= c.route.MaxAttempts || timeout <= 0 || c.remaining() < timeout+c.route.Goal {
		return 0
	}
	return timeout
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
