// Package retry limits how often requests are retried: a budget in proportion to
// first attempts, backoff with jitter, and limits on hedging. Callers pass in
// time and randomness.
package retry

import "sync"

// BudgetSettings are the limits of a Budget.
type BudgetSettings struct {
	Ratio float64 `toml:"ratio"` // retries earned by each first attempt
	Burst float64 `toml:"burst"` // largest balance of retries; also the initial balance
}

// DefaultBudget keeps attempts during an outage within 1.1 times the number of
// requests once the outage has lasted for 500 requests.
func DefaultBudget() BudgetSettings { return BudgetSettings{Ratio: 0.08, Burst: 10} }

// Budget allows retries in proportion to first attempts, so that an outage does
// not multiply the load (retry storm). It is safe for concurrent use.
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

// Balance returns the number of retries left.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}
