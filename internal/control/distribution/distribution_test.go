package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/fleet"
	"filberthook/internal/network/peer"
)

// group is a control group whose replicas apply the log under the test's control.
type group struct {
	leader   *fleet.Fleet
	deltas   []fleet.Delta
	replicas []*replica
}

// replica is one replica; it implements Caller and Confirmer.
type replica struct {
	group       *group
	name        string
	hub         *Hub
	registry    *Registry
	applied     fleet.Configuration
	partitioned atomic.Bool // from the leader
	down        atomic.Bool // from the watchers
}

func newGroup(size int) *group {
	g := &group{leader: fleet.New()}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	for i := range size {
		r := &replica{group: g, name: fmt.Sprint("r", i), applied: fleet.New().Configuration()}
		r.hub = NewHub(clock, r, slog.New(slog.DiscardHandler))
		r.registry = NewRegistry(clock, r.name)
		g.replicas = append(g.replicas, r)
	}
	return g
}

// commit commits a new revision. All replicas that are not partitioned apply it.
func (g *group) commit(t *testing.T) {
	t.Helper()
	name := fmt.Sprint("t", g.leader.Revision())
	r := g.leader.Apply(fleet.Command{
		ChangeID: name, ExpectedRevision: g.leader.Revision(),
		Actor:   fleet.Actor{Name: fleet.BootstrapName, Bootstrap: true},
		Changes: []fleet.Change{{CreateTeam: &fleet.CreateTeam{Name: name, Key: fleet.TeamKey{ID: "k", Hash: fleet.HashKey(name)}}}},
	})
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	g.deltas = append(g.deltas, *r.Delta)
	for _, replica := range g.replicas {
		if !replica.partitioned.Load() {
			replica.catchUp()
		}
	}
}

func (r *replica) catchUp() {
	for _, d := range r.group.deltas[r.applied.Revision:] {
		r.applied = r.applied.With(d)
		r.hub.ConfigurationChanged(r.applied, &d)
	}
}

func (r *replica) ReadBarrier(ctx context.Context) error {
	if r.partitioned.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (r *replica) Address() string { return r.name }

// Call carries the messages as JSON, as the network does.
func (r *replica) Call(ctx context.Context, _ string, params, result any) error {
	if r.down.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	var req WatchRequest
	if err := copyAsJSON(params, &req); err != nil {
		return err
	}
	r.registry.Report("host", "bio", req.Have, req.Engines)
	resp, err := r.hub.Watch(ctx, req)
	if err != nil {
		return err
	}
	return copyAsJSON(resp, result)
}

func copyAsJSON(from, to any) error {
	data, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, to)
}

// watcher starts a client of the group and the replicas' confirmations until the test
// ends.
func (g *group) watcher(t *testing.T, dir string) *Client {
	t.Helper()
	var replicas []Caller
	for _, r := range g.replicas {
		replicas = append(replicas, r)
	}
	c, err := NewClient(Settings{Replicas: replicas, Dir: dir, Random: func() float64 { return 0 }}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	for _, r := range g.replicas {
		go RunConfirmations(ctx, r.hub)
	}
	return c
}

// advance lets virtual time pass.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func wantRevision(t *testing.T, c *Client, want uint64) {
	t.Helper()
	if got := c.Snapshot().Revision; got != want {
		t.Fatalf("revision %d in force, want %d", got, want)
	}
}

func TestWatcherFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		g.commit(t)
		c := g.watcher(t, "")
		advance(time.Second)
		for want := uint64(2); want < 6; want++ {
			g.commit(t)
			synctest.Wait()
			wantRevision(t, c, want)
		}
		advance(WatchWait)
		if s := c.Status(); !s.Known || s.Age > WatchWait+time.Second {
			t.Errorf("status %+v, want a recent confirmation", s)
		}
	})
}

// inForceLimit is the maximum time until a change is in force at a host whose replica
// fails without closing the connection, in virtual time.
const inForceLimit = 1700 * time.Millisecond

