package gossip

import (
	"math/rand/v2"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/demand"
	"filberthook/internal/network/membership"
)

// machine is the part of a node without I/O, clock or goroutines. It runs the membership
// protocol and piggybacks instance and demand updates on its packets.
type machine struct {
	core            *membership.Core
	instances       *instances
	demands         *demands
	spreadBytes     int
	events          []membership.Event // not yet returned by takeEvents
	lastSyncRequest time.Duration      // when missing records were last requested
}

// minSyncRequestInterval is the minimum time between two requests for missing records.
const minSyncRequestInterval = time.Second

func newMachine(cfg membership.Config, rng *rand.Rand, spreadBytes int, dir *directory.Directory, aggregator *demand.Aggregator) *machine {
	return &machine{
		core:        membership.New(cfg, rng),
		instances:   newInstances(cfg.Self.Zone, dir),
		demands:     newDemands(cfg.Self.Zone, aggregator),
		spreadBytes: spreadBytes,
	}
}

// tick advances the timers and returns packets to send.
func (m *machine) tick(now time.Duration) []membership.Outgoing {
	m.instances.expire(now)
	out := m.core.Tick(now)
	m.applyMemberEvents(now)
	m.piggyback(now, out)
	return out
}

// applyMemberEvents collects the membership events. It removes the instances of a zone
// that has no reachable host left, because no host could report that they have gone.
func (m *machine) applyMemberEvents(now time.Duration) {
	for _, e := range m.core.Events() {
		m.events = append(m.events, e)
		zone := e.Member.Zone
		if !e.Member.Reachable() && zone != m.core.Self().Zone && !m.core.ZoneReachable(zone) {
			m.instances.dir.EndZone(now, zone)
		}
	}
}

// takeEvents returns the membership events since the last call.
func (m *machine) takeEvents() []membership.Event {
	out := m.events
	m.events = nil
	return out
}

// receive processes a packet and returns packets to send.
func (m *machine) receive(now time.Duration, from string, p *gossipv1.Packet) []membership.Outgoing {
	missing := m.instances.missingRecords
	out := m.core.Receive(now, from, p)
	m.applyMemberEvents(now)
	m.instances.merge(now, p.GetInstances())
	m.demands.merge(now, p.GetDemands())
	if m.instances.missingRecords > missing && now-m.lastSyncRequest >= minSyncRequestInterval {
		m.lastSyncRequest = now
		out = append(out, membership.Outgoing{Address: from, Packet: m.core.SyncRequest()})
	}
	m.piggyback(now, out)
	req := p.GetSyncRequest()
	if req == nil {
		return out
	}
	for _, answer := range m.instances.answerSync(now, req.GetInstanceHashes(), m.emptyPacket) {
		out = append(out, membership.Outgoing{Address: from, Packet: answer})
	}
	return out
}

// piggyback adds demand and instance updates to packets, and hashes to sync requests.
func (m *machine) piggyback(now time.Duration, out []membership.Outgoing) {
	hosts := m.core.Len()
	for _, o := range out {
		if req := o.Packet.GetSyncRequest(); req != nil {
			req.InstanceHashes = m.instances.hashes()
		}
		m.demands.fill(now, o.Packet, o.Zone, m.spreadBytes)
		m.instances.fill(now, o.Packet, o.Zone, hosts, m.spreadBytes)
	}
}

func (m *machine) emptyPacket() *gossipv1.Packet {
	self := m.core.Self()
	return &gossipv1.Packet{Protocol: membership.ProtocolVersion, From: self.Name, Incarnation: self.Incarnation}
}

// isEmptySpread reports whether a packet meant to spread updates carries none.
func isEmptySpread(o membership.Outgoing) bool {
	return o.Spread && len(o.Packet.GetHosts()) == 0 && len(o.Packet.GetInstances()) == 0 && len(o.Packet.GetDemands()) == 0
}
