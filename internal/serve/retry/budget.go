// Package retry bounds how often requests are sent again: a budget that ties
// retries to first attempts, backoff with jitter, and limits on hedging. Time
// and randomness come from the caller.
package retry

import "sync"

// BudgetSettings bound the retries of a Budget.
type BudgetSettings struct {
	Ratio float64 `toml:"ratio"` // retries earned by each first attempt
	Burst float64 `toml:"burst"` // most retries that can be saved up; also the opening balance
}

// DefaultBudget keeps the load of an outage within 1.1 times the callers' own
// once it has lasted for 500 requests.
func DefaultBudget() BudgetSettings { return BudgetSettings{Ratio: 0.08, Burst: 10} }

// Budget lets retries through in proportion to first attempts, so that an
// outage does not multiply its own load. It is safe for concurrent use.
type Budget struct {
	settings BudgetSettings

	mu      sync.Mutex
	balance float64 // guarded by mu; 0 to settings.Burst
}

// NewBudget returns a Budget with a full balance.
func NewBudget(settings BudgetSettings) *Budget {
	return &Budget{settings: settings, balance: settings.Burst}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.settings.Ratio, b.settings.Burst)
}

// Take reports whether one retry is allowed and charges it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the retries that are left.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}
