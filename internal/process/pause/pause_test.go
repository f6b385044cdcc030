package pause

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{"passes", context.Background(), time.Millisecond, true},
		{"nothing to wait for", context.Background(), -time.Second, true},
		{"context ended", ended, time.Hour, false},
		{"context ended, nothing to wait for", ended, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := For(tc.ctx, tc.d); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