func TestWatcherLeavesAReplicaThatFails(t *testing.T) {
	tests := []struct {
		name string
		fail func(r *replica)
	}{
		{"replica is partitioned from the leader", func(r *replica) { r.partitioned.Store(true) }},
		{"replica does not answer", func(r *replica) { r.down.Store(true) }},
	}
	for _, tt := range tests {
		for phase := time.Duration(0); phase < 2*WatchWait; phase += 100 * time.Millisecond {
			t.Run(fmt.Sprint(tt.name, " after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					watchThroughFailure(t, phase, tt.fail)
				})
			})
		}
	}
}

// watchThroughFailure makes the watched replica fail right before a change, at a
// given phase of the watch.
func watchThroughFailure(t *testing.T, phase time.Duration, fail func(*replica)) {
	g := newGroup(3)
	g.commit(t)
	c := g.watcher(t, "")
	advance(time.Second + phase)
	fail(g.replicas[0])
	g.commit(t)
	advance(inForceLimit)
	wantRevision(t, c, 2)
}

func TestWatcherNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		g := newGroup(2)
		g.commit(t)
		c := g.watcher(t, dir)
		advance(time.Second)
		g.replicas[1].partitioned.Store(true) // stays at revision 1
		g.commit(t)
		advance(time.Second)
		wantRevision(t, c, 2)
		g.replicas[0].down.Store(true)

		restarted := g.watcher(t, dir)
		wantRevision(t, restarted, 2)
		for range 20 {
			advance(time.Second)
			wantRevision(t, c, 2)
			wantRevision(t, restarted, 2)
		}
		g.replicas[1].partitioned.Store(false)
		g.replicas[1].catchUp()
		g.commit(t)
		advance(10 * time.Second)
		wantRevision(t, c, 3)
		wantRevision(t, restarted, 3)
	})
}

// recoveryLimit is the maximum time until a change is in force at a host after a
// partition has ended, in virtual time: one watch, one backoff and one response.
const recoveryLimit = WatchWait + WatchGrace + retryMax + 500*time.Millisecond

// TestHostInAPartitionedZoneKeepsItsConfiguration partitions a host from the group,
// with or without a replica in its zone. It must keep its last configuration and catch
// up when the partition ends.
func TestHostInAPartitionedZoneKeepsItsConfiguration(t *testing.T) {
	for _, withReplica := range []bool{true, false} {
		t.Run(fmt.Sprint("with a replica ", withReplica), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(3)
				g.commit(t)
				c := g.watcher(t, "")
				advance(time.Second)
				own := g.replicas[0]
				own.partitioned.Store(true)
				for _, r := range g.replicas {
					r.down.Store(!withReplica || r != own)
				}
				g.commit(t)
				for range 60 {
					advance(time.Second)
					wantRevision(t, c, 1)
				}
				if s := c.Status(); s.Age < 50*time.Second {
					t.Errorf("configuration age %s after a partition of a minute, want at least 50s", s.Age)
				}
				for _, r := range g.replicas {
					r.down.Store(false)
				}
				own.partitioned.Store(false)
				own.catchUp()
				advance(recoveryLimit)
				wantRevision(t, c, 2)
			})
		})
	}
}

// TestColdStartPrefersAConfirmedReplica starts a host without a stored configuration
// while the first replica lags; the host must not use the older revision.
func TestColdStartPrefersAConfirmedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(2)
		g.commit(t)
		g.replicas[0].partitioned.Store(true)
		g.commit(t)
		seen := map[uint64]bool{}
		c := g.watcher(t, "")
		for range 100 {
			advance(50 * time.Millisecond)
			seen[c.Snapshot().Revision] = true
		}
		if diff := cmp.Diff(map[uint64]bool{0: true, 2: true}, seen); diff != "" {
			t.Errorf("revisions in force:\n%s", diff)
		}
	})
}

// TestColdStartInAPartitionedZone starts a host that reaches only a replica without a
// leader: an unconfirmed configuration is better than none.
func TestColdStartInAPartitionedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		g.commit(t)
		g.replicas[0].partitioned.Store(true)
		c := g.watcher(t, "")
		advance(coldStartTimeout - time.Second)
		wantRevision(t, c, 0)
		advance(5 * time.Second)
		wantRevision(t, c, 1)
	})
}

func TestFarBehindGetsTheWholeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		for range maxDeltas + 10 {
			g.commit(t)
		}
		resp, err := g.replicas[0].hub.Watch(context.Background(), WatchRequest{Have: 3, WaitMillis: 10})
		if err != nil || resp.Configuration == nil || len(resp.Deltas) > 0 {
			t.Fatalf("got %d deltas, configuration %t, %v", len(resp.Deltas), resp.Configuration != nil, err)
		}
		resp, err = g.replicas[0].hub.Watch(context.Background(), WatchRequest{Have: 10, WaitMillis: 10})
		if err != nil || len(resp.Deltas) != maxDeltas {
			t.Fatalf("got %d deltas, want %d (%v)", len(resp.Deltas), maxDeltas, err)
		}
	})
}

func TestNextSnapshotRefusesGaps(t *testing.T) {
	current := fleet.NewSnapshot(fleet.Configuration{Revision: 4})
	delta := func(revision uint64) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"revision":%d}`, revision))
	}
	tests := []struct {
		name string
		resp WatchResponse
		want uint64
		gap  bool
	}{
		{"next delta", WatchResponse{Revision: 5, Deltas: []json.RawMessage{delta(5)}}, 5, false},
		{"repeated delta", WatchResponse{Revision: 5, Deltas: []json.RawMessage{delta(4), delta(5)}}, 5, false},
		{"missing delta", WatchResponse{Revision: 6, Deltas: []json.RawMessage{delta(6)}}, 4, true},
		{"deltas end early", WatchResponse{Revision: 6, Deltas: []json.RawMessage{delta(5)}}, 4, true},
		{"older configuration", WatchResponse{Revision: 5, Configuration: delta(3)}, 4, false},
		{"configuration of another revision", WatchResponse{Revision: 5, Configuration: delta(6)}, 4, true},
		{"older answer", WatchResponse{Revision: 3}, 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := nextSnapshot(current, tt.resp)
			var gap *GapError
			if got.Revision != tt.want || errors.As(err, &gap) != tt.gap {
				t.Errorf("got revision %d, %v", got.Revision, err)
			}
		})
	}
}

func TestDamagedStoreIsRefused(t *testing.T) {
	dir := t.TempDir()
	store := NewStore(dir)
	if err := store.Save(fleet.NewSnapshot(fleet.Configuration{Revision: 7})); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, storeFile)
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 1
		if err := os.WriteFile(file, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := store.Load(); err == nil && s.Revision != 7 {
			t.Fatalf("damage at byte %d gave revision %d", i, s.Revision)
		}
	}
}

func TestMergeKeepsTheNewestReport(t *testing.T) {
	got := Merge(
		[]HostReport{{Host: "b", Revision: 1, Age: 3}, {Host: "a", Revision: 4, Age: 1}},
		[]HostReport{{Host: "b", Revision: 2, Age: 1}})
	want := []HostReport{{Host: "a", Revision: 4, Age: 1}, {Host: "b", Revision: 2, Age: 1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestWatchOverTheNetwork runs one watch over the real transport.
func TestWatchOverTheNetwork(t *testing.T) {
	g := newGroup(1)
	g.commit(t)
	mux := peer.NewMux()
	registry := g.replicas[0].registry
	Register(mux, g.replicas[0].hub, registry, func() []string { return []string{"10.0.0.1:7101", "10.0.0.2:7101"} }, metrics.NewSet())
	address := servePeer(t, mux)
	client := peer.NewClient(address, peer.Options{Self: peer.Identity{Host: "h1", Zone: "bio"}})
	t.Cleanup(func() { client.Close() })
	var resp WatchResponse
	if err := client.Call(context.Background(), MethodWatch, WatchRequest{WaitMillis: 1000, Replicas: unknownAddressesHash}, &resp); err != nil {
		t.Fatal(err)
	}
	if resp.Revision != 1 || len(resp.Deltas) != 1 || len(resp.Replicas) != 2 {
		t.Errorf("got %+v", resp)
	}
	known := WatchRequest{Have: 1, WaitMillis: 1, Replicas: hashAddresses(resp.Replicas)}
	resp = WatchResponse{}
	if err := client.Call(context.Background(), MethodWatch, known, &resp); err != nil || resp.Replicas != nil {
		t.Errorf("unchanged addresses sent again: %+v, %v", resp, err)
	}
	if reports := registry.Reports(); len(reports) != 1 || reports[0].Host != "h1" {
		t.Errorf("reports %+v", reports)
	}
}
