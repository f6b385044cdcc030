package faultrun

import (
	"context"
	"testing"
	"time"

	"filberthook/internal/bench/loadgen"
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

func TestStormsCountArrivals(t *testing.T) {
	sys := System{Entries: []Entry{newFakeEntry(t)}, Endpoint: testModel, Model: testModel, Service: testService}
	cfg := StormConfig{Engines: 2, Rate: 500, Calls: 20, Timeout: time.Second, Seed: 1}
	storms := make(map[Outage]Storm)
	b, err := newBench(sys, Sizes{Engines: cfg.Engines, Services: 1}, newLedger(), discard())
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(ctx)
	}()
	defer func() { stop(); <-done }()
	s := newSessions(b, 1)
	defer s.close()
	if err := s.warmUp(ctx); err != nil {
		t.Fatal(err)
	}
	for _, o := range []Outage{NoOutage, AllCrashed} {
		b.beginOutage(o)
		storms[o] = b.storm(ctx, cfg, o, 1)
		b.endOutage(o)
	}
	if got := storms[NoOutage]; got.Amplification() != 1 || got.Outcomes[loadgen.Whole] != cfg.Calls {
		t.Errorf("without an outage: %+v, want each call whole and one arrival each", got)
	}
	if got := storms[AllCrashed]; got.Amplification() != 1 || got.Outcomes[loadgen.Whole] != 0 {
		t.Errorf("all crashed: %+v, want no call whole and one arrival each", got)
	}
}
