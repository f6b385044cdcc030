package controlhost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"filberthook/internal/control/stagereconciler"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
)

// recordedOrders are the orders that engines got. The engines never report another stage, so each
// leader orders it again.
type recordedOrders struct {
	mu     sync.Mutex
	orders []recordedOrder
}

type recordedOrder struct {
	stagereconciler.Order
	at time.Time
}

func (r *recordedOrders) SetStage(_ context.Context, o stagereconciler.Order) (bool, notice.Notice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, recordedOrder{o, time.Now()})
	return true, notice.Notice{}, nil
}

func (r *recordedOrders) holders() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{}
	for _, o := range r.orders {
		out[o.Holder] = true
	}
	return out
}

func TestOrdersOfReplacedLeadersNeverTakeTurnsWithinTheLease(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	orders := &recordedOrders{}
	g.heartbeat, g.engines = time.Minute, orders
	g.stages.ExpectedPromptTokens, g.stages.ExpectedOutputTokens = 50_000, 100
	for n := 1; n <= 4; n++ {
		h := g.start(n, true)
		for i := range 4 {
			in := sound(i, 1)
			in.ID, in.Stage, in.Zone = fmt.Sprint("e", i), instances.Decode, "z1"
			if err := h.Announce(t.Context(), in); err != nil {
				t.Fatal(err)
			}
		}
	}
	accept(t, g.nodes[4].host, 1, "one")
	for ended := 0; ended < 3; ended++ {
		eventually(t, 30*time.Second, "an order of the next leader", func() bool { return len(orders.holders()) > ended })
		if ended == 2 {
			break
		}
		for n := 1; n <= 4; n++ {
			if _, leads := g.nodes[n].host.membership.Leads(); leads {
				g.stop(n) // hands the leadership over at once
				break
			}
		}
	}
	orders.mu.Lock()
	defer orders.mu.Unlock()
	for i := 1; i < len(orders.orders); i++ {
		before, o := orders.orders[i-1], orders.orders[i]
		switch gap := o.at.Sub(before.at); {
		case o.Holder == before.Holder && o.Fence < before.Fence:
			t.Errorf("order %d: %s went from fence %d to %d", i, o.Holder, before.Fence, o.Fence)
		case o.Holder != before.Holder && o.Fence <= before.Fence:
			t.Errorf("order %d: %s has fence %d after fence %d of %s", i, o.Holder, o.Fence, before.Fence, before.Holder)
		case o.Holder != before.Holder && gap < g.stages.Lease.Duration:
			t.Errorf("order %d: %s follows %s after %v", i, o.Holder, before.Holder, gap)
		case o.Holder != before.Holder:
			t.Logf("%s follows %s after %v", o.Holder, before.Holder, gap)
		}
	}
}
