package limit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"filberthook/internal/serve/class"
	"filberthook/internal/serve/request"
)

// clock is a manual clock for one goroutine.
type clock struct{ t time.Time }

func newClock() *clock               { return &clock{t: time.Unix(1000, 0)} }
func (c *clock) now() time.Time      { return c.t }
func (c *clock) add(d time.Duration) { c.t = c.t.Add(d) }

func testGate(slots int) GateSettings {
	return GateSettings{
		Slots:     slots,
		Shares:    [class.Count]float64{1, 1, 1, 1},
		Queue:     [class.Count]int{40, 40, 40, 40},
		Weights:   [class.Count]int{8, 4, 2, 1},
		TeamShare: 0.5,
	}
}

// mustEnter queues a request and returns its waiter.
func mustEnter(t *testing.T, g *Gate, team string, class class.Class) *waiter {
	t.Helper()
	w, refusal := g.enter(context.Background(), team, class)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return w
}

// freeSlot frees one slot and returns the waiter that was granted it.
func freeSlot(g *Gate, waiters []*waiter) *waiter {
	g.release()
	for _, w := range waiters {
		select {
		case <-w.granted:
			w.granted = make(chan struct{}) // so that later calls do not find this waiter again
			return w
		default:
		}
	}
	return nil
}

func TestClassesAreServedByWeight(t *testing.T) {
	g := NewGate(testGate(1), newClock().now)
	mustEnter(t, g, "t", class.Status) // takes the slot
	var waiters []*waiter
	for c := range class.Class(class.Count) {
		for i := range 30 {
			waiters = append(waiters, mustEnter(t, g, fmt.Sprintf("t%d", i%2), c))
		}
	}
	var served [class.Count]int
	for range 30 {
		served[freeSlot(g, waiters).class]++
	}
	if want := [class.Count]int{16, 8, 4, 2}; served != want {
		t.Errorf("served %v of the classes, want %v", served, want)
	}
}

// TestSharesReserveSlotsForUrgentClasses fills a gate with the least urgent class:
// it gets its share of the slots, and the rest stay free for status reads.
func TestSharesReserveSlotsForUrgentClasses(t *testing.T) {
	settings := testGate(10)
	settings.Shares = [class.Count]float64{1, 0.9, 0.75, 0.5}
	g := NewGate(settings, newClock().now)
	fill := func(class class.Class, want int) {
		t.Helper()
		entered := 0
		for mustEnter(t, g, "t", class) == nil {
			entered++
		}
		if entered != want {
			t.Errorf("%d of class %s entered at once, want %d", entered, class, want)
		}
	}
	fill(class.Lookup, 5)
	fill(class.Status, 5)
	for range 6 {
		g.release()
	}
	// The waiting status read got a slot; the lookup needs one more free slot.
	if used, waiting := g.Load(); used != 5 || waiting != 1 {
		t.Errorf("%d used and %d waiting, want 5 and 1", used, waiting)
	}
	g.release()
	if used, waiting := g.Load(); used != 5 || waiting != 0 {
		t.Errorf("%d used and %d waiting, want 5 and 0", used, waiting)
	}
}

func TestTeamsTakeTurns(t *testing.T) {
	g := NewGate(testGate(1), newClock().now)
	mustEnter(t, g, "x", class.Check)
	var waiters []*waiter
	for range 20 {
		waiters = append(waiters, mustEnter(t, g, "busy", class.Check))
	}
	waiters = append(waiters, mustEnter(t, g, "small", class.Check))
	if first, second := freeSlot(g, waiters), freeSlot(g, waiters); first.team != "busy" || second.team != "small" {
		t.Errorf("served %s then %s, want busy then small", first.team, second.team)
	}
}

func TestGateRefusals(t *testing.T) {
	fill := func(teams, each int) func(*testing.T, *Gate, *clock) {
		return func(t *testing.T, g *Gate, _ *clock) {
			for i := range teams {
				for range each {
					mustEnter(t, g, fmt.Sprintf("t%d", i), class.Check)
				}
			}
		}
	}
	slowDrain := func(t *testing.T, g *Gate, c *clock) {
		mustEnter(t, g, "a", class.Check)
		mustEnter(t, g, "a", class.Check)
		c.add(10 * time.Second)
		g.release()
	}
	tests := []struct {
		name  string
		setup func(*testing.T, *Gate, *clock)
		left  time.Duration
		team  string
		want  request.Code
	}{
		{"room in the queue", fill(2, 19), time.Minute, "t0", ""},
		{"queue full", fill(2, 20), time.Minute, "t9", request.QueueFull},
		{"team's share full", fill(1, 20), time.Minute, "t0", request.TeamConcurrency},
		{"other team beside a full share", fill(1, 20), time.Minute, "t9", ""},
		{"expected wait beyond the deadline", slowDrain, time.Second, "b", request.DeadlineUnreachable},
		{"expected wait within the deadline", slowDrain, time.Minute, "b", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newClock()
			g := NewGate(testGate(1), c.now)
			mustEnter(t, g, "holder", class.Check)
			tt.setup(t, g, c)
			ctx, cancel := context.WithDeadline(context.Background(), c.t.Add(tt.left))
			defer cancel()
			_, refusal := g.enter(ctx, tt.team, class.Check)
			var got request.Code
			if refusal != nil {
				got = refusal.Code
			}
			if got != tt.want {
				t.Errorf("refused with %q, want %q", got, tt.want)
			}
			if refusal != nil && (refusal.Disposition != request.NotRun || refusal.RetryAfter <= 0) {
				t.Errorf("refusal %+v must say not_run and when to retry", refusal)
			}
		})
	}
}

func TestCancelledWaiterIsRemoved(t *testing.T) {
	g := NewGate(testGate(1), time.Now)
	release, _ := g.Acquire(context.Background(), "a", class.Check)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, refusal := g.Acquire(ctx, "b", class.Check); refusal == nil {
		t.Fatal("granted a slot although none was free")
	}
	if used, waiting := g.Load(); used != 1 || waiting != 0 {
		t.Errorf("%d used and %d waiting, want 1 and 0", used, waiting)
	}
	release()
	release()
	if used, _ := g.Load(); used != 0 {
		t.Errorf("%d used after a double release, want 0", used)
	}
}

func TestTeamLimits(t *testing.T) {
	c := newClock()
	teams := NewTeams(c.now)
	s := TeamSettings{Concurrency: 2, TokensPerSecond: 10, TokenBurst: 100}
	want := func(tokens int, code request.Code) {
		t.Helper()
		refusal := teams.Begin("t", s, tokens)
		if refusal == nil && code == "" {
			return
		}
		if refusal == nil || refusal.Code != code {
			t.Fatalf("%v, want %q", refusal, code)
		}
	}
	want(60, "")
	want(60, request.TeamTokenRate)
	want(40, "")
	want(0, request.TeamConcurrency)
	teams.End("t", 50) // charged to later requests
	c.add(5 * time.Second)
	want(1, request.TeamTokenRate)
	c.add(5 * time.Second)
	want(50, "")
	if teams.Begin("other", s, 100) != nil {
		t.Error("tokens of one team were charged to another team")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory(10)
	if !m.Take(6) || m.Take(5) || !m.Take(4) {
		t.Error("the limit of 10 bytes was not enforced")
	}
	m.Return(6)
	if m.Used() != 4 {
		t.Errorf("%d bytes used, want 4", m.Used())
	}
}

func BenchmarkGate(b *testing.B) {
	g := NewGate(DefaultGate(), time.Now)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, refusal := g.Acquire(context.Background(), "t", class.Check)
			if refusal == nil {
				release()
			}
		}
	})
}
