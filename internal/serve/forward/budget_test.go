package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any window, all hosts together send no more retries than the budget. The budget is
// computed from the requests of that window, the previous one or the one half a window
// earlier, whichever has the most.
func TestAllHostsTogetherStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		s := RetryBudgetSettings{Ratio: 0.2, Slack: 56, Window: window}
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		var budgets []*RetryBudget
		for range hosts {
			budgets = append(budgets, NewRetryBudgets(s, func() int { return hosts }).Of("e"))
		}
		now := time.Unix(1_800_000_000, 0)
		type sent struct {
			at    time.Time
			retry bool
		}
		var log []sent
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			b.CountRequest(now)
			log = append(log, sent{now, false})
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if b.Take(now) {
					log = append(log, sent{now, true})
				}
			}
		}
		count := func(end time.Time, retry bool) float64 {
			n := 0.0
			for _, other := range log {
				if age := end.Sub(other.at); age >= 0 && age < window && other.retry == retry {
					n++
				}
			}
			return n
		}
		for _, end := range log {
			retries := count(end.at, true)
			requests := max(count(end.at, false), count(end.at.Add(-window/2), false), count(end.at.Add(-window), false))
			if retries > s.Ratio*requests+s.Slack {
				t.Fatalf("%v retries for %v requests in a window", retries, requests)
			}
		}
	})
}

func TestBudgetRefillsAfterItsWindow(t *testing.T) {
	b := NewRetryBudgets(RetryBudgetSettings{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, func() int { return 1 }).Of("e")
	now := time.Unix(1_800_000_000, 0)
	taken := 0
	for b.Take(now) {
		taken++
	}
	if taken != 7 {
		t.Errorf("%d retries allowed with a slack of 10, want 7", taken)
	}
	if b.Take(now.Add(9 * time.Second)) {
		t.Error("retry allowed within the window after the budget was used up")
	}
	if !b.Take(now.Add(12 * time.Second)) {
		t.Error("no retry allowed after the window")
	}
}
