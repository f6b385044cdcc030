package membership

import (
	"encoding/binary"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"

	"github.com/cespare/xxhash/v2"
)

// syncHostsPerPacket bounds the host updates in one packet of a sync response.
const syncHostsPerPacket = 12

// Receive processes a packet received from an address and returns packets to send.
func (c *Core) Receive(now time.Duration, from string, p *gossipv1.Packet) []Outgoing {
	if p.GetFrom() == c.self.Name {
		return nil
	}
	unreachable := c.senderUnreachable(p)
	for _, u := range p.GetHosts() {
		m, ok := fromUpdate(u)
		if !ok || (unreachable && m.State == Suspect && m.Name != c.self.Name) {
			continue
		}
		c.merge(now, m)
	}
	c.completeProbe(now, p)
	switch kind := p.GetKind().(type) {
	case *gossipv1.Packet_Ping:
		return c.answerPing(from, p.GetFrom(), kind.Ping)
	case *gossipv1.Packet_Ack:
		return c.receiveAck(kind.Ack)
	case *gossipv1.Packet_ProbeRequest:
		return c.relayProbe(now, from, kind.ProbeRequest)
	case *gossipv1.Packet_SyncRequest:
		return c.answerSync(from, kind.SyncRequest)
	}
	return nil
}

// senderUnreachable reports whether this host regards a packet's sender as dead or left.
// A host that receives nothing suspects all others, so its suspicions are ignored.
func (c *Core) senderUnreachable(p *gossipv1.Packet) bool {
	m := c.members[p.GetFrom()]
	return m != nil && !m.Reachable() && p.GetIncarnation() <= m.Incarnation
}

// merge applies an update of one host if it is newer than the known state.
func (c *Core) merge(now time.Duration, update Member) {
	if update.Name == c.self.Name {
		c.refute(now, update)
		return
	}
	old, ok := c.members[update.Name]
	if !ok {
		if len(c.members) >= maxMembers || !update.Reachable() {
			return
		}
		old = &Member{Host: update.Host}
		c.members[update.Name] = old
		c.setState(now, old, update.Incarnation, update.State)
		return
	}
	if !supersedes(update.Incarnation, update.State, old.Incarnation, old.State) {
		return
	}
	if update.Incarnation > old.Incarnation {
		old.Host = update.Host
	}
	c.setState(now, old, update.Incarnation, update.State)
}

// refute counters an update that conflicts with this host's own state, with a higher
// incarnation if needed.
func (c *Core) refute(now time.Duration, update Member) {
	if c.self.State == Left || update.Incarnation == c.self.Incarnation && update.State == Alive {
		return
	}
	// The sender may have missed an earlier refutation, so queue it again.
	c.updates.add(c.self.Name)
	if update.Incarnation >= c.self.Incarnation {
		c.self.Incarnation = update.Incarnation + 1
		c.self.Since = now
	}
}

// completeProbe ends the probe in progress if the packet acks it. Other packets of the
// target do not count, because the path to the target may be broken.
func (c *Core) completeProbe(_ time.Duration, p *gossipv1.Packet) {
	ack := p.GetAck()
	if ack == nil || c.probe == nil || ack.GetSequence() != c.probe.sequence {
		return
	}
	c.probe = nil
}

func (c *Core) answerPing(from, sender string, ping *gossipv1.Ping) []Outgoing {
	if ping.GetTarget() != "" && ping.GetTarget() != c.self.Name {
		return nil
	}
	p := c.packet()
	p.Kind = &gossipv1.Packet_Ack{Ack: &gossipv1.Ack{Sequence: ping.GetSequence()}}
	if ping.GetTarget() == "" {
		p.Hosts = append(p.Hosts, toUpdate(&c.self))
	}
	zone := ""
	if m := c.members[sender]; m != nil {
		c.addReceiverState(m, p)
		zone = m.Zone
	}
	return []Outgoing{{Address: from, Zone: zone, Packet: p}}
}

func (c *Core) receiveAck(ack *gossipv1.Ack) []Outgoing {
	r, ok := c.relays[ack.GetSequence()]
	if !ok {
		return nil
	}
	delete(c.relays, ack.GetSequence())
	p := c.packet()
	p.Kind = &gossipv1.Packet_Ack{Ack: &gossipv1.Ack{Sequence: r.sequence}}
	return []Outgoing{{Address: r.address, Packet: p}}
}

func (c *Core) relayProbe(now time.Duration, from string, req *gossipv1.ProbeRequest) []Outgoing {
	m := c.members[req.GetTarget()]
	if m == nil || len(c.relays) >= maxMembers {
		return nil
	}
	c.sequence++
	c.relays[c.sequence] = relay{address: from, sequence: req.GetSequence(), until: now + c.cfg.ProbeInterval}
	return []Outgoing{c.ping(m, c.sequence)}
}

func (c *Core) tickSync(now time.Duration) []Outgoing {
	if now < c.nextSync {
		return nil
	}
	c.nextSync = now + c.jitter(c.cfg.SyncInterval)
	var out []Outgoing
	for _, m := range c.randomMembers(1, func(m *Member) bool { return m.State == Alive }) {
		out = append(out, Outgoing{Address: m.Gossip, Zone: m.Zone, Packet: c.SyncRequest()})
	}
	return out
}

// SyncRequest returns a packet that asks the receiver for its table if the hashes differ.
func (c *Core) SyncRequest() *gossipv1.Packet {
	p := c.packet()
	p.Kind = &gossipv1.Packet_SyncRequest{SyncRequest: &gossipv1.SyncRequest{HostsHash: c.hash()}}
	return p
}

// hash returns an order-independent hash of all reachable members including this host.
func (c *Core) hash() uint64 {
	sum := memberHash(&c.self)
	for _, m := range c.members {
		if m.Reachable() {
			sum += memberHash(m)
		}
	}
	return sum
}

func memberHash(m *Member) uint64 {
	var version [9]byte
	binary.BigEndian.PutUint64(version[:], m.Incarnation)
	version[8] = byte(m.State)
	d := xxhash.New()
	_, _ = d.WriteString(m.Name)
	_, _ = d.Write(version[:])
	return d.Sum64()
}

// answerSync returns the whole table if the requester's hash differs. Datagrams may be
// lost; the next sync repairs that.
func (c *Core) answerSync(from string, req *gossipv1.SyncRequest) []Outgoing {
	if req.GetHostsHash() == c.hash() {
		return nil
	}
	all := []*gossipv1.HostUpdate{toUpdate(&c.self)}
	for _, m := range c.Members() {
		all = append(all, toUpdate(&m))
	}
	var out []Outgoing
	for len(all) > 0 {
		n := min(syncHostsPerPacket, len(all))
		p := &gossipv1.Packet{Protocol: ProtocolVersion, From: c.self.Name, Incarnation: c.self.Incarnation, Hosts: all[:n]}
		out = append(out, Outgoing{Address: from, Packet: p})
		all = all[n:]
	}
	return out
}
