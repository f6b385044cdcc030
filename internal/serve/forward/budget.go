package forward

import (
	"sync"
	"time"
)

// RetryBudgetSettings limit the retries sent to one endpoint by all entry hosts together.
type RetryBudgetSettings struct {
	Ratio  float64       // retries per request in a window
	Slack  float64       // retries allowed per window in addition to Ratio
	Window time.Duration // length of the sliding window
}

const (
	// budgetSafetyFactor is the share of the budget that is used. The rest allows for
	// differences between the hosts' counts and for the granularity of the window.
	budgetSafetyFactor = 0.7
	// windowSlots is the number of slots per window. One more is kept, as the newest slot
	// is incomplete.
	windowSlots = 10
	budgetSlots = windowSlots + 1
)

// RetryBudgets holds this host's retry budget of each endpoint.
type RetryBudgets struct {
	settings RetryBudgetSettings
	hosts    func() int // number of entry hosts that share the budget, 0 if unknown

	mu         sync.Mutex
	byEndpoint map[string]*RetryBudget
}

// NewRetryBudgets returns the budgets of one of the entry hosts that share the settings' budget.
func NewRetryBudgets(s RetryBudgetSettings, hosts func() int) *RetryBudgets {
	return &RetryBudgets{settings: s, hosts: hosts, byEndpoint: map[string]*RetryBudget{}}
}

// Of returns the budget of an endpoint, creating it on first use.
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

// RetryBudget counts the requests and retries for one endpoint in a sliding window.
type RetryBudget struct {
	settings RetryBudgetSettings
	hosts    func() int

	mu         sync.Mutex
	requests   [budgetSlots]float64
	retries    [budgetSlots]float64
	newestSlot int64 // number of the newest slot since the Unix epoch
}

// CountRequest counts a caller's request, which extends the budget.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// charge is a retry that was taken from the budget, by the number of its slot.
type charge int64

// Take reports whether the budget allows another retry, and counts the retry if so.
func (b *RetryBudget) Take(now time.Time) bool {
	_, ok := b.take(1, now)
	return ok
}

// take counts n retries if the budget allows them all. The slack is shared by all hosts; a
// host that does not know their number has none.
func (b *RetryBudget) take(n int, now time.Time) (charge, bool) {
	slack := 0.0
	if hosts := b.hosts(); hosts > 0 {
		slack = b.settings.Slack / float64(hosts)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.advance(now)
	requests, retries := sum(b.requests), sum(b.retries)
	if retries+float64(n) > budgetSafetyFactor*(b.settings.Ratio*requests+slack) {
		return 0, false
	}
	b.retries[slot] += float64(n)
	return charge(b.newestSlot), true
}

// refund returns a charge that no retry followed, unless its slot has expired.
func (b *RetryBudget) refund(c charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newestSlot-int64(c) < budgetSlots {
		b.retries[int64(c)%budgetSlots]--
	}
}

// advance clears expired slots and returns the index of the newest. The caller holds b.mu.
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
