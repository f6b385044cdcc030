package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

const (
	step  = 50 * time.Millisecond
	delay = step // every packet arrives one step later
)

type inFlight struct {
	from, to string // gossip addresses
	packet   *gossipv1.Packet
}

// network simulates cores on a logical clock and delivers their packets.
type network struct {
	now     time.Duration
	cores   map[string]*Core // by gossip address
	names   []string
	paused  map[string]bool
	blocked func(from, to string) bool
	queue   []inFlight
	bytes   map[string]int // received, by address
}

func newNetwork(n int) *network {
	w := &network{cores: map[string]*Core{}, paused: map[string]bool{}, bytes: map[string]int{}}
	w.blocked = func(string, string) bool { return false }
	for i := range n {
		name := fmt.Sprintf("h%03d", i)
		cfg := Config{
			Self:        Host{Name: name, Zone: fmt.Sprintf("z%d", i%4), Gossip: name},
			Incarnation: 1,
			Seeds:       []string{"h000", "h001"},
		}
		w.cores[name] = New(cfg, rand.New(rand.NewPCG(1, uint64(i))))
		w.names = append(w.names, name)
	}
	return w
}

func (w *network) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		arriving := w.queue
		w.queue = nil
		for _, f := range arriving {
			w.deliver(f)
		}
		for _, name := range w.names {
			if !w.paused[name] {
				w.send(name, w.cores[name].Tick(w.now))
			}
		}
	}
}

func (w *network) deliver(f inFlight) {
	if w.paused[f.to] {
		w.queue = append(w.queue, f)
		return
	}
	w.bytes[f.to] += proto.Size(f.packet)
	w.send(f.to, w.cores[f.to].Receive(w.now, f.from, f.packet))
}

func (w *network) send(from string, out []Outgoing) {
	for _, o := range out {
		if o.Spread && len(o.Packet.GetHosts()) == 0 {
			continue
		}
		if w.cores[o.Address] != nil && !w.blocked(from, o.Address) {
			w.queue = append(w.queue, inFlight{from: from, to: o.Address, packet: o.Packet})
		}
	}
}

// views counts the other hosts by the state in which they see the named one.
func (w *network) views(name string) map[State]int {
	out := map[State]int{}
	for _, other := range w.names {
		if m := w.cores[other].members[name]; m != nil && other != name {
			out[m.State]++
		}
	}
	return out
}

func (w *network) expect(t *testing.T, name string, want State) {
	t.Helper()
	if got := w.views(name); got[want] != len(w.names)-1 {
		t.Errorf("%s at %v: seen as %v, want %v by all %d others", name, w.now, got, want, len(w.names)-1)
	}
}

func (w *network) expectAll(t *testing.T, want State) {
	t.Helper()
	for _, name := range w.names {
		w.expect(t, name, want)
	}
}

func TestHostsFindEachOther(t *testing.T) {
	for _, n := range []int{2, 8, 80} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newNetwork(n)
			w.run(20 * time.Second)
			w.expectAll(t, Alive)
		})
	}
}

func TestFailuresAreDetected(t *testing.T) {
	outbound := func(w *network, name string) func(from, to string) bool {
		return func(from, to string) bool { return from == name }
	}
	inbound := func(w *network, name string) func(from, to string) bool {
		return func(from, to string) bool { return to == name }
	}
	cases := []struct {
		name  string
		block func(w *network, name string) func(from, to string) bool
	}{
		{"what the host sends is lost", outbound},
		{"what is sent to the host is lost", inbound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newNetwork(8)
			w.run(10 * time.Second)
			w.blocked = tc.block(w, "h005")
			w.run(12 * time.Second)
			if got := w.views("h005"); got[Dead] != 7 {
				t.Errorf("seen as %v, want dead by all 7", got)
			}
			for _, name := range w.names {
				if got := w.views(name); name != "h005" && got[Alive]+got[Suspect] < 6 {
					t.Errorf("healthy host %s seen as %v", name, got)
				}
			}
			w.blocked = func(string, string) bool { return false }
			w.run(30 * time.Second)
			w.expectAll(t, Alive)
		})
	}
}

