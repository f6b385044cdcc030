package retry

import (
	"time"

	"filberthook/internal/process/tomltime"
)

// Settings are the limits on retries, resumed streams and hedged reads.
type Settings struct {
	MaxAttempts int               `toml:"max_attempts"` // all attempts of a request, the first included
	MaxResumes  int               `toml:"max_resumes"`  // resumptions of one broken stream
	Budget      BudgetSettings    `toml:"budget"`
	Resume      BudgetSettings    `toml:"resume_budget"` // for resuming streams: a refused resumption loses more than a refused retry
	HedgeAfter  tomltime.Duration `toml:"hedge_after"`   // delay before a read of a plain service is hedged; 0 disables hedging
	Backoff     BackoffSettings   `toml:"backoff"`
}

// DefaultSettings returns the settings used for keys that the settings file omits.
func DefaultSettings() Settings {
	return Settings{
		MaxAttempts: 3,
		MaxResumes:  8,
		Budget:      DefaultBudget(),
		Resume:      BudgetSettings{Ratio: 0.1, Burst: 256},
		HedgeAfter:  tomltime.Of(200 * time.Millisecond),
		Backoff:     DefaultBackoff(),
	}
}

// Verdict is the decision after a failed attempt.
type Verdict struct {
	Again  bool
	Delay  time.Duration
	Denied Denial // reason when Again is false
}

// Denial is the reason why no further attempt is made.
type Denial string

// Denials.
const (
	DeniedAttempts Denial = "attempts" // the request has used all its attempts
	DeniedBudget   Denial = "budget"   // the budget is empty
	DeniedDeadline Denial = "deadline" // no time is left for another attempt
)

// Policy decides on further attempts of requests to one endpoint. It is safe
// for concurrent use.
type Policy struct {
	settings Settings
	retries  *Budget
	resumes  *Budget
}

// NewPolicy returns a Policy with full budgets.
func NewPolicy(s Settings) *Policy {
	return &Policy{
		settings: s,
		retries:  NewBudget(s.Budget),
		resumes:  NewBudget(s.Resume),
	}
}

// RecordFirst records the first attempt of a request.
func (p *Policy) RecordFirst() {
	p.retries.RecordFirst()
	p.resumes.RecordFirst()
}

// Retry decides on a retry after the given number of failed attempts, from 1.
// remaining is the time until the request's deadline; random is from 0 to 1.
func (p *Policy) Retry(attempts int, remaining time.Duration, random float64) Verdict {
	return p.decide(p.retries, attempts, p.settings.MaxAttempts, remaining, random)
}

// Resume decides whether to resume a stream that has broken the given number of
// times, from 1.
func (p *Policy) Resume(breaks int, remaining time.Duration, random float64) Verdict {
	return p.decide(p.resumes, breaks, p.settings.MaxResumes+1, remaining, random)
}

func (p *Policy) decide(budget *Budget, attempts, limit int, remaining time.Duration, random float64) Verdict {
	if attempts >= limit {
		return Verdict{Denied: DeniedAttempts}
	}
	delay := Backoff(p.settings.Backoff, attempts, random)
	if delay >= remaining {
		return Verdict{Denied: DeniedDeadline}
	}
	if !budget.Take() {
		return Verdict{Denied: DeniedBudget}
	}
	return Verdict{Again: true, Delay: delay}
}

// Hedge reports whether a second attempt may start while the first one has been in
// flight for waited. When it may, it is charged to the retry budget.
func (p *Policy) Hedge(waited time.Duration) bool {
	if p.settings.HedgeAfter.Duration <= 0 || waited < p.settings.HedgeAfter.Duration {
		return false
	}
	return p.retries.Take()
}

// HedgeAfter returns the delay before hedging; 0 when hedging is disabled.
func (p *Policy) HedgeAfter() time.Duration { return p.settings.HedgeAfter.Duration }
