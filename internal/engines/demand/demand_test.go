package demand

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestMeterTakesRates(t *testing.T) {
	var m Meter
	m.Add(1000, 400, 50)
	m.Add(200, 300, 10)
	want := Rates{Requests: 1, PromptTokens: 300, OutputTokens: 30, ContextTokens: 630}
	if diff := cmp.Diff(want, m.TakeRates(2*time.Second)); diff != "" {
		t.Errorf("rates (-want +got):\n%s", diff)
	}
	if got := m.TakeRates(3 * time.Second); got != (Rates{}) {
		t.Errorf("second take %+v, want none", got)
	}
}

func TestAggregator(t *testing.T) {
	a := NewAggregator()
	report := func(host string, incarnation, seq uint64, made time.Duration, requests float64) Report {
		return Report{Host: host, Incarnation: incarnation, Sequence: seq, MadeAt: made, Rates: Rates{Requests: requests}}
	}
	cases := []struct {
		name     string
		r        Report
		accepted bool
	}{
		{"first", report("a", 1, 5, 0, 10), true},
		{"again", report("a", 1, 5, 0, 10), false},
		{"older", report("a", 1, 4, 0, 99), false},
		{"restarted host", report("a", 2, 1, time.Second, 20), true},
		{"other host", report("b", 1, 1, time.Second, 3), true},
		{"too old", report("c", 1, 1, -MaxAge, 7), false},
	}
	for _, tc := range cases {
		if got := a.Put(time.Second, tc.r); got != tc.accepted {
			t.Errorf("%s: accepted %v, want %v", tc.name, got, tc.accepted)
		}
	}
	if sum, n := a.Total(2 * time.Second); sum.Requests != 23 || n != 2 {
		t.Errorf("total %v of %d hosts, want 23 of 2", sum.Requests, n)
	}
	if sum, n := a.Total(time.Minute); sum.Requests != 0 || n != 0 {
		t.Errorf("total %v of %d hosts after a minute, want none", sum.Requests, n)
	}
}
