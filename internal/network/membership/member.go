// Package membership implements SWIM failure detection: each entry host tracks which
// other entry hosts are alive, suspect or dead. It probes one host per interval, asks
// others to probe a host that does not answer, and piggybacks updates on every packet,
// so that the cost per host does not grow with the number of hosts.
//
// It is a state machine without I/O, clock or goroutines: the caller passes it the time
// and received packets and sends the packets that it returns. A Core is not safe for
// concurrent use.
package membership

import (
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
)

// State is the state of a host as another host sees it.
type State uint8

// States of a host.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left // shut down deliberately
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[0]
	}
	return stateNames[s]
}

// Host names an entry host and its addresses (IP number and port).
type Host struct {
	Name     string
	Zone     string // availability zone
	Gossip   string // UDP address of this protocol
	Peer     string // TCP address of the calls between processes
	Announce string // HTTP address for announcements of endpoints
}

// Member is a host with its state. Only the host itself chooses its incarnation; it
// increases it at each start and to refute a suspicion.
type Member struct {
	Host
	Incarnation uint64
	State       State
	Since       time.Duration // time of the last change of state or incarnation
}

// Reachable reports whether the host can be expected to answer.
func (m *Member) Reachable() bool { return m.State == Alive || m.State == Suspect }

// Event is a change of a member's state.
type Event struct {
	Member   Member
	Previous State // 0 for a host not known before
}

// supersedes reports whether an update replaces the known incarnation and state. The
// result of several updates does not depend on their order, so that hosts converge.
func supersedes(newInc uint64, newState State, oldInc uint64, oldState State) bool {
	if newInc != oldInc {
		return newInc > oldInc
	}
	return newState > oldState
}

func toUpdate(m *Member) *gossipv1.HostUpdate {
	return &gossipv1.HostUpdate{
		Host:            m.Name,
		Zone:            m.Zone,
		GossipAddress:   m.Gossip,
		PeerAddress:     m.Peer,
		AnnounceAddress: m.Announce,
		Incarnation:     m.Incarnation,
		State:           gossipv1.HostState(m.State),
	}
}

func fromUpdate(u *gossipv1.HostUpdate) (Member, bool) {
	state := State(u.GetState())
	if u.GetHost() == "" || len(u.GetHost()) > maxNameBytes || state < Alive || state > Left {
		return Member{}, false
	}
	return Member{
		Host: Host{
			Name:     u.GetHost(),
			Zone:     u.GetZone(),
			Gossip:   u.GetGossipAddress(),
			Peer:     u.GetPeerAddress(),
			Announce: u.GetAnnounceAddress(),
		},
		Incarnation: u.GetIncarnation(),
		State:       state,
	}, true
}
