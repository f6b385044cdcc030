package controlhost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/controlwatch"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/raftnet"
)

var bornOfAll = time.Now().Add(-time.Minute).UnixMilli()

// sound returns the heartbeat of an instance as it should be.
func sound(n int, sequence uint64) instances.Instance {
	return instances.Instance{
		ID: fmt.Sprint("i-", n), Born: bornOfAll, Sequence: sequence, Endpoint: "lm",
		Address: fmt.Sprintf("10.0.%d.%d:80", n/250, 1+n%250), Zone: "z", Slots: 64, Models: []instances.Model{{Name: "m", Version: 1}},
	}
}

// oddEntries are what another writer may announce under an id of its own.
func oddEntries() map[string]instances.Instance {
	odd := func(change func(*instances.Instance)) instances.Instance {
		in := sound(7000, 1)
		in.ID = "odd"
		change(&in)
		return in
	}
	long := strings.Repeat("x", 60<<10)
	return map[string]instances.Instance{
		"empty id":              odd(func(in *instances.Instance) { in.ID = "" }),
		"long id":               odd(func(in *instances.Instance) { in.ID = long }),
		"id with a line break":  odd(func(in *instances.Instance) { in.ID = "i\r\nX: y" }),
		"id that is no text":    odd(func(in *instances.Instance) { in.ID = "i\xff" }),
		"empty endpoint":        odd(func(in *instances.Instance) { in.Endpoint = "" }),
		"long endpoint":         odd(func(in *instances.Instance) { in.Endpoint = long }),
		"long zone":             odd(func(in *instances.Instance) { in.Zone = long }),
		"long model":            odd(func(in *instances.Instance) { in.Models[0].Name = long }),
		"many models":           odd(func(in *instances.Instance) { in.Models = make([]instances.Model, 5000) }),
		"port 0":                odd(func(in *instances.Instance) { in.Address = "10.0.0.1:0" }),
		"port 65536":            odd(func(in *instances.Instance) { in.Address = "10.0.0.1:65536" }),
		"port 99999":            odd(func(in *instances.Instance) { in.Address = "10.0.0.1:99999" }),
		"port -1":               odd(func(in *instances.Instance) { in.Address = "10.0.0.1:-1" }),
		"no port":               odd(func(in *instances.Instance) { in.Address = "10.0.0.1:" }),
		"host by name":          odd(func(in *instances.Instance) { in.Address = "worker:80" }),
		"address of all hosts":  odd(func(in *instances.Instance) { in.Address = "0.0.0.0:80" }),
		"address of many hosts": odd(func(in *instances.Instance) { in.Address = "224.0.0.1:80" }),
		"long IPv6 zone":        odd(func(in *instances.Instance) { in.Address = "[fe80::1%" + long + "]:80" }),
		"no slots":              odd(func(in *instances.Instance) { in.Slots = 0 }),
		"negative slots":        odd(func(in *instances.Instance) { in.Slots = -1 }),
		"huge slots":            odd(func(in *instances.Instance) { in.Slots = 1e9 }),
		"most slots":            odd(func(in *instances.Instance) { in.Slots = math.MaxInt }),
		"unknown state":         odd(func(in *instances.Instance) { in.State = 200 }),
		"unknown stage":         odd(func(in *instances.Instance) { in.Stage = 200 }),
		"no start":              odd(func(in *instances.Instance) { in.Born = 0 }),
		"negative start":        odd(func(in *instances.Instance) { in.Born = math.MinInt64 }),
		"start far ahead":       odd(func(in *instances.Instance) { in.Born = math.MaxInt64 }),
		"start far ahead under the id of another": odd(func(in *instances.Instance) { in.ID, in.Born = "i-1", math.MaxInt64 }),
		"start far ahead at the address of another": odd(func(in *instances.Instance) {
			in.Address, in.Born = sound(1, 1).Address, math.MaxInt64
		}),
	}
}

// follow runs an entry host's watcher of a control host until the test ends.
func follow(t *testing.T, g *group, n int) *instances.View {
	return followInto(t, replicatedConfiguration{}, []string{g.address(n, peersPort)})
}

// followInto runs an entry host's watcher, which puts configurations into force, until the test
// ends.
func followInto(t *testing.T, config controlwatch.Configuration, addresses []string) *instances.View {
	self := peer.Identity{Host: "e", Zone: "z"}
	clients := raftnet.NewPool(controlapi.PeerOptions(self, false, metrics.NewSet(), slog.New(slog.DiscardHandler)))
	view := instances.NewView(200 * time.Millisecond)
	w := controlwatch.New(clients, view, config, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx, func() []string { return addresses }) })
	t.Cleanup(func() {
		stop()
		running.Wait()
		clients.Close()
	})
	return view
}

