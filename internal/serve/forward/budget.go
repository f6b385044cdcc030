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
	// budgetShare leaves room for hosts that count differently and windows that slide.
	budgetShare = 0.7
	// windowSlots divide the window. One more is kept, since the newest is not full.
	windowSlots = 10
	budgetSlots = windowSlots + 1
)

// RetryBudgets holds the budget of each endpoint at this host.
type RetryBudgets struct {
	settings RetryBudgetSettings
	hosts    func() int // entry hosts that share the budget

	mu   sync.Mutex
	list map[string]*RetryBudget
}

// NewRetryBudgets returns Budgets of which this host takes its part.
func NewRetryBudgets(s RetryBudgetSettings, hosts func() int) *RetryBudgets {
	return &RetryBudgets{settings: s, hosts: hosts, list: map[string]*RetryBudget{}}
}

// Of returns the budget of an endpoint.
func (b *RetryBudgets) Of(endpoint string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.list[endpoint]
	if budget == nil {
		budget = &RetryBudget{settings: b.settings, hosts: b.hosts}
		b.list[endpoint] = budget
	}
	return budget
}

// RetryBudget counts first and repeated requests for one endpoint in a sliding window.
type RetryBudget struct {
	settings RetryBudgetSettings
	hosts    func() int

	mu       sync.Mutex
	firsts   [budgetSlots]float64
	repeats  [budgetSlots]float64
	position int64 // of the newest slot
}

// First counts a caller's request.
func (b *RetryBudget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts[b.turn(now)]++
}

// Take reports whether a request may be sent once more, and counts it if so.
func (b *RetryBudget) Take(now time.Time) bool {
	hosts := float64(max(1, b.hosts()))
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.turn(now)
	firsts, repeats := sum(b.firsts), sum(b.repeats)
	if repeats+1 > budgetShare*(b.settings.Ratio*firsts+b.settings.Slack/hosts) {
		return false
	}
	b.repeats[slot]++
	return true
}

// turn clears the slots that have passed and returns the newest. The caller holds b.mu.
func (b *RetryBudget) turn(now time.Time) int64 {
	position := now.UnixNano() / int64(b.settings.Window/windowSlots)
	for step := b.position + 1; step <= position && step <= b.position+budgetSlots; step++ {
		b.firsts[step%budgetSlots], b.repeats[step%budgetSlots] = 0, 0
	}
	b.position = max(b.position, position)
	return b.position % budgetSlots
}

func sum(slots [budgetSlots]float64) float64 {
	total := 0.0
	for _, v := range slots {
		total += v
	}
	return total
}
