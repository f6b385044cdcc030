package entryhost

import (
	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/serve/usage"
)

// newCounts returns the counts of accounts' requests, nil where none are reported.
func newCounts(u Usage, set *metrics.Set) *usage.Counts {
	if u.Window.Duration <= 0 {
		return nil
	}
	return usage.NewCounts(u.Window.Duration, set)
}

// counter returns the counts as an interface that is nil without them.
func counter(c *usage.Counts) usage.Counter {
	if c == nil {
		return nil
	}
	return c
}

// flushUsage sends the last counts before the process ends.
func (h *Host) flushUsage() {
	if h.usage != nil {
		h.usage.Flush()
	}
}
