package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever instances do with a request, the budget is charged for exactly the arrivals
// beyond the first as the platform counts them: every call but the first prefill that an
// engine accepts, less one.
func TestChargesEqualArrivalsBeyondTheFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack := rapid.Float64Range(0, 20).Draw(t, "slack")
		budget := NewRetryBudgets(RetryBudgetSettings{Slack: slack, Window: 10 * time.Second}, func() int { return 1 }).Of("e")
		now := time.Unix(1_800_000_000, 0)
		a := arrivals{budget: budget}
		arrived, firstAccepted := 0, false
		arrive := func(prefill bool) (accepted bool) {
			a.sending()
			switch rapid.SampledFrom([]string{"accepted", "refused", "lost", "not sent"}).Draw(t, "outcome") {
			case "not sent":
				a.notSent()
			case "accepted":
				accepted = true
				if prefill {
					a.prefillAccepted()
				}
				if prefill && !firstAccepted {
					firstAccepted = true
				} else {
					arrived++
				}
			default:
				arrived++
			}
			return accepted
		}
		for range rapid.IntRange(1, 12).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "prefill") {
				if !a.reservePrefill(now) {
					break
				}
				if !arrive(true) || !a.reserve(1, now) {
					continue
				}
			} else if !a.reserve(1, now) {
				break
			}
			arrive(false)
			if rapid.Bool().Draw(t, "failover") {
				a.reserve(1, now)
			}
		}
		a.settle()
		if charged, beyond := int(sum(budget.retries)), max(0, arrived-1); charged != beyond {
			t.Fatalf("charged %d, %d arrivals beyond the first", charged, beyond)
		}
	})
}

// A charge that is returned after its slot has expired must not extend the budget.
func TestExpiredChargeIsNotReturned(t *testing.T) {
	b := NewRetryBudgets(RetryBudgetSettings{Slack: 10, Window: 10 * time.Second}, func() int { return 1 }).Of("e")
	now := time.Unix(1_800_000_000, 0)
	taken, _ := b.take(1, now)
	b.CountRequest(now.Add(12 * time.Second))
	b.refund(taken)
	if left := sum(b.retries); left != 0 {
		t.Errorf("%v retries counted after an expired charge was returned, want 0", left)
	}
}

// A host that does not know how many hosts share the slack uses none of it: after a
// restart of all hosts at once each would otherwise take the whole.
func TestUnknownNumberOfHostsGivesNoSlack(t *testing.T) {
	hosts := 0
	b := NewRetryBudgets(RetryBudgetSettings{Ratio: 0.2, Slack: 628, Window: 10 * time.Second}, func() int { return hosts }).Of("e")
	now := time.Unix(1_800_000_000, 0)
	if b.Take(now) {
		t.Error("a retry was allowed before the number of hosts is known")
	}
	hosts = 294
	if !b.Take(now) {
		t.Error("no retry allowed with a share of the slack of 2.1")
	}
}
