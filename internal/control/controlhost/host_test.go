package controlhost

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/stagereconciler"
	"filberthook/internal/engines/instances"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/replication/document"
)

// Ports that all hosts of a test use; each host has its own address.
const (
	controlPort = 7480
	peersPort   = 7481
	statusPort  = 7482
)

// group is a control group on loopback.
type group struct {
	t     *testing.T
	net   string // first three octets of the addresses
	root  string // holds the hosts' data folders
	seeds []string
	mu    sync.Mutex
	nodes map[int]*node

	heartbeat time.Duration // of instances
	stages    Stages
	engines   stagereconciler.Engines // nil if the hosts give no orders
	logs      slog.Handler
	prepare   func(n int, m *membership) // changes a host before it runs; nil for none
}

type node struct {
	host *Host
	stop context.CancelFunc
	done chan struct{}
	dir  string
}

func newGroup(t *testing.T, seeds ...int) *group {
	reserved, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release) // runs after the cleanup below has stopped the hosts
	g := &group{t: t, net: reserved.Prefix, nodes: map[int]*node{}, heartbeat: 200 * time.Millisecond, stages: Stages{Lease: tomltime.Of(time.Second)}, logs: slog.DiscardHandler}
	// Created before the cleanup below is registered, so that the folder is removed after
	// the hosts that write into it have stopped: cleanups run last in, first out.
	g.root = t.TempDir()
	for _, n := range seeds {
		g.seeds = append(g.seeds, g.address(n, controlPort))
	}
	t.Cleanup(func() {
		if _, err := os.Stat(g.root); err != nil {
			t.Errorf("data folders removed before the hosts have stopped: %v", err)
		}
		for n := range g.nodes {
			g.stop(n)
		}
	})
	return g
}

func (g *group) address(n, port int) string { return fmt.Sprintf("%s.%d:%d", g.net, n, port) }

// start starts a host. A first start uses an empty folder and bootstrap.
func (g *group) start(n int, bootstrap bool) *Host {
	g.t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	dir := ""
	if before := g.nodes[n]; before != nil {
		dir = before.dir
	} else {
		dir = filepath.Join(g.root, fmt.Sprint(n))
		if err := os.Mkdir(dir, 0o755); err != nil {
			g.t.Fatal(err)
		}
	}
	s := Settings{
		Host: fmt.Sprint("c", n), Zone: fmt.Sprint("z", n), DataDir: dir, Seeds: g.seeds, Bootstrap: bootstrap,
		Heartbeat: tomltime.Of(g.heartbeat),
		Listen: Listen{
			Control: g.address(n, controlPort), Peers: g.address(n, peersPort), Status: g.address(n, statusPort),
		},
		Tolerate:     Tolerate{Hosts: 1, Zones: 1},
		ReplaceAfter: tomltime.Of(1500 * time.Millisecond),
		Stages:       g.stages,
	}
	handler := func(Service) http.Handler { return http.NotFoundHandler() }
	h, err := New(s, handler, g.engines, slog.New(g.logs), metrics.NewSet())
	if err != nil {
		g.t.Fatal(err)
	}
	if g.prepare != nil {
		g.prepare(n, h.membership)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &node{host: h, stop: cancel, done: make(chan struct{}), dir: dir}
	g.nodes[n] = started
	go func() {
		defer close(started.done)
		if err := h.Run(ctx); err != nil {
			g.t.Errorf("host %d: %v", n, err)
		}
	}()
	return h
}

func (g *group) stop(n int) {
	g.mu.Lock()
	stopped := g.nodes[n]
	g.mu.Unlock()
	stopped.stop()
	<-stopped.done
}

// wipe empties the data folder of a stopped host.
func (g *group) wipe(n int) {
	if err := os.RemoveAll(g.nodes[n].dir); err != nil {
		g.t.Fatal(err)
	}
	if err := os.MkdirAll(g.nodes[n].dir, 0o755); err != nil {
		g.t.Fatal(err)
	}
}

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

// accept proposes a version at a host until it is acknowledged, as operators do.
func accept(t *testing.T, h *Host, version uint64, body string) {
	t.Helper()
	eventually(t, 15*time.Second, fmt.Sprintf("version %d acknowledged", version), func() bool {
		return h.Replace(context.Background(), document.Document{Version: version, Body: []byte(body)}) == nil
	})
}

// waitForRead waits until a host reads a version.
func waitForRead(t *testing.T, h *Host, version uint64, body string) {
	t.Helper()
	eventually(t, 15*time.Second, fmt.Sprintf("version %d read", version), func() bool {
		d, err := h.Read(context.Background())
		return err == nil && d.Version == version && string(d.Body) == body
	})
}

func (g *group) members(n int) (voters, all int) {
	status, _ := g.nodes[n].host.membership.status()
	for _, m := range status.Members {
		all++
		if !m.Learner {
			voters++
		}
	}
	return voters, all
}

func TestOneGroupFormsInAnyOrderOfStarts(t *testing.T) {
	for _, order := range [][]int{{1, 2, 3, 4}, {4, 3, 2, 1}, {4, 2, 1, 3}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 1, 2, 3)
			for _, n := range order {
				g.start(n, true)
				time.Sleep(100 * time.Millisecond)
			}
			accept(t, g.nodes[4].host, 3, "three")
			for _, n := range order {
				waitForRead(t, g.nodes[n].host, 3, "three")
			}
			eventually(t, 10*time.Second, "three voters of four members", func() bool {
				voters, all := g.members(1)
				return voters == 3 && all == 4
			})
			status, _ := g.nodes[1].host.membership.status()
			for _, n := range order {
				other, _ := g.nodes[n].host.membership.status()
				if other.Leader != status.Leader {
					t.Errorf("host %d follows %d, host 1 follows %d: two groups", n, other.Leader, status.Leader)
				}
			}
		})
	}
}

