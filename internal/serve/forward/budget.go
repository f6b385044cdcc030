package forward

import (
	"sync"
	"time"
)

// RetryBudgetSettings bound the requests that are sent again to one endpoint, by all
// entry hosts together.
type RetryBudgetSettings struct {
	Ratio  float64       // of the requests for the endpoint in a window
	Slack  float64       // more in each window
	Window time.Duration // sliding
}

const (
	// budgetSafetyFactor leaves room for hosts that count differently and windows that slide.
	budgetSafetyFactor = 0.7
	// windowSlots divide the window. One more is kept, since the newest is not full.
	windowSlots = 10
	budgetSlots = windowSlots + 1
)

// RetryBudgets holds the budget of each endpoint at this host.
type RetryBudgets struct {
	settings RetryBudgetSettings
	hosts    func() int // entry hosts that share the budget

	mu         sync.Mutex
	byEndpoint map[string]*RetryBudget
}

// NewRetryBudgets returns Budgets of which this host takes its part.
func NewRetryBudgets(s RetryBudgetSettings, hosts func() int) *RetryBudgets {
	return &RetryBudgets{settings: s, hosts: hosts, byEndpoint: map[string]*RetryBudget{}}
}

// Of returns the budget of an endpoint.
func (b *RetryBudgets) Of(endpoint string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byEndpoint[endpoint]
	if budget == nil {
		budget = &RetryBudget{settings: b.settings, hosts: b.hosts}
		b.byEndpoint[endpoint] = budget
	}
	return budget
}

// RetryBudget counts first and repeated requests for one endpoint in a sliding window.
type RetryBudget struct {
	settings RetryBudgetSettings
	hosts    func() int

	mu         sync.Mutex
	requests   [budgetSlots]float64
	retries    [budgetSlots]float64
	newestSlot int64 // of the newest slot
}

// CountRequest counts a caller's request.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Take reports whether a request may be sent once more, and counts it if so.
func (b *RetryBudget) Take(now time.Time) bool {
	hosts := float64(max(1, b.hosts()))
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.advance(now)
	requests, retries := sum(b.requests), sum(b.retries)
	if retries+1 > budgetSafetyFactor*(b.settings.Ratio*requests+b.settings.Slack/hosts) {
		return false
	}
	b.retries[slot]++
	return true
}

// advance clears the slots that have passed and returns the newest. The caller holds b.mu.
func (b *RetryBudget) advance(now time.Time) int64 {
	slot := now.UnixNano() / int64(b.settings.Window/windowSlots)
	for step := b.newestSlot + 1; step <= slot && step <= b.newestSlot+budgetSlots; step++ {
		b.requests[step%budgetSlots], b.retries[step%budgetSlots] = 0, 0
	}
	b.newestSlot = max(b.newestSlot, slot)
	return b.newestSlot % budgetSlots
}

func sum(slots [budgetSlots]float64) float64 {
	total := 0.0
	for _, v := range slots {
		total += v
	}
	return total
}
