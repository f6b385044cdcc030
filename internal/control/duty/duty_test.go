package duty

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const testLease = 3 * time.Second

// world is a control group in virtual time. A host that is cut off or frozen goes on believing
// that it leads; Confirm tells the truth, with the delay and the freezes of the schedule.
type world struct {
	random *rand.Rand
	now    time.Duration
	term   uint64
	leader int
	hosts  []*testHost
}

// testHost is one host's view of the group. It implements Group.
type testHost struct {
	world  *world
	index  int
	term   uint64 // of the leadership that it believes in, 0 for none
	frozen time.Duration
	holder *Holder
}

// start starts the host's process.
func (h *testHost) start(wait time.Duration) {
	h.term = 0
	h.holder = NewHolder(Options{Host: fmt.Sprint("c", h.index), Lease: testLease, Group: h, Now: func() time.Duration { return h.world.now },
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet()})
	h.holder.tenure.wait = wait
}

func (h *testHost) Leads() (uint64, bool) { return h.term, h.term != 0 }

func (h *testHost) Confirm(context.Context) error {
	if h.world.leader != h.index || h.term != h.world.term {
		return errors.New("no quorum")
	}
	return nil
}

// arrival is a call as the platform sees it.
type arrival struct {
	Call
	at time.Duration
}

// broken returns which rule of the duties a history of arrivals breaks, "" for none.
func broken(history []arrival, lease time.Duration) string {
	slices.SortStableFunc(history, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	holders, highest := map[uint64]string{}, uint64(0)
	for i, a := range history {
		if a.Fence < highest {
			return fmt.Sprintf("token %d after %d at %v", a.Fence, highest, a.at)
		}
		highest = a.Fence
		if other, ok := holders[a.Fence]; ok && other != a.Holder {
			return fmt.Sprintf("token %d of %s and %s", a.Fence, other, a.Holder)
		}
		holders[a.Fence] = a.Holder
		between := false
		for j := i - 1; j >= 0 && a.at-history[j].at < lease; j-- {
			if history[j].Holder != a.Holder {
				between = true
			} else if between {
				return fmt.Sprintf("%s takes turns within %v at %v", a.Holder, lease, a.at)
			}
		}
	}
	return ""
}

// play runs a schedule in which two hosts in turn believe that they lead: kills, cuts and freezes
// at any moment, also between a confirmation and the call.
func play(seed uint64, wait time.Duration) []arrival {
	w := &world{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range 2 {
		w.hosts = append(w.hosts, &testHost{world: w, index: i})
		w.hosts[i].start(wait)
	}
	var history []arrival
	for step := 0; step < 5000; step++ {
		w.now += 20 * time.Millisecond
		if step%50 == 0 && w.random.IntN(4) == 0 { // another election; the former leader does not know
			w.term++
			w.leader = w.random.IntN(len(w.hosts))
			w.hosts[w.leader].term = w.term
		}
		for _, h := range w.hosts {
			if w.now < h.frozen {
				continue
			}
			if w.random.IntN(200) == 0 && h.index != w.leader {
				h.term = 0 // it learns of the election
			}
			if w.random.IntN(1500) == 0 { // its process is killed and starts again, with its disk or without
				h.start(wait)
				if h.index == w.leader && w.random.IntN(2) == 0 {
					w.term++ // the group elects it again at once
					h.term = w.term
				}
			}
			c, ok := h.holder.Hold(context.Background())
			if !ok {
				continue
			}
			sent := w.now
			if w.random.IntN(20) == 0 { // frozen between the confirmation and the call
				sent += time.Duration(w.random.Int64N(int64(8 * time.Second)))
				h.frozen = sent
			}
			thawed := w.now
			w.now = sent
			expired := c.Expired()
			w.now = thawed
			if !expired { // a call that was sent arrives before its timeout
				history = append(history, arrival{c, sent + time.Duration(w.random.Int64N(int64(CallTimeout)))})
			}
		}
	}
	return history
}

// Guards against two holders that both believe they lead: the platform must see no lower token
// after a higher one, no token of two holders, and no A, B, A within the lease.
func TestHoldersThatBothBelieveTheyLeadBreakNoRule(t *testing.T) {
	calls, holders := 0, map[string]bool{}
	for seed := range uint64(100) {
		history := play(seed, testLease+FlightTime)
		if rule := broken(history, testLease); rule != "" {
			t.Errorf("seed %d: %s", seed, rule)
		}
		calls += len(history)
		for _, a := range history {
			holders[a.Holder] = true
		}
	}
	if calls < 10_000 || len(holders) != 2 {
		t.Errorf("%d calls of %d holders: the schedules hold too little", calls, len(holders))
	}
	found := 0
	for seed := range uint64(100) {
		if broken(play(seed, 0), testLease) != "" {
			found++
		}
	}
	if found < 50 {
		t.Errorf("only %d of 100 schedules break a rule without the wait: they show too little", found)
	}
}

// Guards against a call that is sent after a freeze between the confirmation and the call.
func TestCallExpires(t *testing.T) {
	now := time.Hour
	w := &world{term: 4}
	h := &testHost{world: w, term: 4}
	holder := NewHolder(Options{Host: "c0", Lease: testLease, Group: h, Now: func() time.Duration { return now },
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet()})
	if _, ok := holder.Hold(t.Context()); ok {
		t.Error("a new leader holds the duties at once")
	}
	now += testLease + FlightTime
	c, ok := holder.Hold(t.Context())
	if !ok || c.Fence != 4 || c.Holder != "c0" || c.Expired() {
		t.Errorf("after the wait: %+v, %v", c, ok)
	}
	now += sendWindow
	if !c.Expired() {
		t.Error("the call can be sent after its window")
	}
	w.term = 5
	if _, ok := holder.Hold(t.Context()); ok {
		t.Error("held without a quorum")
	}
}
