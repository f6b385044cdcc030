package controlwatch

import (
	"testing"
	"time"
)

func TestHostCountOutlastsARestartOfControlHosts(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	type step struct {
		at     time.Duration
		report int // -1 for none
		want   int
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"unknown at the start", []step{{0, -1, 0}, {time.Second, 0, 0}, {2 * time.Second, 294, 294}}},
		{"a control host has restarted", []step{{0, 294, 294}, {time.Second, 0, 294}, {2 * time.Second, 3, 294}, {3 * time.Second, 294, 294}}},
		{"hosts are added", []step{{0, 294, 294}, {time.Second, 300, 300}}},
		{"hosts are removed", []step{{0, 294, 294}, {9 * time.Second, 200, 294}, {11 * time.Second, 200, 294}, {22 * time.Second, 200, 200}}},
		{"no control host is reachable", []step{{0, 294, 294}, {time.Hour, -1, 294}, {2 * time.Hour, -1, 294}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c hostCount
			for _, s := range tt.steps {
				if s.report >= 0 {
					c.report(s.report, start.Add(s.at))
				}
				if got := c.highest(start.Add(s.at)); got != s.want {
					t.Errorf("%v after a report of %d: %d hosts, want %d", s.at, s.report, got, s.want)
				}
			}
		})
	}
}
