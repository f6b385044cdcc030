package membudget

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxWait is how long a reservation waits for requests that were cut off to make room. They do
	// so once their goroutines have run.
	maxWait = 500 * time.Millisecond
	// waitInterval is how often the reservation is tried meanwhile.
	waitInterval = 10 * time.Millisecond
)

// Reserve is Grow that waits for requests that were cut off to make room.
func (h *Hold) Reserve(n int64) error {
	for end := time.Now().Add(maxWait); ; time.Sleep(waitInterval) {
		now := time.Now()
		err := h.Grow(n, now)
		var full *ExhaustedError
		if !errors.As(err, &full) {
			return err
		}
		if !full.Soon || now.After(end) {
			h.budget.countRefused()
			return err
		}
	}
}

func (b *Budget) countRefused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

// Register adds the budget's metrics to a set.
func (b *Budget) Register(set *metrics.Set) {
	set.GetOrCreateGauge("filberthook_memory_budget_bytes", func() float64 { return float64(b.Stats().Total) })
	set.GetOrCreateGauge("filberthook_memory_budget_used_bytes", func() float64 { return float64(b.Stats().Used) })
	set.GetOrCreateGauge("filberthook_memory_budget_refused_total", func() float64 { return float64(b.Stats().Refused) })
	set.GetOrCreateGauge("filberthook_memory_budget_evicted_total", func() float64 { return float64(b.Stats().Evicted) })
}