func TestShortPauseDoesNotMarkDead(t *testing.T) {
	w := newNetwork(8)
	w.run(10 * time.Second)
	w.paused["h003"] = true
	w.run(2500 * time.Millisecond)
	if got := w.views("h003"); got[Dead] > 0 {
		t.Errorf("declared dead after 2.5 s: %v", got)
	}
	w.paused["h003"] = false
	w.run(10 * time.Second)
	w.expectAll(t, Alive)
}

func TestLongPauseMarksDeadUntilTheHostRejoins(t *testing.T) {
	w := newNetwork(8)
	w.run(10 * time.Second)
	w.paused["h003"] = true
	w.run(12 * time.Second)
	w.expect(t, "h003", Dead)
	w.paused["h003"] = false
	w.run(20 * time.Second)
	w.expectAll(t, Alive)
}

func TestPartitionHeals(t *testing.T) {
	w := newNetwork(12)
	w.run(15 * time.Second)
	zone := func(name string) string { return w.cores[name].self.Zone }
	w.blocked = func(from, to string) bool { return (zone(from) == "z3") != (zone(to) == "z3") }
	w.run(20 * time.Second)
	if got := w.views("h003"); got[Dead] != 9 || got[Alive] != 2 {
		t.Errorf("during the partition h003 is seen as %v, want 9 dead and 2 alive", got)
	}
	w.blocked = func(string, string) bool { return false }
	w.run(40 * time.Second)
	w.expectAll(t, Alive)
}

func TestLeaveIsNotAFailure(t *testing.T) {
	w := newNetwork(8)
	w.run(10 * time.Second)
	w.send("h004", w.cores["h004"].Leave(w.now))
	w.paused["h004"] = true
	w.run(5 * time.Second)
	w.expect(t, "h004", Left)
}

// TestBytesPerHostStayBounded checks the target of 15,000 bytes a second per host
// while one host in ten restarts per minute.
func TestBytesPerHostStayBounded(t *testing.T) {
	const limit = 15_000 // bytes per second
	for _, n := range []int{8, 100} {
		w := newNetwork(n)
		w.run(20 * time.Second)
		clear(w.bytes)
		const window = 30
		for i := range window {
			if i%6 == 0 {
				c := w.cores[w.names[(i*7)%n]]
				c.self.Incarnation += 10
				c.updates.add(c.self.Name)
			}
			w.run(time.Second)
		}
		for name, b := range w.bytes {
			if b/window > limit {
				t.Errorf("%d hosts: %s received %d bytes/s, limit %d", n, name, b/window, limit)
			}
		}
	}
}

// TestUpdateOrderDoesNotMatter checks that two hosts that receive the same updates in
// different orders reach the same state.
func TestUpdateOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return Member{
				Host:        Host{Name: "x"},
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				State:       State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
			}
		}), 1, 12).Draw(t, "news")
		first := Member{Host: Host{Name: "x"}, Incarnation: 1, State: Alive}
		shuffled := rapid.Permutation(updates).Draw(t, "shuffled")
		if a, b := stateAfter(first, updates), stateAfter(first, shuffled); a != b {
			t.Fatalf("orders disagree: %v and %v", a, b)
		}
	})
}

func stateAfter(first Member, updates []Member) string {
	c := New(Config{Self: Host{Name: "self"}}, rand.New(rand.NewPCG(1, 1)))
	c.merge(0, first)
	for _, m := range updates {
		c.merge(time.Second, m)
	}
	m := c.members["x"]
	return fmt.Sprint(m.Incarnation, m.State)
}

func TestInventedHostsCannotFillTheTable(t *testing.T) {
	c := New(Config{Self: Host{Name: "self"}}, rand.New(rand.NewPCG(1, 1)))
	for i := range maxMembers + 10 {
		c.merge(0, Member{Host: Host{Name: fmt.Sprint(i)}, Incarnation: 1, State: Alive})
	}
	if len(c.members) > maxMembers {
		t.Errorf("%d members, limit %d", len(c.members), maxMembers)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New(Config{Self: Host{Name: "self", Zone: "z0"}}, rand.New(rand.NewPCG(1, 1)))
			for i := range n {
				c.merge(0, Member{Host: Host{Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%5), Gossip: "x"}, Incarnation: 1, State: Alive})
			}
			var now time.Duration
			b.ReportAllocs()
			for b.Loop() {
				now += DefaultSpreadInterval
				c.Tick(now)
			}
		})
	}
}
