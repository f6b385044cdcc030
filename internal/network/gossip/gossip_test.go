package gossip

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/demand"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/membership"

	"google.golang.org/protobuf/proto"
)

const step = 50 * time.Millisecond

// network simulates machines on a logical clock; each packet arrives one step later.
type network struct {
	now        time.Duration
	machines   map[string]*machine
	dirs       map[string]*directory.Directory
	names      []string
	workers    map[string]*engineapi.Announcement
	silent     map[string]bool // workers that no longer announce
	registrars int             // hosts to which each worker announces
	zones      int
	heartbeat  time.Duration
	queue      []delivery
	received   map[string]int // bytes, by host
	blocked    func(from, to string) bool
}

type delivery struct {
	from, to string
	packet   *gossipv1.Packet
}

func newNetwork(hosts, workers, zones int, heartbeat time.Duration) *network {
	w := &network{
		machines:   map[string]*machine{},
		dirs:       map[string]*directory.Directory{},
		workers:    map[string]*engineapi.Announcement{},
		silent:     map[string]bool{},
		received:   map[string]int{},
		registrars: min(2, hosts/zones),
		zones:      zones,
		heartbeat:  heartbeat,
		blocked:    func(string, string) bool { return false },
	}
	for i := range hosts {
		name := fmt.Sprintf("h%03d", i)
		host := membership.Host{Name: name, Zone: fmt.Sprintf("z%d", i%zones), Gossip: name}
		cfg := membership.Config{Self: host, Incarnation: 1, Seeds: []string{"h000", "h001"}}
		w.dirs[name] = directory.New()
		w.machines[name] = newMachine(cfg, rand.New(rand.NewPCG(7, uint64(i))), DefaultSpreadBytes, w.dirs[name], demand.NewAggregator())
		w.names = append(w.names, name)
	}
	for i := range workers {
		name := fmt.Sprintf("w%03d", i)
		w.workers[name] = &engineapi.Announcement{
			Instance:     name,
			Incarnation:  1,
			Kind:         engineapi.KindModel,
			Zone:         fmt.Sprintf("z%d", i%zones),
			Address:      "127.0.0.1:9000",
			KVBlocks:     64,
			LeaseSeconds: 2,
			State:        engineapi.EngineState{Role: engineapi.RoleMixed, Models: []engineapi.Model{{Name: "assist", Version: "1"}}},
		}
	}
	return w
}

func (w *network) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end; w.now += step {
		arriving := w.queue
		w.queue = nil
		for _, f := range arriving {
			w.received[f.to] += proto.Size(f.packet) + macBytes
			w.send(f.to, w.machines[f.to].receive(w.now, f.from, f.packet))
		}
		if w.now%w.heartbeat == 0 {
			w.announce(t)
		}
		for _, name := range w.names {
			if w.now%demand.Interval(len(w.names)/w.zones) == 0 {
				w.machines[name].demands.put(w.now, demand.Report{Host: name, Sequence: uint64(w.now), MadeAt: w.now, Rates: demand.Rates{Requests: 1}})
			}
			w.send(name, w.machines[name].tick(w.now))
		}
	}
}