// usable returns how many instances of the endpoint a view lists.
func usable(v *instances.View) int { return len(v.Snapshot().ByEndpoint["lm"]) }

func TestOddEntriesNeitherHideSoundOnesNorEndTheWatch(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	for name, in := range oddEntries() {
		var invalid *instances.InvalidError
		if err := h.Announce(context.Background(), in); !errors.As(err, &invalid) {
			t.Errorf("%s: error %v, want an InvalidError", name, err)
		} else if len(err.Error()) > 300 {
			t.Errorf("%s: an error of %d bytes", name, len(err.Error()))
		}
	}
	for n := range 300 {
		in := sound(7000, 1)
		in.ID, in.Zone = fmt.Sprint("odd-", n), strings.Repeat("z", 60<<10)
		_ = h.Announce(context.Background(), in) // may be refused
	}
	for _, born := range []int64{math.MinInt64, math.MaxInt64} {
		if err := h.Leave(context.Background(), "i-1", born); err == nil {
			t.Errorf("a deregistration with a start of %d is taken", born)
		}
	}
	if err := h.Leave(context.Background(), strings.Repeat("x", 60<<10), 1); err == nil {
		t.Error("a deregistration with a long id is taken")
	}
	view := follow(t, g, 1)
	sequence := uint64(0)
	eventually(t, 10*time.Second, "the entry host lists the sound instances alone", func() bool {
		sequence++
		for n := range 3 {
			if err := h.Announce(context.Background(), sound(n, sequence)); err != nil {
				t.Fatalf("a sound instance: %v", err)
			}
		}
		return usable(view) == 3
	})
}

func TestListOfAnySizeReachesEntryHosts(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	g.heartbeat = time.Minute
	h := g.start(1, true)
	const entries = 200
	for n := range entries {
		in := sound(n, 1)
		in.Models = make([]instances.Model, instances.MaxModels)
		for i := range in.Models {
			in.Models[i] = instances.Model{Name: strings.Repeat("<", instances.MaxNameBytes), Version: math.MinInt64}
		}
		if err := h.Announce(context.Background(), in); err != nil {
			t.Fatal(err)
		}
	}
	req := controlapi.WatchRequest{}
	for range entries {
		answer := h.watch(context.Background(), "probe", req)
		text, err := json.Marshal(answer)
		if err != nil || len(text) > controlapi.MaxMessageBytes {
			t.Fatalf("an answer of %d bytes, error %v; a call takes %d", len(text), err, controlapi.MaxMessageBytes)
		}
		if req.Epoch == answer.Epoch && len(answer.Changes) == 0 {
			break
		}
		req.Epoch, req.Position = answer.Epoch, answer.Position
	}
	view := follow(t, g, 1)
	eventually(t, 30*time.Second, "the entry host lists all instances", func() bool { return usable(view) == entries })
}

func TestFloodOfEntriesLeavesRoomForSoundOnes(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	const flood = 2*instances.MaxEntries + 100
	for n := range flood {
		in := sound(n%60000, 1)
		in.ID = fmt.Sprint("odd-", n)
		_ = h.Announce(context.Background(), in) // may be refused
	}
	// Distinct ids: an entry that falls silent between two pages is in both.
	kept := map[string]bool{}
	for position := uint64(0); ; {
		changes, reached, _ := h.registry.Since(position, 0)
		for _, c := range changes {
			kept[c.ID] = true
		}
		if len(changes) == 0 {
			break
		}
		position = reached
	}
	if len(kept) > instances.MaxEntries {
		t.Errorf("%d of %d entries are kept, want at most %d", len(kept), flood, instances.MaxEntries)
	}
	view := follow(t, g, 1)
	sequence := uint64(0)
	eventually(t, 10*time.Second, "sound instances are listed once the flood is silent", func() bool {
		sequence++
		listed := 0
		for n := range 3 {
			in := sound(60000+n, sequence)
			_ = h.Announce(context.Background(), in) // refused while there is no room
		}
		for _, in := range view.Snapshot().ByEndpoint["lm"] {
			if strings.HasPrefix(in.ID, "i-") {
				listed++
			}
		}
		return listed == 3
	})
}
