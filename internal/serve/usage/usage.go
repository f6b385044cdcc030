// Package usage counts the requests of each account that began to run at an entry host, by
// windows of true time, and reports the counts to the leader of the control group.
package usage

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/boottime"
)

const (
	// settleTime is how long after the end of a window its counts are taken for complete: a plain
	// request counts when it was sent, but only once its instance has answered.
	settleTime = 4 * time.Second
	// maxWindows bounds the windows that are kept while no leader takes them: 20 min of 5 s each.
	maxWindows = 240
	// maxWindowsPerReport bounds a report after an outage.
	maxWindowsPerReport = 24
)

// Counter counts requests that began to run.
type Counter interface {
	// Count counts a request of an account that began at a time. Requests without an account are
	// not counted.
	Count(account string, at time.Time)
}

// Counts holds the counts of this host until they are recorded. It implements Counter.
type Counts struct {
	length time.Duration // of a window
	start  string        // identifies this run of the process
	late   *metrics.Counter
	lost   *metrics.Counter

	mu        sync.Mutex
	clock     *clock
	windows   map[int64]*window
	recorded  int64  // last window that is in the replicated log
	collector string // who took the last report
}

// window is the counts of one window.
type window struct {
	counts  map[string]int64
	unsent  bool // changed since the collector took them
	sending bool // in the report under way
}

var _ Counter = (*Counts)(nil)

// NewCounts returns Counts with windows of a length.
func NewCounts(length time.Duration, set *metrics.Set) *Counts {
	c := &Counts{
		length: length, start: strconv.FormatInt(time.Now().UnixNano(), 36), windows: map[int64]*window{},
		clock: newClock(wallNow(), boottime.Now()),
		late:  set.GetOrCreateCounter("filberthook_entry_usage_late_total"),
		lost:  set.GetOrCreateCounter("filberthook_entry_usage_lost_total"),
	}
	set.GetOrCreateGauge("filberthook_entry_usage_windows", func() float64 { return float64(c.kept()) })
	return c
}

// Count implements Counter.
func (c *Counts) Count(account string, at time.Time) {
	if account != "" {
		c.count(account, boottime.Now()-time.Since(at))
	}
}

func (c *Counts) count(account string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := int64(c.clock.trueTime(at) / c.length)
	if number <= c.recorded {
		c.late.Inc() // the report of that window is agreed and cannot change
		return
	}
	w := c.windows[number]
	if w == nil {
		w = &window{counts: map[string]int64{}}
		c.windows[number] = w
		c.dropOldest()
	}
	w.counts[account]++
	w.unsent = true
}

// dropOldest drops the earliest windows beyond maxWindows. The caller holds c.mu.
func (c *Counts) dropOldest() {
	if len(c.windows) <= maxWindows {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(c.windows)))
	for _, n := range c.windows[oldest].counts {
		c.lost.AddInt64(n)
	}
	delete(c.windows, oldest)
}

// report returns the counts that the collector does not have, the earliest windows first.
func (c *Counts) report(now time.Duration, final bool) controlapi.UsageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.clock.trueTime(now)
	r := controlapi.UsageReport{Start: c.start, Collector: c.collector, NowMS: at.Milliseconds(), ThroughMS: (at - settleTime).Milliseconds(), Final: final,
		Windows: map[int64]map[string]int64{}}
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		w := c.windows[number]
		if w.sending = w.unsent && len(r.Windows) < maxWindowsPerReport; w.sending {
			w.unsent = false
			r.Windows[number] = maps.Clone(w.counts)
		} else if w.unsent { // left to the next report
			r.ThroughMS = min(r.ThroughMS, (time.Duration(number) * c.length).Milliseconds())
			r.Final = false
		}
	}
	return r
}

// taken records the answer to a report; collector is empty if no leader took it. What another
// collector has taken is sent again.
func (c *Counts) taken(collector string, recorded int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := collector != ""
	for _, w := range c.windows {
		lost := !taken && w.sending
		unknown := taken && collector != c.collector && !w.sending
		w.unsent = w.unsent || lost || unknown
		w.sending = false
	}
	if !taken {
		return
	}
	c.collector = collector
	c.recorded = max(c.recorded, recorded)
	maps.DeleteFunc(c.windows, func(number int64, _ *window) bool { return number <= c.recorded })
}

// hasUnsent reports whether there are counts that no collector has taken.
func (c *Counts) hasUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.windows {
		if w.unsent {
			return true
		}
	}
	return false
}

// observe records the times of day of a control host and of this host.
func (c *Counts) observe(source string, wall, roundTrip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	c.clock.observe(source, wall, roundTrip, now)
	c.clock.observeOwn(wallNow(), now)
}

func (c *Counts) synchronized() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.synchronized()
}

func (c *Counts) kept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.windows)
}

// wallNow returns this host's time of day since 1970.
func wallNow() time.Duration { return time.Duration(time.Now().UnixNano()) }
