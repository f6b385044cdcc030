package faultrun

import (
	"context"
	"testing"
	"time"
)

// TestClusterWithoutFaultsIsClean runs the real entry hosts and control
// replicas without any fault.
func TestClusterWithoutFaultsIsClean(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := StartCluster(ctx, ClusterConfig{Dir: t.TempDir(), Zones: []string{"bio", "sdr"}, Controls: 1, EntriesPerZone: 1, Logger: discard()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := c.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	}()
	report, err := runPlan(ctx, Config{Seed: 1, Engines: 2, Services: 2, Callers: 12}, c.System(), nil, discard())
	if err != nil || report.Violations.Sum() != 0 || report.Bookings.Whole == 0 || report.Chats.Whole == 0 {
		t.Errorf("report = %+v, %v; want whole calls and no violation", report, err)
	}
}