func TestNoGroupFormsWhileASeedHasNeverBeenUp(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.start(1, true)
	g.start(2, true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var unavailable *UnavailableError
	if err := g.nodes[1].host.Replace(ctx, document.Document{Version: 1}); !errors.As(err, &unavailable) {
		t.Fatalf("got %v from two of three founders, want no quorum", err)
	}
	g.start(3, true)
	accept(t, g.nodes[2].host, 1, "one")
}

func TestConfigurationOfLowerOrEqualVersionChangesNothing(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	if _, err := h.Read(context.Background()); err == nil {
		t.Error("a configuration was read before any was accepted")
	}
	accept(t, h, 5, "five")
	accept(t, h, 4, "four")
	accept(t, h, 5, "other content")
	accept(t, h, 5, "five") // a resend
	waitForRead(t, h, 5, "five")
}

func TestLostDiskUnderTheOldAddressIsANewMember(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 4; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	before, _ := g.nodes[2].host.membership.status()
	g.stop(2)
	g.wipe(2)
	accept(t, g.nodes[1].host, 2, "two")
	g.start(2, false)
	waitForRead(t, g.nodes[2].host, 2, "two")
	after, _ := g.nodes[2].host.membership.status()
	if after.ID == before.ID {
		t.Errorf("the host without its disk kept its id %d: its vote counts for a log that it lost", before.ID)
	}
	eventually(t, 10*time.Second, "three voters of four members", func() bool {
		voters, all := g.members(1)
		return voters == 3 && all == 4
	})
	accept(t, g.nodes[2].host, 3, "three")
}

func TestHostWithoutALogJoinsWhileTheLeaderIsNoSeed(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	for n := 1; n <= 3; n++ {
		g.start(n, n == 1)
	}
	accept(t, g.nodes[1].host, 1, "one")
	eventually(t, 10*time.Second, "three voters", func() bool { voters, _ := g.members(1); return voters == 3 })
	target, _ := g.nodes[2].host.membership.status()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := g.nodes[1].host.membership.current.Load().replica.TransferLeadership(ctx, target.ID); err != nil {
		t.Fatal(err)
	}
	g.start(4, false)
	eventually(t, 4*time.Second, "the new host has the log", func() bool {
		status, _ := g.nodes[4].host.membership.status()
		return len(status.Members) == 4 && status.LeaderAddress == g.address(2, peersPort)
	})
	waitForRead(t, g.nodes[4].host, 1, "one")
}

func TestRemovedHostJoinsAgainUnderANewId(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 4; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[4].host, 1, "one")
	g.stop(3)
	eventually(t, 15*time.Second, "the lost voter is replaced", func() bool {
		for _, n := range []int{1, 2} {
			if voters, all := g.members(n); voters == 3 && all == 3 {
				return true
			}
		}
		return false
	})
	// Bootstrap is still set, as when a process restarts soon after the first start.
	g.start(3, true)
	accept(t, g.nodes[1].host, 2, "two")
	waitForRead(t, g.nodes[3].host, 2, "two")
	eventually(t, 10*time.Second, "four members", func() bool { _, all := g.members(1); return all == 4 })
}

