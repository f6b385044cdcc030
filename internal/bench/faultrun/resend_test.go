package faultrun

import (
	"context"
	"testing"
	"time"

	"filberthook/internal/bench/loadgen"
)

// TestResendIsNotRefusedAsNotRunWithoutClaims guards against a false not run: a booking
// runs and its answer is lost, then it is resent through another entry host that is cut
// off from the control group and cannot know whether the booking ran.
func TestResendIsNotRefusedAsNotRunWithoutClaims(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := StartCluster(ctx, ClusterConfig{Dir: t.TempDir(), Zones: []string{"bio"}, Controls: 1, EntriesPerZone: 2, Logger: discard()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		for _, r := range c.relays {
			r.Heal()
		}
		if err := c.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	}()
	b, err := newBench(c.System(), Sizes{Engines: 1, Services: 1}, newLedger(), discard())
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	running, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(running)
	}()
	defer func() { stop(); <-done }()
	s := newSessions(b, 1)
	defer s.close()
	if err := s.warmUp(ctx); err != nil {
		t.Fatal(err)
	}
	const key = bookingPrefix + "resent"
	book := func(entry int) loadgen.Result {
		return s.callers[entry].CallThrough(ctx, "/services/"+b.sys.Service, bookingPath, key, bookingBody(key))
	}
	b.services[0].service.Faults().LoseAnswers(1)
	if first := book(0); first.Outcome == loadgen.NotRun || !b.ran(key) {
		t.Fatalf("first send = %s (%v), ran %v; want a lost answer of a run", first.Outcome, first.Err, b.ran(key))
	}
	for _, r := range c.entries[1].control {
		r.Cut()
	}
	if resent := book(1); resent.Outcome == loadgen.NotRun {
		t.Errorf("resend of a booking that ran was refused as not run: %v", resent.Err)
	}
}
