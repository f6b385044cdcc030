package controlhost

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/duty"
	"filberthook/internal/control/usagereport"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/serve/usage"
)

// recordedReports stands in for the platform: every third report is taken though its answer is lost.
type recordedReports struct {
	mu      sync.Mutex
	calls   []recordedReport
	windows map[int64]map[string]int64
	problem error
}

type recordedReport struct {
	duty.Call
	at time.Time
}

func (r *recordedReports) ReportUsage(_ context.Context, c duty.Call, window int64, counts map[string]int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, recordedReport{c, time.Now()})
	if first, ok := r.windows[window]; ok && !maps.Equal(first, counts) {
		r.problem = fmt.Errorf("window %d: %v of %s after %v", window, counts, c.Holder, first)
	}
	r.windows[window] = counts
	if len(r.calls)%3 == 0 {
		return errors.New("answer lost")
	}
	return nil
}

func (r *recordedReports) OrderInstances(context.Context, duty.Call, duty.Order) error { return nil }

func (r *recordedReports) total(account string) (sum int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, counts := range r.windows {
		sum += counts[account]
	}
	return sum
}

func (r *recordedReports) tokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[uint64]bool{}
	for _, c := range r.calls {
		seen[c.Fence] = true
	}
	return len(seen)
}

// Guards against requests that are lost, counted twice or reported differently when leaders are
// replaced and disks lost, and against holders that take turns within the lease.
func TestUsageIsReportedOnceThroughReplacedLeadersAndLostDisks(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	api := &recordedReports{windows: map[int64]map[string]int64{}}
	window, late := time.Second, 5*time.Second
	g.prepare = func(_ int, m *membership) {
		m.host.settings.Usage = Usage{Window: tomltime.Of(window), Late: tomltime.Of(late)}
		m.host.usage = usagereport.NewCollector(m.host.epoch, usagereport.Windows{Length: window, Late: late})
		m.host.UseDuties(api, duty.Set{UsageReports: true})
	}
	for n := 1; n <= 4; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[4].host, 1, "one")
	w, _ := startEntryHost(t, g, 1, 2, 3, 4)
	clients := raftnet.NewPool(controlapi.PeerOptions(peer.Identity{Host: "e", Zone: "z"}, false, metrics.NewSet(), slog.New(slog.DiscardHandler)))
	defer clients.Close()
	counts := usage.NewCounts(window, metrics.NewSet())
	entry := usage.Reporter{Counts: counts, Control: w, Clients: clients, Logger: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { entry.Run(ctx) })
	sent := int64(0)
	count := func() {
		counts.Count("a", time.Now())
		sent++
	}
	for replaced := 0; replaced < 3; replaced++ {
		eventually(t, 40*time.Second, "a report of the next leader", func() bool { count(); return api.tokens() > replaced })
		for n := 1; n <= 4 && replaced < 2; n++ {
			if _, leads := g.nodes[n].host.membership.Leads(); leads {
				g.stop(n)
				g.wipe(n)
				g.start(n, false)
				break
			}
		}
	}
	eventually(t, 40*time.Second, "all requests reported", func() bool { return api.total("a") == sent })
	api.mu.Lock()
	defer api.mu.Unlock()
	if api.problem != nil {
		t.Error(api.problem)
	}
	for i := 1; i < len(api.calls); i++ {
		before, c := api.calls[i-1], api.calls[i]
		if c.Fence < before.Fence || c.Fence == before.Fence && c.Holder != before.Holder ||
			c.Holder != before.Holder && c.at.Sub(before.at) < g.stages.Lease.Duration {
			t.Errorf("call %d of %s with token %d, %v after one of %s with token %d", i, c.Holder, c.Fence, c.at.Sub(before.at), before.Holder, before.Fence)
		}
	}
}
