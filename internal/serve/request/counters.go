package request

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// RetryReason is the reason for which a request was sent to an endpoint again.
type RetryReason string

// Retry reasons.
const (
	RetryConnect  RetryReason = "connect_failed"
	RetryRefused  RetryReason = "instance_refused"
	RetryBroken   RetryReason = "answer_broken"
	RetryCrossed  RetryReason = "answer_crossed"
	RetryStatus   RetryReason = "instance_error"
	RetryResume   RetryReason = "stream_resumed"
	RetryHedge    RetryReason = "hedged"
	RetryDenied   RetryReason = "budget_empty" // the retry budget did not allow the retry
	RetryProposal RetryReason = "claim_proposal"
)

var retryReasons = []RetryReason{
	RetryConnect, RetryRefused, RetryBroken, RetryCrossed, RetryStatus,
	RetryResume, RetryHedge, RetryDenied, RetryProposal,
}

// DropReason is the reason for which part of an endpoint's answer was not passed on.
type DropReason string

// Drop reasons.
const (
	DropCrossed DropReason = "other_attempt" // the answer named another attempt
	DropLate    DropReason = "late"          // the attempt was no longer open
	DropDoubled DropReason = "doubled_token" // the token had already been passed on
)

var dropReasons = []DropReason{DropCrossed, DropLate, DropDoubled}

// refusalKey identifies a counter of refusals.
type refusalKey struct {
	code        Code
	disposition Disposition
}

// dispositions returns the possible dispositions of the reason's refusals: its own, and
// that of a resend or of a caller that disconnected before the request ran.
func (r Reason) dispositions() []Disposition {
	switch {
	case r.Disposition == NotRun:
		return []Disposition{NotRun, MayHaveRun}
	case r.Code == CallerGone:
		return []Disposition{MayHaveRun, NotRun}
	default:
		return []Disposition{r.Disposition}
	}
}

// Counters count requests by outcome, retries and dropped answers.
type Counters struct {
	answered *metrics.Counter
	refused  map[refusalKey]*metrics.Counter
	retried  map[RetryReason]*metrics.Counter
	dropped  map[DropReason]*metrics.Counter
}

// NewCounters registers a counter for every reason in the set.
func NewCounters(set *metrics.Set) *Counters {
	c := &Counters{
		answered: set.GetOrCreateCounter("filberthook_requests_answered_total"),
		refused:  make(map[refusalKey]*metrics.Counter, 2*len(reasons)),
		retried:  make(map[RetryReason]*metrics.Counter, len(retryReasons)),
		dropped:  make(map[DropReason]*metrics.Counter, len(dropReasons)),
	}
	for _, r := range reasons {
		for _, d := range r.dispositions() {
			name := fmt.Sprintf(`filberthook_requests_refused_total{reason=%q,disposition=%q}`, r.Code, d)
			c.refused[refusalKey{r.Code, d}] = set.GetOrCreateCounter(name)
		}
	}
	for _, r := range retryReasons {
		c.retried[r] = set.GetOrCreateCounter(fmt.Sprintf(`filberthook_retries_total{reason=%q}`, r))
	}
	for _, r := range dropReasons {
		c.dropped[r] = set.GetOrCreateCounter(fmt.Sprintf(`filberthook_answers_dropped_total{reason=%q}`, r))
	}
	return c
}

// Total is the value of one counter.
type Total struct {
	Name  string
	Value uint64
}

// Refusals returns the counts of the reasons that have occurred.
func (c *Counters) Refusals() []Total {
	var out []Total
	for _, r := range reasons {
		var n uint64
		for _, d := range r.dispositions() {
			n += c.refused[refusalKey{r.Code, d}].Get()
		}
		if n > 0 {
			out = append(out, Total{Name: string(r.Code), Value: n})
		}
	}
	return out
}

// Retries returns the counts of the retry reasons that have occurred.
func (c *Counters) Retries() []Total {
	var out []Total
	for _, r := range retryReasons {
		if n := c.retried[r].Get(); n > 0 {
			out = append(out, Total{Name: string(r), Value: n})
		}
	}
	return out
}

// Answered counts a complete answer.
func (c *Counters) Answered() { c.answered.Inc() }

// Refused counts a request that ended without an answer.
func (c *Counters) Refused(code Code, d Disposition) { c.refused[refusalKey{code, d}].Inc() }

// Retried counts another dispatch of a request.
func (c *Counters) Retried(reason RetryReason) { c.retried[reason].Inc() }

// Dropped counts an answer, or a part of one, that was not passed on.
func (c *Counters) Dropped(reason DropReason) { c.dropped[reason].Inc() }