func TestAllHostsStoppedAtOnceLoseNothing(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 9, "nine")
	for n := 1; n <= 3; n++ {
		g.stop(n)
	}
	for n := 1; n <= 3; n++ {
		g.start(n, false)
	}
	for n := 1; n <= 3; n++ {
		waitForRead(t, g.nodes[n].host, 9, "nine")
	}
}

func TestMinorityReadsAndAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	g.stop(2)
	g.stop(3)
	if d, err := g.nodes[1].host.Read(context.Background()); err == nil {
		t.Errorf("a minority read version %d", d.Version)
	}
	if err := g.nodes[1].host.Replace(context.Background(), document.Document{Version: 2}); err == nil {
		t.Error("a minority acknowledged a change")
	}
}

func TestInstanceThatLeavesIsAcknowledgedOnceWatchersKnow(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	in := instances.Instance{ID: "i", Born: 1, Sequence: 1, Endpoint: "e", Address: "127.0.0.1:1", Slots: 1}
	if err := h.Announce(context.Background(), in); err != nil {
		t.Fatal(err)
	}
	first := h.watch(context.Background(), "entry", controlapi.WatchRequest{})
	if len(first.Changes) != 1 || first.Hosts != 0 {
		t.Fatalf("first answer %+v", first)
	}
	acknowledged := make(chan time.Time, 1)
	in.Sequence, in.State = 2, instances.Draining
	go func() {
		_ = h.Announce(context.Background(), in)
		acknowledged <- time.Now()
	}()
	second := h.watch(context.Background(), "entry", controlapi.WatchRequest{Epoch: first.Epoch, Position: first.Position, WaitMS: 2000})
	if len(second.Changes) != 1 || second.Changes[0].State != instances.Draining {
		t.Fatalf("second answer %+v", second)
	}
	time.Sleep(50 * time.Millisecond)
	select {
	case <-acknowledged:
		t.Fatal("acknowledged before the entry host had received the change")
	default:
	}
	requestedAt := time.Now()
	go h.watch(context.Background(), "entry", controlapi.WatchRequest{Epoch: second.Epoch, Position: second.Position, WaitMS: 100})
	select {
	case at := <-acknowledged:
		if at.Sub(requestedAt) > 200*time.Millisecond {
			t.Errorf("acknowledged %v after the entry host had received the change", at.Sub(requestedAt))
		}
	case <-time.After(2 * time.Second):
		t.Fatal("not acknowledged")
	}
}

func TestLostWatcherDelaysAnAcknowledgementForALimitedTime(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	h.watch(context.Background(), "entry", controlapi.WatchRequest{})
	begin := time.Now()
	if err := h.Leave(context.Background(), "i", 1); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(begin); elapsed > deliveryTimeout+300*time.Millisecond {
		t.Errorf("acknowledged after %v; instances wait one second", elapsed)
	}
}

func TestLoadsOfOtherHostsAreSummed(t *testing.T) {
	l := newLoads("1")
	now := time.Unix(1_800_000_000, 0)
	report := func(tokens ...int64) controlapi.LoadReport {
		return controlapi.LoadReport{Tokens: map[string][]int64{"e": tokens}}
	}
	l.exchange("a", report(1, 2), now)
	l.exchange("b", report(10), now)
	got := l.exchange("c", report(100, 100, 100), now).Tokens["e"]
	if len(got) != 2 || got[0] != 11 || got[1] != 2 {
		t.Errorf("sum %v, want [11 2]", got)
	}
	got = l.exchange("c", report(), now.Add(reportGrace+expireLoadsInterval)).Tokens["e"]
	if len(got) != 0 {
		t.Errorf("load %v of hosts whose reports have expired", got)
	}
}
