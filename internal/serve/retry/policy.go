package retry

import (
	"time"

	"filberthook/internal/process/tomltime"
)

// Settings are the limits on sending one request again.
type Settings struct {
	MaxAttempts int               `toml:"max_attempts"` // all attempts of a request, the first included
	MaxResumes  int               `toml:"max_resumes"`  // times that one broken stream is taken up again
	Budget      BudgetSettings    `toml:"budget"`
	Resume      BudgetSettings    `toml:"resume_budget"` // for streams, which lose more by a refusal
	HedgeAfter  tomltime.Duration `toml:"hedge_after"`   // time that a read of a plain service waits alone; 0 turns hedging off
	Backoff     BackoffSettings   `toml:"backoff"`
}

// DefaultSettings returns the limits used when none are set.
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

// Verdict tells what to do after a failed attempt.
type Verdict struct {
	Again  bool
	Delay  time.Duration
	Denied Denial // why not, when Again is false
}

// Denial tells why no further attempt is made.
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

// Retry decides after the failure of attempt number made, from 1. left is the
// time until the request's deadline; random is from 0 to 1.
func (p *Policy) Retry(attempts int, remaining time.Duration, random float64) Verdict {
	return p.decide(p.retries, attempts, p.settings.MaxAttempts, remaining, random)
}

// Resume decides after a stream broke for the broken-th time, from 1.
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

// Hedge reports whether a second attempt may start beside a first one that has
// been under way for waited, and charges it to the budget of retries.
func (p *Policy) Hedge(waited time.Duration) bool {
	if p.settings.HedgeAfter.Duration <= 0 || waited < p.settings.HedgeAfter.Duration {
		return false
	}
	return p.retries.Take()
}

// HedgeAfter returns how long an attempt runs alone; 0 when hedging is off.
func (p *Policy) HedgeAfter() time.Duration { return p.settings.HedgeAfter.Duration }
