package usagereport

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/control/controlapi"
)

// clockZero is the time of day at time 0 of the collector's clock, at the start of window 1000.
const clockZero = 1000 * 5 * time.Second

func newTestCollector() *Collector {
	return NewCollector("c", Windows{Length: 5 * time.Second, Late: 10 * time.Second})
}

// report returns a report at a time of an entry host whose clock is right.
func report(start string, now time.Duration, windows map[int64]map[string]int64) controlapi.UsageReport {
	at := (clockZero + now).Milliseconds()
	return controlapi.UsageReport{Start: start, Collector: "c", NowMS: at, ThroughMS: at, Windows: windows}
}

func counts(n int64) map[int64]map[string]int64 { return map[int64]map[string]int64{1000: {"a": n}} }

// Guards against windows that are closed before a reporting host's counts are there, or held up by
// a host that does not report any more.
func TestWindowIsClosedOnceAllHaveReportedOrItIsLate(t *testing.T) {
	c := newTestCollector()
	second := time.Second
	c.Add("e1", report("1", second, counts(3)), 0, second)
	c.Add("e2", report("1", second, counts(1)), 0, second)
	c.Add("e2", report("1", 4*second, nil), 0, 4*second)
	c.Add("e1", report("1", 4*second, counts(4)), 0, 4*second)
	c.Add("e1", report("1", 4*second, counts(2)), 0, 4*second) // delayed on its way
	for at := 4 * second; at < 13*second; at += second {
		c.Add("e1", report("1", at, nil), 0, at)
		if w, got, ok := c.Next(0, at); ok {
			t.Errorf("window %d closed at %v with %v; e2 has not reported past its end", w, at, got)
		}
	}
	w, got, ok := c.Next(0, 13*second)
	if diff := cmp.Diff(map[string]int64{"a": 5}, got); !ok || w != 1000 || diff != "" {
		t.Errorf("late window %d, %v: %s", w, ok, diff)
	}
	if late := c.Add("e2", report("1", 14*second, counts(2)), 1000, 14*second); late != 2 {
		t.Errorf("%d late counts, want 2", late)
	}
	if _, _, ok = c.Next(1000, 14*second); !ok { // window 1001 ended at 10 s, e1 and e2 have reported past that
		t.Error("window 1001 is not closed though all have reported past its end")
	}
}

// Guards against a window that is closed without the counts that a host has given to an earlier
// leader only.
func TestReportAfterAnotherLeadersIsNotComplete(t *testing.T) {
	c := newTestCollector()
	c.Add("e1", report("1", time.Second, counts(1)), 0, time.Second)
	after := report("1", 6*time.Second, map[int64]map[string]int64{1001: {"a": 1}})
	after.Collector = "other"
	c.Add("e1", after, 0, 3*time.Second)
	if _, _, ok := c.Next(0, 4*time.Second); ok {
		t.Error("closed a window that the host has not sent here")
	}
}

// Guards against the loss of what an earlier run of a host's process has reported, and against a
// wait for that run.
func TestRestartedHostKeepsItsEarlierCounts(t *testing.T) {
	c := newTestCollector()
	c.Add("e1", report("1", time.Second, counts(3)), 0, time.Second)
	c.Add("e1", report("2", 3*time.Second, counts(4)), 0, 3*time.Second)
	c.Add("e1", report("2", 6*time.Second, nil), 0, 6*time.Second)
	if w, got, ok := c.Next(0, 6*time.Second); !ok || w != 1000 || got["a"] != 7 {
		t.Errorf("window %d, %v, %v", w, got, ok)
	}
}

// Guards against a window that is closed with the counts of the first host that reports to a new
// leader, or after a cut.
func TestNoWindowIsClosedWhileReportsGather(t *testing.T) {
	c := newTestCollector()
	if _, _, ok := c.Next(1000, time.Hour); ok {
		t.Error("closed a window without any report")
	}
	at := time.Minute
	c.Add("e1", report("1", at, counts(1)), 0, at)
	if _, _, ok := c.Next(0, at+time.Second); ok {
		t.Error("closed a late window right after the first report")
	}
	c.Add("e2", report("1", at+time.Second, counts(2)), 0, at+time.Second)
	if _, got, ok := c.Next(0, at+gatherTime); !ok || got["a"] != 3 {
		t.Errorf("%v, %v", got, ok)
	}
}

// Guards against windows closed by the wrong clock of one entry host.
func TestOneWrongClockDoesNotCloseAWindow(t *testing.T) {
	c := newTestCollector()
	for i, ahead := range []time.Duration{0, time.Hour, 0} {
		r := report("1", ahead, counts(1))
		r.ThroughMS = (clockZero + time.Hour).Milliseconds()
		c.Add(string(rune('a'+i)), r, 0, 0)
	}
	if w, _, ok := c.Next(0, 4900*time.Millisecond); ok {
		t.Errorf("window %d closed before its end", w)
	}
	if _, _, ok := c.Next(0, 5*time.Second); !ok {
		t.Error("window not closed at its end")
	}
}

// Guards against an endless catch-up after an outage of the whole group, and against known windows
// that it would leave out.
func TestWindowsAreCaughtUp(t *testing.T) {
	c := newTestCollector()
	at := 6000 * time.Second // in window 2200
	c.Add("e1", report("1", at, map[int64]map[string]int64{1500: {"a": 1}}), 0, at)
	at += gatherTime
	if w, got, ok := c.Next(1000, at); !ok || w != 1500 || got["a"] != 1 {
		t.Errorf("first window %d, %v, %v; want the known one", w, got, ok)
	}
	if w, _, ok := c.Next(1500, at); !ok || w < 2200-maxBehind || w > 2201-maxBehind {
		t.Errorf("next window %d, %v", w, ok)
	}
	if w, _, ok := c.Next(2150, at); !ok || w != 2151 {
		t.Errorf("next window %d, %v; want 2151, which has no counts", w, ok)
	}
}
