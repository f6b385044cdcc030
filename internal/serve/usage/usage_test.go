package usage

import (
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
)

// Guards against windows that move with a jump of the host's time of day, or of one control host's.
func TestTrueTimeIsThatOfTheMedianClock(t *testing.T) {
	const wall = 1_000_000 * time.Second
	c := newClock(wall+time.Hour, 0) // the host's own time of day is wrong
	if c.synchronized() {
		t.Error("synchronized without any control host")
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		c.observe(name, wall+time.Second, 0, time.Second)
	}
	steps := []struct {
		what   string
		change func()
	}{
		{"own clock ahead", func() {}},
		{"own clock behind", func() { c.observeOwn(wall-time.Hour, 2*time.Second) }},
		{"clock of a control host jumps", func() { c.observe("c2", wall+40*time.Second, 0, 3*time.Second) }},
		{"slow answer", func() { c.observe("c1", wall+3950*time.Millisecond, 600*time.Millisecond, 4*time.Second) }},
	}
	for _, s := range steps {
		s.change()
		if off := (c.trueTime(10*time.Second) - wall - 10*time.Second).Abs(); off > time.Millisecond {
			t.Errorf("%s: off by %v", s.what, off)
		}
	}
	if c.observe("c1", wall+50*time.Second, 600*time.Millisecond, 5*time.Second); c.sources["c1"].ahead < 40*time.Second {
		t.Error("a jump that a slow answer shows is not taken over")
	}
}

func newTestCounts() *Counts {
	c := NewCounts(5*time.Second, metrics.NewSet())
	c.clock = newClock(1000*5*time.Second, 0) // the start of window 1000 is time 0
	return c
}

// Guards against counts that are lost while no leader takes them, at a change of the leader, or
// before they are recorded.
func TestCountsAreKeptUntilRecorded(t *testing.T) {
	c := newTestCounts()
	want := func(what string, windows map[int64]map[string]int64) {
		t.Helper()
		r := c.report(time.Minute, false)
		if diff := cmp.Diff(windows, r.Windows); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	c.count("a", 4999*time.Millisecond)
	c.count("a", 5*time.Second)
	c.Count("", time.Now()) // on a public route
	all := map[int64]map[string]int64{1000: {"a": 1}, 1001: {"a": 1}}
	want("first report", all)
	c.taken("", 0)
	want("no leader", all)
	c.taken("c1", 0)
	want("taken", map[int64]map[string]int64{})
	c.taken("c1", 0)
	c.count("b", 6*time.Second)
	want("changed", map[int64]map[string]int64{1001: {"a": 1, "b": 1}})
	c.count("b", 6*time.Second) // while the report is under way
	c.taken("c2", 0)
	want("another leader", map[int64]map[string]int64{1000: {"a": 1}, 1001: {"a": 1, "b": 2}})
	c.taken("c2", 1000)
	c.count("a", 0)
	if c.kept() != 1 || c.late.Get() != 1 {
		t.Errorf("%d windows kept, %d requests late after one window was recorded", c.kept(), c.late.Get())
	}
	for i := range 60 { // five minutes without a leader
		c.count("a", time.Duration(i)*5*time.Second+time.Second)
	}
	if c.kept() != 59 || c.lost.Get() != 0 {
		t.Errorf("%d windows kept, %d requests lost", c.kept(), c.lost.Get())
	}
	r := c.report(time.Hour, true)
	if r.Final || len(r.Windows) != maxWindowsPerReport || r.ThroughMS > (1001+maxWindowsPerReport)*5000 {
		t.Errorf("final %v with %d windows through %d: the rest is still to come", r.Final, len(r.Windows), r.ThroughMS)
	}
	for i := range 2 * maxWindows {
		c.count("a", time.Duration(i)*5*time.Second)
	}
	if c.kept() != maxWindows || c.lost.Get() == 0 {
		t.Errorf("%d windows kept, %d requests lost; memory is bounded", c.kept(), c.lost.Get())
	}
}

// noControl is a group of which nothing is known.
type noControl struct{}

func (noControl) Leader() string    { return "" }
func (noControl) Reached() []string { return nil }

// Guards against a stop that waits for a leader that is not there.
func TestFlushWithoutALeaderEnds(t *testing.T) {
	c := newTestCounts()
	c.count("a", 0)
	r := &Reporter{Counts: c, Control: noControl{}, Logger: slog.New(slog.DiscardHandler)}
	start := time.Now()
	r.Flush()
	if took := time.Since(start); took > 2*flushTimeout || !c.hasUnsent() {
		t.Errorf("flush took %v, counts kept: %v", took, c.hasUnsent())
	}
}
