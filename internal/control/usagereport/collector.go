package usagereport

import (
	"maps"
	"slices"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/saturate"
)

const (
	// closeShare is when a window is closed at the latest, as a share of the time until its report
	// is due: the rest is left for the agreement and the call.
	closeShare = 0.8
	// awaitedFor is how long after its last report an entry host's next one is awaited.
	awaitedFor = 10 * time.Second
	// After gatherGap without any report, as at a new leader or after a cut, no window is closed
	// for gatherTime: entry hosts report once a second, and the first says nothing of the others.
	gatherGap  = 3 * time.Second
	gatherTime = 2500 * time.Millisecond
	// keptFor is how long the reports of an entry host that is silent and has no open window are kept.
	keptFor = time.Minute
	// maxBehind bounds the windows that are caught up one by one though no entry host has counts
	// of them, as after an outage of the whole group.
	maxBehind = 120
	// maxWindows and maxAccounts bound what one run of an entry host's process may report.
	maxWindows  = 1000
	maxAccounts = 10_000
)

// Windows are the settings of a Collector.
type Windows struct {
	Length time.Duration
	Late   time.Duration // when a report is due, from the end of its window
}

// Collector sums what entry hosts report. It does no I/O and reads no clock: times are those of a
// clock that counts suspensions. The time of day is what the entry hosts estimate, so that a jump
// of the collecting host's own closes no window early or late.
type Collector struct {
	id      string // of this process; a report relative to another collector may lack counts
	windows Windows

	mu         sync.Mutex
	hosts      map[source]*hostCounts
	heardAt    time.Duration // when any host last reported
	gatherFrom time.Duration // when the reports began, or resumed after gatherGap
}

// source is one run of an entry host's process.
type source struct{ host, start string }

type hostCounts struct {
	heardAt time.Duration
	ahead   time.Duration // true time as the host estimates it, less the collector's clock
	through time.Duration // true time up to which the counts are complete
	final   bool
	counts  map[int64]map[string]int64
}

// NewCollector returns a Collector without reports. The id differs in each process.
func NewCollector(id string, w Windows) *Collector {
	return &Collector{id: id, windows: w, hosts: map[source]*hostCounts{}}
}

// Add stores a report of an entry host. Windows up to recorded are no longer needed. It returns
// how many counts came too late.
func (c *Collector) Add(host string, report controlapi.UsageReport, recorded int64, now time.Duration) (late int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hosts) == 0 || now-c.heardAt > gatherGap {
		c.gatherFrom = now
	}
	c.heardAt = now
	key := source{host, report.Start}
	h := c.hosts[key]
	if h == nil {
		h = &hostCounts{counts: map[int64]map[string]int64{}}
		c.hosts[key] = h
	}
	h.heardAt = now
	h.ahead = time.Duration(report.NowMS)*time.Millisecond - now
	if report.Collector == c.id {
		h.through = max(h.through, time.Duration(report.ThroughMS)*time.Millisecond)
		h.final = h.final || report.Final
	}
	for window, counts := range report.Windows {
		if window <= recorded {
			for _, n := range counts {
				late += n
			}
			continue
		}
		sum := h.counts[window]
		if sum == nil {
			if len(h.counts) >= maxWindows {
				continue
			}
			sum = map[string]int64{}
			h.counts[window] = sum
		}
		for account, n := range counts {
			if _, known := sum[account]; known || len(sum) < maxAccounts {
				sum[account] = max(sum[account], n) // a delayed report may arrive after a later one
			}
		}
	}
	return late
}

// Now returns the true time since 1970: the median of what the entry hosts estimate. It returns
// false while none has reported.
func (c *Collector) Now(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trueTime(now)
}

func (c *Collector) trueTime(now time.Duration) (time.Duration, bool) {
	if len(c.hosts) == 0 {
		return 0, false
	}
	estimates := make([]time.Duration, 0, len(c.hosts))
	for _, h := range c.hosts {
		estimates = append(estimates, h.ahead)
	}
	slices.Sort(estimates)
	middle := len(estimates) / 2
	if len(estimates)%2 == 0 {
		return now + (estimates[middle-1]+estimates[middle])/2, true
	}
	return now + estimates[middle], true
}

// Next returns the counts of the window to record after the last one, once that window is closed:
// when all reporting entry hosts have reported past its end, or shortly before its report is due.
// The first window is the earliest that an entry host has reported. While no entry host reports, no
// window is closed.
func (c *Collector) Next(last int64, now time.Duration) (window int64, counts map[string]int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(last, now)
	at, reporting := c.trueTime(now)
	earliest, known := c.earliest()
	switch {
	case !reporting, now-c.gatherFrom < gatherTime, last == 0 && !known:
		return 0, nil, false
	case last == 0:
		window = earliest
	default:
		window = last + 1
		if skipped := int64(at/c.windows.Length) - maxBehind; skipped > window {
			if window = skipped; known {
				window = min(window, earliest)
			}
		}
	}
	end := c.endOf(window)
	if at < end || at < end+saturate.Nanoseconds(closeShare*float64(c.windows.Late)) && !c.complete(end, now) {
		return 0, nil, false
	}
	counts = map[string]int64{}
	for _, h := range c.hosts {
		for account, n := range h.counts[window] {
			counts[account] += n
		}
	}
	return window, counts, true
}

// endOf returns the end of a window, since 1970.
func (c *Collector) endOf(window int64) time.Duration {
	return time.Duration(window+1) * c.windows.Length
}

// complete reports whether there are reporting entry hosts and all have reported past a time. Of
// an entry host only the run that was heard last is awaited.
func (c *Collector) complete(end, now time.Duration) bool {
	newest := map[string]*hostCounts{}
	for key, h := range c.hosts {
		if other := newest[key.host]; now-h.heardAt <= awaitedFor && (other == nil || h.heardAt > other.heardAt) {
			newest[key.host] = h
		}
	}
	for _, h := range newest {
		if h.through < end && !h.final {
			return false
		}
	}
	return len(newest) > 0
}

// earliest returns the earliest window that an entry host has reported and that is not recorded.
func (c *Collector) earliest() (window int64, ok bool) {
	for _, h := range c.hosts {
		for w := range h.counts {
			if !ok || w < window {
				window, ok = w, true
			}
		}
	}
	return window, ok
}

// forget removes the counts of recorded windows, and sources that have nothing more to tell.
func (c *Collector) forget(recorded int64, now time.Duration) {
	for key, h := range c.hosts {
		maps.DeleteFunc(h.counts, func(w int64, _ map[string]int64) bool { return w <= recorded })
		if len(h.counts) == 0 && now-h.heardAt > keptFor {
			delete(c.hosts, key)
		}
	}
}
