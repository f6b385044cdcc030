package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/process/invariant"
	"filberthook/internal/process/saturate"
)

// ProtocolVersion is the version of the packets.
const ProtocolVersion = 1

// maxNameBytes bounds the host names in received packets.
const maxNameBytes = 128

// maxMembers bounds the member table, so that invented hosts cannot exhaust memory.
const maxMembers = 4096

// Config holds the settings of a Core. Zero values take defaults.
type Config struct {
	Self              Host
	Incarnation       uint64        // must be higher than that of the process's last run
	Seeds             []string      // gossip addresses to join through
	ProbeInterval     time.Duration // time between two probes
	ProbeTimeout      time.Duration // wait for a direct ack before indirect probes are sent
	IndirectProbes    int           // hosts asked to probe the target on our behalf
	SuspicionFactor   float64       // suspicion lasts this many intervals times log10 of the number of hosts
	SpreadInterval    time.Duration // time between two rounds of packets that spread updates
	SpreadLocal       int           // random hosts of the own zone per round
	SpreadRemote      int           // random hosts of other zones per round
	BaseTransmissions int           // transmissions of an update, in addition to log2 of the number of hosts
	UpdatesPerPacket  int           // host updates per packet
	RejoinInterval    time.Duration // mean time between two pings of a dead host or a seed
	SyncInterval      time.Duration // mean time between two anti-entropy syncs
	ForgetAfter       time.Duration // dead and left hosts are removed after this time
}

// Defaults of Config.
const (
	DefaultProbeInterval     = time.Second
	DefaultProbeTimeout      = 300 * time.Millisecond
	DefaultIndirectProbes    = 3
	DefaultSuspicionFactor   = 4
	DefaultSpreadInterval    = 200 * time.Millisecond
	DefaultSpreadLocal       = 2
	DefaultSpreadRemote      = 1
	DefaultBaseTransmissions = 4
	DefaultUpdatesPerPacket  = 8
	DefaultRejoinInterval    = 3 * time.Second
	DefaultSyncInterval      = 10 * time.Second
	DefaultForgetAfter       = 24 * time.Hour
)

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.ProbeInterval, DefaultProbeInterval)
	orDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	orDefault(&c.IndirectProbes, DefaultIndirectProbes)
	orDefault(&c.SuspicionFactor, DefaultSuspicionFactor)
	orDefault(&c.SpreadInterval, DefaultSpreadInterval)
	orDefault(&c.SpreadLocal, DefaultSpreadLocal)
	orDefault(&c.SpreadRemote, DefaultSpreadRemote)
	orDefault(&c.BaseTransmissions, DefaultBaseTransmissions)
	orDefault(&c.UpdatesPerPacket, DefaultUpdatesPerPacket)
	orDefault(&c.RejoinInterval, DefaultRejoinInterval)
	orDefault(&c.SyncInterval, DefaultSyncInterval)
	orDefault(&c.ForgetAfter, DefaultForgetAfter)
	return c
}

// Outgoing is a packet to send.
type Outgoing struct {
	Address string
	Zone    string // zone of the receiver, empty when not known
	Packet  *gossipv1.Packet
	Spread  bool // sent only to spread updates; the caller may drop it if it carries none
}

// Core is the membership state machine of one host.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	self    Member
	members map[string]*Member // all other hosts, by name
	updates *updateQueue
	events  []Event

	order    []string // hosts still to be probed in this round, shuffled
	probe    *probe   // in progress; nil if none
	relays   map[uint64]relay
	sequence uint64

	lastTick   time.Duration
	nextProbe  time.Duration
	nextSpread time.Duration
	nextRejoin time.Duration
	nextSync   time.Duration
}

// New returns a Core that knows only itself. All randomness comes from rng.
func New(cfg Config, rng *rand.Rand) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:     cfg,
		rng:     rng,
		self:    Member{Host: cfg.Self, Incarnation: cfg.Incarnation, State: Alive},
		members: make(map[string]*Member),
		updates: newUpdateQueue(),
		relays:  make(map[uint64]relay),
	}
	c.updates.add(cfg.Self.Name)
	return c
}

// Self returns this host's own entry.
func (c *Core) Self() Member { return c.self }

// Members returns the known hosts other than this one, sorted by name.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Len returns the number of known hosts other than this one.
func (c *Core) Len() int { return len(c.members) }

