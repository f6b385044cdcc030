package membership

import (
	"slices"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
)

// probe is the probe of one host in one interval.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	indirect bool // other hosts have been asked to probe the target too
}

// relay is an indirect probe that this host performs for another one.
type relay struct {
	address  string // of the requester
	sequence uint64 // of the requester's probe
	until    time.Duration
}

func (c *Core) tickProbe(now time.Duration) []Outgoing {
	for seq, r := range c.relays {
		if now >= r.until {
			delete(c.relays, seq)
		}
	}
	if now >= c.nextProbe {
		c.failProbe(now)
		c.nextProbe = now + c.cfg.ProbeInterval
		return c.startProbe(now)
	}
	if c.probe == nil || c.probe.indirect || now-c.probe.sentAt < c.cfg.ProbeTimeout {
		return nil
	}
	return c.startIndirectProbe()
}

// failProbe marks the target of an unanswered probe as suspect.
func (c *Core) failProbe(now time.Duration) {
	if c.probe == nil {
		return
	}
	if m := c.members[c.probe.target]; m != nil && m.State == Alive {
		c.setState(now, m, m.Incarnation, Suspect)
	}
	c.probe = nil
}

// startProbe pings the next host of the probe round.
func (c *Core) startProbe(now time.Duration) []Outgoing {
	m := c.nextTarget()
	if m == nil {
		return nil
	}
	c.sequence++
	c.probe = &probe{target: m.Name, sequence: c.sequence, sentAt: now}
	return []Outgoing{c.ping(m, c.sequence)}
}

func (c *Core) ping(m *Member, sequence uint64) Outgoing {
	p := c.packet()
	p.Kind = &gossipv1.Packet_Ping{Ping: &gossipv1.Ping{Sequence: sequence, Target: m.Name}}
	c.addReceiverState(m, p)
	return Outgoing{Address: m.Gossip, Zone: m.Zone, Packet: p}
}

// addReceiverState adds the receiver's own state to a packet unless it is alive, so that
// the receiver can refute it.
func (c *Core) addReceiverState(m *Member, p *gossipv1.Packet) {
	if m.State == Alive {
		return
	}
	p.Hosts = append(p.Hosts, toUpdate(m))
}

// nextTarget returns the next reachable host of the shuffled probe round, nil if no
// host is reachable.
func (c *Core) nextTarget() *Member {
	for range 2 {
		for len(c.order) > 0 {
			m := c.members[c.order[0]]
			c.order = c.order[1:]
			if m != nil && m.Reachable() {
				return m
			}
		}
		c.order = c.shuffledNames()
	}
	return nil
}

func (c *Core) shuffledNames() []string {
	var names []string
	for name, m := range c.members {
		if m.Reachable() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// startIndirectProbe asks other hosts to probe the target that did not answer.
func (c *Core) startIndirectProbe() []Outgoing {
	c.probe.indirect = true
	target := c.probe.target
	helpers := c.randomMembers(c.cfg.IndirectProbes, func(m *Member) bool { return m.State == Alive && m.Name != target })
	var out []Outgoing
	for _, m := range helpers {
		p := c.packet()
		p.Kind = &gossipv1.Packet_ProbeRequest{ProbeRequest: &gossipv1.ProbeRequest{Sequence: c.probe.sequence, Target: target}}
		out = append(out, Outgoing{Address: m.Gossip, Zone: m.Zone, Packet: p})
	}
	return out
}

func (c *Core) tickSpread(now time.Duration) []Outgoing {
	if now < c.nextSpread {
		return nil
	}
	c.nextSpread = now + c.cfg.SpreadInterval
	local := c.randomMembers(c.cfg.SpreadLocal, func(m *Member) bool { return m.Reachable() && m.Zone == c.self.Zone })
	remote := c.randomMembers(c.cfg.SpreadRemote, func(m *Member) bool { return m.Reachable() && m.Zone != c.self.Zone })
	var out []Outgoing
	for _, m := range append(local, remote...) {
		out = append(out, c.spreadTo(m))
	}
	return out
}

func (c *Core) spreadTo(m *Member) Outgoing {
	return Outgoing{Address: m.Gossip, Zone: m.Zone, Packet: c.packet(), Spread: true}
}

// tickRejoin pings one dead host or seed, so that both sides find each other after a
// partition heals. The interval is jittered so that hosts do not ping all at once.
func (c *Core) tickRejoin(now time.Duration) []Outgoing {
	if now < c.nextRejoin {
		return nil
	}
	c.nextRejoin = now + c.jitter(c.cfg.RejoinInterval)
	dead := c.randomMembers(1, func(m *Member) bool { return m.State == Dead })
	if len(dead) > 0 && (len(c.cfg.Seeds) == 0 || c.rng.IntN(2) == 0) {
		return []Outgoing{c.ping(dead[0], 0)}
	}
	return c.pingSeed()
}

func (c *Core) pingSeed() []Outgoing {
	var unknown []string
	for _, addr := range c.cfg.Seeds {
		if addr != c.self.Gossip && !c.addressReachable(addr) {
			unknown = append(unknown, addr)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	p := c.packet()
	p.Hosts = append(p.Hosts, toUpdate(&c.self))
	p.Kind = &gossipv1.Packet_Ping{Ping: &gossipv1.Ping{}}
	addr := unknown[c.rng.IntN(len(unknown))]
	return []Outgoing{{Address: addr, Packet: p}, {Address: addr, Packet: c.SyncRequest()}}
}

func (c *Core) addressReachable(address string) bool {
	for _, m := range c.members {
		if m.Gossip == address && m.Reachable() {
			return true
		}
	}
	return false
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d)))
}
