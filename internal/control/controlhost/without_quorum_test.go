package controlhost

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/controlwatch"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/raftnet"
)

// entryConfiguration holds the newest version that it was offered, as that of an entry host does,
// and the first one.
type entryConfiguration struct {
	mu             sync.Mutex
	version, first uint64
}

func (c *entryConfiguration) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *entryConfiguration) Offer(d document.Document, _ string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = max(c.version, d.Version)
	if c.first == 0 {
		c.first = d.Version
	}
	return nil
}

// startEntryHost runs an entry host's watcher with control hosts as seeds until the test ends.
func startEntryHost(t *testing.T, g *group, seeds ...int) (*controlwatch.Watcher, *entryConfiguration) {
	t.Helper()
	var addresses []string
	for _, n := range seeds {
		addresses = append(addresses, g.address(n, peersPort))
	}
	clients := raftnet.NewPool(controlapi.PeerOptions(peer.Identity{Host: "e", Zone: "z"}, false, metrics.NewSet(), slog.New(slog.DiscardHandler)))
	config := &entryConfiguration{}
	w := controlwatch.New(clients, instances.NewView(time.Second), config, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx, func() []string { return addresses }) })
	t.Cleanup(func() { stop(); running.Wait(); clients.Close() })
	return w, config
}

// stopAll stops hosts at the same time.
func (g *group) stopAll(hosts ...int) {
	var running sync.WaitGroup
	for _, n := range hosts {
		running.Go(func() { g.stop(n) })
	}
	running.Wait()
}

func TestEntryHostThatStartsBesideACutOffControlHostUsesTheVersionInForce(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	accept(t, g.nodes[1].host, 2, "two")
	h := g.nodes[2].host
	eventually(t, 10*time.Second, "the version is confirmed as the newest", func() bool {
		resp, err := h.serveDocument(t.Context(), controlapi.DocumentRequest{Confirm: true})
		return err == nil && resp.Confirmed && resp.Version == 2
	})
	g.stopAll(1, 3)
	resp, err := h.serveDocument(t.Context(), controlapi.DocumentRequest{Confirm: true})
	if err != nil || resp.Confirmed || resp.Version != 2 {
		t.Errorf("without a quorum: version %d, confirmed %t, %v; want version 2, not confirmed", resp.Version, resp.Confirmed, err)
	}
	_, config := startEntryHost(t, g, 1, 2, 3)
	eventually(t, 10*time.Second, "version 2 at the entry host", func() bool { return config.Version() == 2 })
}

func TestEntryHostThatStartsBesideAMinorityOfKilledControlHostsUsesTheNewestVersion(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 4; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	g.waitCommittedOnDisk(4, 1)
	g.stop(4)
	accept(t, g.nodes[1].host, 2, "two")
	g.waitCommittedOnDisk(1, 2)
	g.stopAll(1, 2, 3)
	g.wipe(3)
	for _, n := range []int{1, 3, 4} {
		g.start(n, false)
	}
	eventually(t, 10*time.Second, "the hosts know what their disks hold", func() bool {
		return g.nodes[1].host.currentVersion() == 2 && g.nodes[4].host.currentVersion() == 1
	})
	without, none := startEntryHost(t, g, 3)
	_, config := startEntryHost(t, g, 4, 1)
	eventually(t, 10*time.Second, "version 2 at the entry host", func() bool { return config.Version() == 2 })
	config.mu.Lock()
	if config.first != 2 {
		t.Errorf("the entry host was offered version %d first, want 2", config.first)
	}
	config.mu.Unlock()
	eventually(t, 10*time.Second, "the host without a disk answers", func() bool { return without.Connected() == 1 })
	if none.Version() != 0 {
		t.Errorf("version %d of a control host without a log", none.Version())
	}
}