// ZoneReachable reports whether any host of an availability zone is reachable.
func (c *Core) ZoneReachable(zone string) bool {
	for _, m := range c.members {
		if m.Zone == zone && m.Reachable() {
			return true
		}
	}
	return false
}

// Events returns the changes of state since the last call.
func (c *Core) Events() []Event {
	out := c.events
	c.events = nil
	return out
}

// Tick advances the timers to now and returns packets to send.
func (c *Core) Tick(now time.Duration) []Outgoing {
	c.resetAfterPause(now)
	c.expireSuspicions(now)
	c.removeForgotten(now)
	var out []Outgoing
	out = append(out, c.tickProbe(now)...)
	out = append(out, c.tickSpread(now)...)
	out = append(out, c.tickRejoin(now)...)
	return append(out, c.tickSync(now)...)
}

// resetAfterPause drops the probe in progress and restarts the suspicion timeouts if
// this process itself was paused for more than a probe interval: the other hosts may
// have answered during the pause.
func (c *Core) resetAfterPause(now time.Duration) {
	paused := c.lastTick > 0 && now-c.lastTick > c.cfg.ProbeInterval
	c.lastTick = now
	if !paused {
		return
	}
	c.probe = nil
	for _, m := range c.members {
		if m.State == Suspect {
			m.Since = now
		}
	}
}

// SuspicionTimeout returns how long a host stays suspect before it is declared dead.
func (c *Core) SuspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(c.members)+1)))
	return saturate.Nanoseconds(c.cfg.SuspicionFactor * scale * float64(c.cfg.ProbeInterval))
}

func (c *Core) expireSuspicions(now time.Duration) {
	timeout := c.SuspicionTimeout()
	for _, m := range c.members {
		if m.State == Suspect && now-m.Since >= timeout {
			c.setState(now, m, m.Incarnation, Dead)
		}
	}
}

func (c *Core) removeForgotten(now time.Duration) {
	for name, m := range c.members {
		if !m.Reachable() && now-m.Since >= c.cfg.ForgetAfter {
			delete(c.members, name)
		}
	}
}

// setState changes a member's state and queues the update.
func (c *Core) setState(now time.Duration, m *Member, incarnation uint64, state State) {
	invariant.Check(supersedes(incarnation, state, m.Incarnation, m.State) || m.Since == 0, "membership-grows",
		"host %s: %d %v after %d %v", m.Name, incarnation, state, m.Incarnation, m.State)
	previous := m.State
	m.Incarnation = incarnation
	m.State = state
	m.Since = now
	c.updates.add(m.Name)
	if previous != state {
		c.events = append(c.events, Event{Member: *m, Previous: previous})
	}
}

// Leave marks this host as left and returns packets that announce it.
func (c *Core) Leave(now time.Duration) []Outgoing {
	c.self.State = Left
	c.self.Since = now
	c.updates.add(c.self.Name)
	var out []Outgoing
	for _, m := range c.randomMembers(c.cfg.SpreadLocal+c.cfg.SpreadRemote+2, (*Member).Reachable) {
		out = append(out, c.spreadTo(m))
	}
	return out
}

// packet returns a packet with queued updates, up to UpdatesPerPacket.
func (c *Core) packet() *gossipv1.Packet {
	p := &gossipv1.Packet{
		Protocol:    ProtocolVersion,
		From:        c.self.Name,
		Incarnation: c.self.Incarnation,
	}
	for _, name := range c.updates.take(c.cfg.UpdatesPerPacket, maxTransmissions(c.cfg.BaseTransmissions, len(c.members))) {
		if m := c.lookup(name); m != nil {
			p.Hosts = append(p.Hosts, toUpdate(m))
		}
	}
	return p
}

func (c *Core) lookup(name string) *Member {
	if name == c.self.Name {
		return &c.self
	}
	return c.members[name]
}

// randomMembers returns up to n random members that satisfy ok.
func (c *Core) randomMembers(n int, ok func(*Member) bool) []*Member {
	var eligible []*Member
	for _, m := range c.members {
		if ok(m) {
			eligible = append(eligible, m)
		}
	}
	slices.SortFunc(eligible, func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	c.rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return eligible[:min(n, len(eligible))]
}
