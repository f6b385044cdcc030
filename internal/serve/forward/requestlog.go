package forward

import (
	"time"

	"filberthook/internal/engines/placement"
	"filberthook/internal/serve/caller"
)

// maxAnsweredLinesPerSecond limits the log lines of requests without failures: five
// times the request rate of a host in a large deployment. All other requests are logged.
const maxAnsweredLinesPerSecond = 100

// attempt is one entry of the attribute "attempts" in the request's log line.
type attempt struct {
	Instance string  `json:"instance"`
	Step     string  `json:"step"` // run, read (a separate prefill) or resume
	Outcome  string  `json:"outcome"`
	MS       int64   `json:"ms"`
	Tokens   int     `json:"tokens,omitempty"`   // expected tokens to prefill
	Expected int64   `json:"expected,omitempty"` // estimated ms to the first token
	Fetch    string  `json:"fetch,omitempty"`    // engine that the shared prefix is fetched from
	Limit    float64 `json:"limit,omitempty"`    // requests per second that the instance takes, as known when the attempt ended
	Err      string  `json:"err,omitempty"`      // cause of a failure
}

// note records an attempt.
func (c *call) note(target placement.Target, step string, o placement.Outcome, since time.Time, err error) {
	a := attempt{Instance: target.ID, Step: step, Limit: c.server.fleet.Limit(target), Outcome: o.String(), MS: time.Since(since).Milliseconds()}
	if err != nil {
		a.Err = err.Error()
	}
	c.attempts = append(c.attempts, a)
}

// noteEngine records an attempt at a model engine, with the estimates of its placement.
func (c *call) noteEngine(target placement.Target, step string, o placement.Outcome, since time.Time, err error, plan placement.Plan) {
	c.note(target, step, o, since, err)
	last := &c.attempts[len(c.attempts)-1]
	last.Tokens, last.Expected, last.Fetch = plan.PrefillTokens, plan.ExpectedTTFT.Milliseconds(), plan.FetchFrom
}

// finish updates the metrics and logs the request.
func (c *call) finish() {
	c.arrivals.settle()
	c.releaseMemory()
	if c.suspect != nil { // nil if the body was not read
		c.server.quarantine.Done(c.suspect)
	}
	elapsed := time.Since(c.start)
	if c.outcome == "" {
		c.outcome = "cut"
	}
	kind := c.route.Kind.String()
	c.server.count(kind, c.outcome)
	c.server.metrics.GetOrCreateHistogram(`filberthook_entry_request_seconds{kind="` + kind + `"}`).Update(elapsed.Seconds())
	if c.firstMS > 0 {
		c.server.metrics.GetOrCreateHistogram(`filberthook_entry_first_event_seconds{kind="` + kind + `"}`).Update(float64(c.firstMS) / 1000)
	}
	for _, a := range c.attempts {
		c.server.metrics.GetOrCreateCounter(`filberthook_entry_attempts_total{step="` + a.Step + `",outcome="` + a.Outcome + `"}`).Inc()
	}
	if c.reason != "" {
		c.server.metrics.GetOrCreateCounter(`filberthook_entry_refusals_total{reason="` + c.reason + `"}`).Inc()
	}
	c.countDeparture(time.Now())
	if c.hadNoFailure() {
		keep, leftOut := c.server.answered.Allow(time.Now())
		if leftOut > 0 {
			c.server.logger.Info("lines of answered requests left out", "lines", leftOut, "per_second", maxAnsweredLinesPerSecond)
		}
		if !keep {
			return
		}
	}
	c.log(elapsed)
}

// hadNoFailure reports whether the request was answered without a failed attempt.
func (c *call) hadNoFailure() bool {
	if !answered(c.outcome) {
		return false
	}
	for _, a := range c.attempts {
		if a.Outcome != placement.Answered.String() {
			return false
		}
	}
	return true
}

func answered(outcome string) bool { return outcome == "answered" }

func (c *call) log(elapsed time.Duration) {
	view := c.server.view.Snapshot()
	line := []any{"id", c.meta.ID, "route", c.route.Name, "kind", c.route.Kind.String(), "endpoint", c.endpoint,
		"config", c.version, "view", view.Number, "view_age_ms", time.Since(view.At).Milliseconds(),
		"tokens", c.meta.PromptTokens, "blocks", c.sharedBlocks(), "identity", c.identity, "attempts", c.attempts, "outcome", c.outcome, "status", c.status,
		"reason", c.reason, "detail", c.detail, "first_ms", c.firstMS, "ms", elapsed.Milliseconds()}
	if !answered(c.outcome) {
		// A configuration that came meanwhile must not have shortened any of these.
		line = append(line, "config_now", c.server.configVersion(), "timeout_ms", c.route.Timeout.Milliseconds(),
			"left_of_deadline_ms", c.remaining().Milliseconds(), "ran", c.ran, "max_attempts", c.route.MaxAttempts)
	}
	if c.outcome == outcomeCallerLeft {
		// A context that ended although the connection is open was ended by this host.
		line = append(line, "sent", c.arrivals.any(), "left_ms", c.departure.since(time.Now()).Milliseconds(), "closed", caller.Closed(c.r.Context()))
	}
	if c.keyed {
		line = append(line, "account", accountName(c.account))
	}
	c.server.logger.Info("request", line...)
}
