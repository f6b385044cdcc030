// Package membership keeps each entry host's view of the other entry hosts: who
// is alive, suspected or dead. It probes one host per interval, asks others to
// probe a host that does not answer, and spreads news on every packet, so that
// the cost per host does not grow with their number.
//
// It is a state machine without I/O, clock or goroutines: a thin loop passes it
// the time and packets and sends what it returns. A Core must not be used by
// two goroutines at once.
package membership

import (
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
)

// State is the state of a host in the eyes of another one.
type State uint8

// States of a host.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left // ended on purpose
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

// Member is a host with its state. Incarnation is chosen by the host itself and
// grows whenever it starts or has to contradict a suspicion.
type Member struct {
	Host
	Incarnation uint64
	State       State
	Since       time.Duration // when the state was taken
}

// Reachable reports whether the host can be expected to answer.
func (m *Member) Reachable() bool { return m.State == Alive || m.State == Suspect }

// Event is a change of state that the process should know of.
type Event struct {
	Member   Member
	Previous State // 0 for a host not known before
}

// supersedes reports whether news (incarnation, state) takes the place of what
// is known. Hosts agree whatever the order in which they hear news.
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
