package authority

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/control/lease"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// takeover is long enough for a lease to expire, to be granted again and to settle.
const takeover = DefaultTTL + FlightTime + 4*time.Second

func TestOrderRunsOnceAndEnds(t *testing.T) {
	runInZone(t, true, func(t *testing.T, w *testZone, a, b *host) {
		a.order(t, setRole(engineapi.RoleDecode))
		var busy *BusyError
		if _, err := a.manager.Order(context.Background(), "e1", setRole(engineapi.RolePrefill)); !errors.As(err, &busy) {
			t.Errorf("a second order gave %v, want a busy engine", err)
		}
		var notHolder *NotHolderError
		if _, err := b.manager.Order(context.Background(), "e1", setRole(engineapi.RolePrefill)); !errors.As(err, &notHolder) {
			t.Errorf("an order of the other host gave %v", err)
		}
		advance(10 * time.Second)
		if diff := cmp.Diff([]Outcome{OutcomeDone}, a.outcomes()); diff != "" {
			t.Error(diff)
		}
		if role := w.role("e1"); role != engineapi.RoleDecode {
			t.Errorf("role %s", role)
		}
		if c := w.counts("e1"); c.Conflicts != 0 {
			t.Errorf("counts %+v", c)
		}
	})
}

func TestLostAnswersRunTheOrderOnce(t *testing.T) {
	runInZone(t, true, func(t *testing.T, w *testZone, a, _ *host) {
		before := w.counts("e1").Accepted
		a.set(func(h *host) { h.lostAnswers = 3 })
		if _, err := a.manager.Order(context.Background(), "e1", setRole(engineapi.RoleDecode)); err == nil {
			t.Fatal("an order whose answer was lost returned no error")
		}
		advance(10 * time.Second)
		if c := w.counts("e1"); c.Accepted != before+1 || c.Conflicts != 0 {
			t.Errorf("counts %+v, want one more than %d accepted", c, before)
		}
		if diff := cmp.Diff([]Outcome{OutcomeDone}, a.outcomes()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCrashInTheMiddleOfAnOrder(t *testing.T) {
	runInZone(t, false, func(t *testing.T, w *testZone, a, _ *host) {
		a.order(t, setRole(engineapi.RoleDecode))
		advance(time.Second)
		w.crash("e1")
		advance(2 * time.Second)
		if diff := cmp.Diff([]Outcome{OutcomeCrashed}, a.outcomes()); diff != "" {
			t.Error(diff)
		}
		a.order(t, setRole(engineapi.RoleDecode)) // repeated by the planner
		advance(10 * time.Second)
		if role := w.role("e1"); role != engineapi.RoleDecode {
			t.Errorf("role %s after the repeated order", role)
		}
	})
}

// TestCrashWithoutAnnouncement checks that a crash is detected before the engine announces
// its new incarnation, because the engine no longer knows the order.
func TestCrashWithoutAnnouncement(t *testing.T) {
	runInZone(t, true, func(t *testing.T, w *testZone, a, _ *host) {
		a.order(t, setRole(engineapi.RoleDecode))
		advance(time.Second)
		w.mu.Lock()
		e := w.engines["e1"]
		e.config.Incarnation++
		e.model = enginemodel.New(e.config)
		w.mu.Unlock()
		advance(2 * time.Second)
		if diff := cmp.Diff([]Outcome{OutcomeCrashed}, a.outcomes()); diff != "" {
			t.Error(diff)
		}
		if _, err := a.manager.Order(context.Background(), "e1", setRole(engineapi.RoleDecode)); err == nil {
			t.Error("an order was sent to an engine whose state is not known")
		}
	})
}

func TestSuccessorWaitsAndRepairs(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(caseName(checksFence), func(t *testing.T) {
			runInZone(t, checksFence, func(t *testing.T, w *testZone, a, b *host) {
				a.set(func(h *host) { h.partitioned = true })
				for a.holding() {
					advance(50 * time.Millisecond)
				}
				if b.holding() {
					t.Fatal("two holders at once")
				}
				for !b.holding() {
					advance(50 * time.Millisecond)
				}
				var settling *SettlingError
				if _, err := b.manager.Order(context.Background(), "e1", setRole(engineapi.RoleDecode)); !errors.As(err, &settling) {
					t.Errorf("an order right after the takeover gave %v", err)
				}
				advance(takeover)
				b.order(t, setRole(engineapi.RoleDecode))
				advance(10 * time.Second)
				if c := w.counts("e1"); c.Conflicts != 0 || c.StaleTaken != 0 {
					t.Errorf("counts %+v", c)
				}
			})
		})
	}
}

// TestTakeoverDuringAnOrder takes the lease over while an engine still executes an
// order of the former holder.
func TestTakeoverDuringAnOrder(t *testing.T) {
	runInZone(t, false, func(t *testing.T, w *testZone, a, b *host) {
		w.mu.Lock()
		w.engines["e1"].config.RoleChange = time.Minute
		w.mu.Unlock()
		w.crash("e1") // the restarted engine uses the new duration
		advance(2 * time.Second)
		a.order(t, setRole(engineapi.RoleDecode))
		a.set(func(h *host) { h.partitioned = true })
		advance(takeover)
		var busy *BusyError
		if _, err := b.manager.Order(context.Background(), "e1", setRole(engineapi.RolePrefill)); !errors.As(err, &busy) {
			t.Errorf("an order during the predecessor's gave %v", err)
		}
		advance(time.Minute)
		b.order(t, setRole(engineapi.RolePrefill))
		if c := w.counts("e1"); c.Conflicts != 0 || c.StaleTaken != 0 {
			t.Errorf("counts %+v", c)
		}
	})
}

// TestPausedBetweenCheckAndSend pauses the holder after its last lease check for much
// longer than the lease. An engine that checks fencing numbers refuses the late
// order. One that does not executes it, which leases alone cannot prevent; the
// successor sees the result and corrects it.
func TestPausedBetweenCheckAndSend(t *testing.T) {
	const pause = takeover + 20*time.Second
	for _, checksFence := range []bool{true, false} {
		t.Run(caseName(checksFence), func(t *testing.T) {
			runInZone(t, checksFence, func(t *testing.T, w *testZone, a, b *host) {
				a.set(func(h *host) { h.pause, h.partitioned = pause, true })
				go a.manager.Order(context.Background(), "e1", setRole(engineapi.RolePrefill))
				advance(takeover)
				b.order(t, setRole(engineapi.RoleDecode))
				advance(pause - takeover - time.Second)
				if role := w.role("e1"); role != engineapi.RoleDecode {
					t.Fatalf("role %s before the late order", role)
				}
				advance(20 * time.Second)
				c := w.counts("e1")
				if checksFence {
					if c.OldFence == 0 || c.StaleTaken != 0 || w.role("e1") != engineapi.RoleDecode {
						t.Errorf("counts %+v, role %s; want the late order refused", c, w.role("e1"))
					}
					return
				}
				if c.StaleTaken != 1 {
					t.Fatalf("counts %+v, want the late order taken", c)
				}
				if v := b.manager.Views()[0]; !v.Known || v.State.Role != engineapi.RolePrefill {
					t.Fatalf("the successor sees %+v, want the deviation", v.State)
				}
				b.order(t, setRole(engineapi.RoleDecode))
				advance(10 * time.Second)
				if role := w.role("e1"); role != engineapi.RoleDecode {
					t.Errorf("role %s after the repair", role)
				}
			})
		})
	}
}

// TestLateOrderAfterATakeoverWithoutOrders delivers an order of the former holder after
// a takeover in which the successor sent no order of its own.
func TestLateOrderAfterATakeoverWithoutOrders(t *testing.T) {
	runInZone(t, true, func(t *testing.T, w *testZone, a, _ *host) {
		a.set(func(h *host) { h.pause, h.partitioned = takeover+20*time.Second, true })
		go a.manager.Order(context.Background(), "e1", setRole(engineapi.RolePrefill))
		advance(takeover + 40*time.Second)
		if c := w.counts("e1"); c.OldFence == 0 || w.role("e1") != engineapi.RoleMixed {
			t.Errorf("counts %+v, role %s; want the late order refused", c, w.role("e1"))
		}
	})
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	runInZone(t, false, func(t *testing.T, _ *testZone, a, b *host) {
		a.set(func(h *host) { h.partitioned = false })
		if err := a.manager.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
		if a.holding() {
			t.Error("the lease is still held after its release")
		}
		for i := 0; !b.holding() && !a.holding() && i < 100; i++ {
			advance(100 * time.Millisecond)
		}
		next := a
		if b.holding() {
			next = b
		}
		advance(time.Second)
		next.order(t, setRole(engineapi.RoleDecode)) // without settling
	})
}

// runRandomFaults runs two hosts that keep sending orders under random partitions and
// delays below the flight time, and reports whether both held the lease at once.
func runRandomFaults(t *testing.T, seed uint64, checksFence bool, wrap func(Granter) Granter) (w *testZone, overlap bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		ctx, cancel := context.WithCancel(context.Background())
		w = newTestZone()
		w.addEngine("e1", checksFence)
		hosts := []*host{w.addHostWith(ctx, "a", wrap), w.addHostWith(ctx, "b", wrap)}
		roles := []engineapi.Role{engineapi.RoleMixed, engineapi.RoleDecode, engineapi.RolePrefill}
		for range 400 {
			h := hosts[random.IntN(2)]
			h.set(func(h *host) {
				h.partitioned = random.IntN(3) == 0
				h.delay = time.Duration(random.IntN(int(StartDeadline)))
				h.lostAnswers = random.IntN(2)
			})
			if random.IntN(20) == 0 {
				w.crash("e1")
			}
			role := roles[random.IntN(len(roles))]
			go h.manager.Order(ctx, "e1", setRole(role))
			time.Sleep(time.Duration(random.IntN(int(2 * time.Second))))
			overlap = overlap || hosts[0].holding() && hosts[1].holding()
		}
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
	return w, overlap
}

// seeds returns the number of seeds to run, 15 unless FILBERTHOOK_SEEDS is set.
func seeds(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("FILBERTHOOK_SEEDS")
	if text == "" {
		return 15
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("FILBERTHOOK_SEEDS: %v", err)
	}
	return n
}

func TestRandomPartitionsAndDelays(t *testing.T) {
	accepted := 0
	for _, checksFence := range []bool{true, false} {
		for seed := range seeds(t) {
			w, overlap := runRandomFaults(t, seed, checksFence, func(g Granter) Granter { return g })
			c := w.engines["e1"].counts()
			accepted += c.Accepted
			if overlap {
				t.Errorf("%s, seed %d: two holders at once", caseName(checksFence), seed)
			}
			if c.Conflicts != 0 || c.StaleTaken != 0 {
				t.Errorf("%s, seed %d: conflicting or stale orders: %+v", caseName(checksFence), seed, c)
			}
		}
	}
	if accepted < 500 {
		t.Errorf("only %d orders were accepted; the test does not exercise the sender", accepted)
	}
}

// alwaysGranter grants every request for a lease.
type alwaysGranter struct{}

// Lease implements Granter.
func (alwaysGranter) Lease(context.Context, lease.Command) (lease.Result, error) {
	time.Sleep(time.Millisecond)
	return lease.Result{Fence: 1}, nil
}

// TestOverlappingGrantsAreDetected shows that the checks of
// TestRandomPartitionsAndDelays can fail.
func TestOverlappingGrantsAreDetected(t *testing.T) {
	w, overlap := runRandomFaults(t, 1, false, func(Granter) Granter { return alwaysGranter{} })
	if !overlap {
		t.Error("two holders at once were not detected")
	}
	if c := w.engines["e1"].counts(); c.Conflicts == 0 {
		t.Errorf("conflicting orders were not detected: %+v", c)
	}
}
