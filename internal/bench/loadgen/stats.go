package loadgen

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms.
const (
	minLatency    = int64(time.Microsecond)
	maxLatency    = int64(10 * time.Minute)
	latencyDigits = 3
)

// Quantiles summarises a set of durations.
type Quantiles struct {
	Count  int64         `json:"count"`
	Median time.Duration `json:"median_ns"`
	P95    time.Duration `json:"p95_ns"`
	P99    time.Duration `json:"p99_ns"`
	Max    time.Duration `json:"max_ns"`
}

// String implements fmt.Stringer.
func (q Quantiles) String() string {
	return fmt.Sprintf("median %s, p95 %s, p99 %s, max %s (n=%d)",
		millis(q.Median), millis(q.P95), millis(q.P99), millis(q.Max), q.Count)
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.3f ms", float64(d)/float64(time.Millisecond))
}

// Latencies is a histogram of non-negative durations.
type Latencies struct{ h *hdrhistogram.Histogram }

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{h: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// Add records a duration, clamped to the histogram's range.
func (l *Latencies) Add(d time.Duration) {
	_ = l.h.RecordValue(min(max(int64(d), minLatency), maxLatency))
}

// Quantiles summarises the histogram.
func (l *Latencies) Quantiles() Quantiles {
	return Quantiles{
		Count:  l.h.TotalCount(),
		Median: time.Duration(l.h.ValueAtQuantile(50)),
		P95:    time.Duration(l.h.ValueAtQuantile(95)),
		P99:    time.Duration(l.h.ValueAtQuantile(99)),
		Max:    time.Duration(l.h.Max()),
	}
}

// exactQuantiles summarises durations that may be negative, without a histogram.
func exactQuantiles(ds []time.Duration) Quantiles {
	if len(ds) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(ds))
	at := func(q float64) time.Duration { return sorted[int(q*float64(len(sorted)-1))] }
	return Quantiles{Count: int64(len(ds)), Median: at(0.50), P95: at(0.95), P99: at(0.99), Max: sorted[len(sorted)-1]}
}