// announce makes every worker that is not silent announce to its registrar hosts.
func (w *network) announce(t *testing.T) {
	for i := range len(w.workers) {
		name := fmt.Sprintf("w%03d", i)
		a := w.workers[name]
		if w.silent[name] {
			continue
		}
		a.Sequence++
		a.Load.Sequence = a.Sequence
		for _, registrar := range w.registrarsOf(i, a.Zone) {
			if _, err := w.machines[registrar].instances.receiveAnnouncement(w.now, *a); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (w *network) registrarsOf(worker int, zone string) []string {
	var local []string
	for _, name := range w.names {
		if w.machines[name].core.Self().Zone == zone {
			local = append(local, name)
		}
	}
	var out []string
	for k := range w.registrars {
		out = append(out, local[(worker+k)%len(local)])
	}
	return out
}

func (w *network) send(from string, out []membership.Outgoing) {
	for _, o := range out {
		if !isEmptySpread(o) && w.machines[o.Address] != nil && !w.blocked(from, o.Address) {
			w.queue = append(w.queue, delivery{from, o.Address, o.Packet})
		}
	}
}

func (w *network) knownBy(instance string, ok func(*directory.Record) bool) int {
	n := 0
	for _, name := range w.names {
		if r := w.dirs[name].Snapshot().Find(instance); r != nil && ok(r) {
			n++
		}
	}
	return n
}

func anyRecord(*directory.Record) bool { return true }

func TestEveryHostLearnsEveryInstance(t *testing.T) {
	w := newNetwork(8, 22, 4, 500*time.Millisecond)
	w.run(t, 10*time.Second)
	for name := range w.workers {
		if got := w.knownBy(name, anyRecord); got != 8 {
			t.Errorf("%s known by %d hosts, want 8", name, got)
		}
	}
}

func TestDemandStaysWithinTheZone(t *testing.T) {
	w := newNetwork(12, 0, 4, time.Second)
	w.run(t, 10*time.Second)
	for _, name := range w.names {
		sum, hosts := w.machines[name].demands.aggregator.Total(w.now)
		if hosts != 3 || sum.Requests != 3 {
			t.Errorf("%s knows %v requests of %d hosts, want 3 of the 3 of its zone", name, sum.Requests, hosts)
		}
	}
}

// TestDepartureReachesAllHostsWithinTarget checks that no entry host sends new requests to
// an instance more than 3 s after it started to drain or stopped announcing.
func TestDepartureReachesAllHostsWithinTarget(t *testing.T) {
	const target = 3 * time.Second
	cases := []struct {
		name  string
		leave func(w *network)
	}{
		{"announces that it drains", func(w *network) { w.workers["w003"].Draining = true }},
		{"falls silent", func(w *network) { w.silent["w003"] = true }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newNetwork(8, 22, 4, 500*time.Millisecond)
			w.run(t, 10*time.Second)
			tc.leave(w)
			w.run(t, target)
			usable := func(r *directory.Record) bool { return !r.Announcement.Draining }
			if got := w.knownBy("w003", usable); got != 0 {
				t.Errorf("%d hosts still send requests after %v", got, target)
			}
			if got := w.knownBy("w004", usable); got != 8 {
				t.Errorf("w004, which stays, is known by %d hosts, want 8", got)
			}
		})
	}
}

// TestIsolatedZoneKeepsItsOwnInstances checks that a partitioned zone keeps the instances
// that announce to it, and that both sides converge after the partition heals.
func TestIsolatedZoneKeepsItsOwnInstances(t *testing.T) {
	w := newNetwork(8, 20, 4, 500*time.Millisecond)
	w.run(t, 10*time.Second)
	zone := func(name string) string { return w.machines[name].core.Self().Zone }
	w.blocked = func(from, to string) bool { return (zone(from) == "z1") != (zone(to) == "z1") }
	w.run(t, 20*time.Second)
	if got := w.knownBy("w001", anyRecord); got != 2 {
		t.Errorf("w001 of the isolated zone is known by %d hosts, want the 2 of its zone", got)
	}
	w.blocked = func(string, string) bool { return false }
	w.run(t, 30*time.Second)
	if got := w.knownBy("w001", anyRecord); got != 8 {
		t.Errorf("after the partition w001 is known by %d hosts, want 8", got)
	}
}

// largeFleetVariable is an environment variable. If set to a number of hosts,
// TestBytesPerHost also simulates a fleet of that size, with three workers for two hosts.
// 400 hosts take about ten minutes.
const largeFleetVariable = "FILBERTHOOK_LARGE_FLEET"

// TestBytesPerHost checks the target of 15,000 bytes a second per host.
func TestBytesPerHost(t *testing.T) {
	const limit = 15_000
	cases := []struct{ hosts, workers, zones int }{{8, 22, 4}, {80, 120, 5}}
	if hosts, err := strconv.Atoi(os.Getenv(largeFleetVariable)); err == nil {
		cases = append(cases, struct{ hosts, workers, zones int }{hosts, hosts * 3 / 2, 5})
	}
	for _, tc := range cases {
		w := newNetwork(tc.hosts, tc.workers, tc.zones, time.Second)
		warmup := time.Duration(tc.hosts) * 150 * time.Millisecond
		w.run(t, max(warmup, 10*time.Second))
		clear(w.received)
		const window = 10
		w.run(t, window*time.Second)
		var rates []int
		for _, name := range w.names {
			rates = append(rates, w.received[name]/window)
		}
		slices.Sort(rates)
		highest := rates[len(rates)-1]
		own, other := w.loadAges()
		t.Logf("%d hosts, %d workers: median %d, highest %d bytes/s received; age of loads: own zone p50 %v p99 %v, other zones p50 %v p99 %v",
			tc.hosts, tc.workers, rates[len(rates)/2], highest,
			quantile(own, 0.5), quantile(own, 0.99), quantile(other, 0.5), quantile(other, 0.99))
		if highest > limit {
			t.Errorf("%d hosts: highest %d bytes/s, limit %d", tc.hosts, highest, limit)
		}
		for name := range w.workers {
			if got := w.knownBy(name, anyRecord); got != tc.hosts {
				t.Errorf("%s known by %d hosts, want %d", name, got, tc.hosts)
			}
		}
	}
}

// loadAges returns the sorted ages of all hosts' load reports, of instances in
// the host's own zone and in other zones.
func (w *network) loadAges() (own, other []time.Duration) {
	for _, name := range w.names {
		zone := w.machines[name].core.Self().Zone
		for _, r := range w.dirs[name].Snapshot().Records {
			if r.Announcement.Zone == zone {
				own = append(own, w.now-r.LoadAt)
			} else {
				other = append(other, w.now-r.LoadAt)
			}
		}
	}
	slices.Sort(own)
	slices.Sort(other)
	return own, other
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func TestOpenRefuses(t *testing.T) {
	key := []byte("0123456789abcdef")
	good, err := seal(key, &gossipv1.Packet{Protocol: membership.ProtocolVersion, From: "h"})
	if err != nil {
		t.Fatal(err)
	}
	future, err := seal(key, &gossipv1.Packet{Protocol: membership.ProtocolVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	tampered := slices.Clone(good)
	tampered[len(tampered)-1] ^= 1
	cases := []struct {
		name string
		key  []byte
		data []byte
		ok   bool
	}{
		{"good", key, good, true},
		{"short", key, good[:5], false},
		{"tampered", key, tampered, false},
		{"other key", []byte("fedcba9876543210"), good, false},
		{"other version", key, future, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := open(tc.key, tc.data); (err == nil) != tc.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}

func FuzzOpen(f *testing.F) {
	key := []byte("0123456789abcdef")
	body, err := proto.Marshal(&gossipv1.Packet{Protocol: membership.ProtocolVersion, From: "h", Instances: []*gossipv1.InstanceUpdate{{Instance: "w", Sequence: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := open(key, append(sign(key, data), data...))
		if err != nil {
			return
		}
		m := newMachine(membership.Config{Self: membership.Host{Name: "self", Zone: "z"}}, rand.New(rand.NewPCG(1, 1)), DefaultSpreadBytes, directory.New(), demand.NewAggregator())
		m.receive(time.Second, "127.0.0.1:1", p)
		m.tick(2 * time.Second)
	})
}
