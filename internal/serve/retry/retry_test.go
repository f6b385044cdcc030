package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/process/tomltime"
)

// attemptsPerRequest sends n requests to an endpoint that always fails and returns the
// attempts made per request.
func attemptsPerRequest(s Settings, n int, rng *rand.Rand) float64 {
	p := NewPolicy(s)
	attempts := 0
	for range n {
		p.RecordFirst()
		made := 1
		for p.Retry(made, time.Minute, rng.Float64()).Again {
			made++
		}
		attempts += made
	}
	return float64(attempts) / float64(n)
}

func TestOutageStaysWithinBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{500, 5000, 50000} {
		if got := attemptsPerRequest(DefaultSettings(), n, rng); got > 1.1 {
			t.Errorf("%.3f attempts per request over %d requests, want at most 1.1", got, n)
		}
	}
}

func TestVerdicts(t *testing.T) {
	settings := DefaultSettings()
	settings.Backoff = BackoffSettings{Base: tomltime.Of(10 * time.Millisecond), Max: tomltime.Of(40 * time.Millisecond)}
	empty := settings
	empty.Budget = BudgetSettings{}
	tests := []struct {
		name     string
		settings Settings
		made     int
		left     time.Duration
		want     Verdict
	}{
		{"second attempt", settings, 1, time.Second, Verdict{Again: true, Delay: 5 * time.Millisecond}},
		{"third attempt", settings, 2, time.Second, Verdict{Again: true, Delay: 10 * time.Millisecond}},
		{"attempts used up", settings, 3, time.Second, Verdict{Denied: DeniedAttempts}},
		{"no time left", settings, 1, 5 * time.Millisecond, Verdict{Denied: DeniedDeadline}},
		{"budget empty", empty, 1, time.Second, Verdict{Denied: DeniedBudget}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := NewPolicy(tt.settings).Retry(tt.made, tt.left, 0.5); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestBudgetRefillsUpToBurst(t *testing.T) {
	b := NewBudget(BudgetSettings{Ratio: 0.5, Burst: 2})
	taken := func() (n int) {
		for b.Take() {
			n++
		}
		return n
	}
	if got := taken(); got != 2 {
		t.Errorf("took %d from the initial balance, want 2", got)
	}
	for range 100 {
		b.RecordFirst()
	}
	if got := taken(); got != 2 {
		t.Errorf("took %d after 100 first attempts, want the burst of 2", got)
	}
}

func TestBackoffIsBounded(t *testing.T) {
	s := BackoffSettings{Base: tomltime.Of(time.Millisecond), Max: tomltime.Of(time.Second)}
	for n := 1; n < 100; n++ {
		if d := Backoff(s, n, 1); d <= 0 || d > s.Max.Duration {
			t.Fatalf("delay %v before attempt %d", d, n+1)
		}
	}
	if d := Backoff(s, 5, 0); d != 0 {
		t.Errorf("delay %v for the lowest draw, want 0", d)
	}
}

func TestHedge(t *testing.T) {
	s := DefaultSettings()
	s.HedgeAfter = tomltime.Of(0)
	if NewPolicy(s).Hedge(time.Hour) {
		t.Error("hedged although hedging is off")
	}
	s.HedgeAfter = tomltime.Of(time.Second)
	s.Budget = BudgetSettings{Burst: 1}
	p := NewPolicy(s)
	if p.Hedge(time.Millisecond) || !p.Hedge(time.Second) || p.Hedge(time.Second) {
		t.Error("hedging must wait for its delay and stay within its budget")
	}
}

func BenchmarkRetryStorm(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportMetric(attemptsPerRequest(DefaultSettings(), max(b.N, 500), rng), "attempts/request")
}
