package forward

import (
	"time"

	"filberthook/internal/engines/placement"
)

// answeredLines bounds the log lines a second of requests that went well: five times
// what a host of a large deployment serves. All other requests have a line each.
const answeredLines = 100

// attempt is one entry of the request's trail in the log.
type attempt struct {
	Instance string `json:"instance"`
	Step     string `json:"step"` // run, read or resume
	Outcome  string `json:"outcome"`
	MS       int64  `json:"ms"`
	Tokens   int    `json:"tokens,omitempty"`   // expected to be read
	Expected int64  `json:"expected,omitempty"` // ms until they are read, as estimated
	Fetch    string `json:"fetch,omitempty"`    // engine that shared parts are fetched from
	Err      string `json:"err,omitempty"`      // why it failed
}

// note records an attempt.
func (c *call) note(instance, step string, o placement.Outcome, since time.Time, err error) {
	a := attempt{Instance: instance, Step: step, Outcome: o.String(), MS: time.Since(since).Milliseconds()}
	if err != nil {
		a.Err = err.Error()
	}
	c.trail = append(c.trail, a)
}

// notePrompt records an attempt at an engine, with the estimates that chose it.
func (c *call) notePrompt(instance, step string, o placement.Outcome, since time.Time, err error, plan placement.Plan) {
	c.note(instance, step, o, since, err)
	last := &c.trail[len(c.trail)-1]
	last.Tokens, last.Expected, last.Fetch = plan.PrefillTokens, plan.ExpectedTTFT.Milliseconds(), plan.FetchFrom
}

// finish counts and logs the request.
func (c *call) finish() {
	took := time.Since(c.start)
	if c.outcome == "" {
		c.outcome = "cut"
	}
	kind := c.route.Kind.String()
	c.server.count(kind, c.outcome)
	c.server.metrics.GetOrCreateHistogram(`filberthook_entry_request_seconds{kind="` + kind + `"}`).Update(took.Seconds())
	if c.firstMS > 0 {
		c.server.metrics.GetOrCreateHistogram(`filberthook_entry_first_event_seconds{kind="` + kind + `"}`).Update(float64(c.firstMS) / 1000)
	}
	for _, a := range c.trail {
		c.server.metrics.GetOrCreateCounter(`filberthook_entry_attempts_total{step="` + a.Step + `",outcome="` + a.Outcome + `"}`).Inc()
	}
	if c.reason != "" {
		c.server.metrics.GetOrCreateCounter(`filberthook_entry_refusals_total{reason="` + c.reason + `"}`).Inc()
	}
	if c.wentWell() {
		keep, leftOut := c.server.answered.Keep(time.Now())
		if leftOut > 0 {
			c.server.logger.Info("lines of answered requests left out", "lines", leftOut, "per_second", answeredLines)
		}
		if !keep {
			return
		}
	}
	c.log(took)
}

// wentWell reports whether nothing failed on the way.
func (c *call) wentWell() bool {
	if c.outcome != "answered" {
		return false
	}
	for _, a := range c.trail {
		if a.Outcome != placement.Answered.String() {
			return false
		}
	}
	return true
}

func (c *call) log(took time.Duration) {
	view := c.server.view.Snapshot()
	c.server.logger.Info("request", "id", c.meta.ID, "route", c.route.Name, "kind", c.route.Kind.String(), "endpoint", c.endpoint,
		"config", c.version, "view", view.Number, "view_age_ms", time.Since(view.At).Milliseconds(),
		"tokens", c.meta.PromptTokens, "attempts", c.trail, "outcome", c.outcome, "status", c.status,
		"reason", c.reason, "detail", c.detail, "first_ms", c.firstMS, "ms", took.Milliseconds())
}
