package lease

import (
	"testing"
	"time"
)

func TestGate(t *testing.T) {
	held := Lease{Scope: "bio", Holder: h1, Fence: 1, TTL: time.Second}
	released := held
	released.Released = true
	tests := []struct {
		name   string
		seen   *Lease
		at     time.Duration
		cmd    Command
		refuse bool
	}{
		{"nothing seen", nil, 0, acquire(h2), false},
		{"held by another", &held, 999 * time.Millisecond, acquire(h2), true},
		{"held by another, not renewed in time", &held, time.Second, acquire(h2), false},
		{"held by the sender", &held, 0, acquire(h1), false},
		{"released", &released, 0, acquire(h2), false},
		{"renewal", &held, 0, renew(h2, 1), false},
		{"release", &held, 0, release(h2, 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate()
			if tt.seen != nil {
				g.Observe(0, *tt.seen)
			}
			got := g.Refusal(tt.at, tt.cmd)
			if (got != nil) != tt.refuse {
				t.Fatalf("got %v, want refusal %t", got, tt.refuse)
			}
			if got != nil && (got.Code != CodeHeld || got.Remaining <= 0) {
				t.Errorf("got %+v", got)
			}
		})
	}
}
