// Package formation decides the initial members of a control group and the changes of
// its membership. It does no I/O: the caller reads the data folder, queries the group and
// makes the changes.
//
// Founders are the control hosts among the first seeds. Their ids are derived from their
// addresses, so all of them start the same group without communication. Every other host
// joins with a random id that is unique to its disk.
package formation

import (
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/replication/replica"
)

// maxVoters is the maximum number of voters in the consensus group.
const maxVoters = 7

// FounderID returns the id of a founder.
func FounderID(address string) uint64 {
	// 0 is not a valid id.
	return max(1, xxhash.Sum64String("founder "+address))
}

// PeerAddresses returns the peer addresses of the seeds' hosts; the port is the same on
// all hosts. Malformed seeds are skipped, as settings are validated before.
func PeerAddresses(seeds []string, port uint16) []string {
	out := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(ip, strconv.Itoa(int(port))))
		}
	}
	return out
}

// Founders returns the initial members of a group: the seeds' hosts, sorted by id and
// without duplicates.
func Founders(seeds []string, port uint16) []replica.Member {
	var out []replica.Member
	for _, address := range PeerAddresses(seeds, port) {
		m := replica.Member{ID: FounderID(address), Address: address}
		if !slices.ContainsFunc(out, func(o replica.Member) bool { return o.ID == m.ID }) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b replica.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Tolerance is the number of simultaneous losses that a group must survive.
type Tolerance struct {
	Hosts int // control hosts
	Zones int // availability zones
}

// StepKind is a kind of membership change.
type StepKind uint8

const (
	NoStep StepKind = iota
	Promote
	Remove
)

// Step is one change of the group's membership. The zero Step changes nothing.
type Step struct {
	Kind   StepKind
	ID     uint64
	Reason string
}

// Health is a member with its state as the leader sees it.
type Health struct {
	replica.Member
	Active      bool          // answered within an election timeout
	CaughtUp    bool          // has all committed entries
	InactiveFor time.Duration // 0 for active members
}

// NextStep returns the next membership change for the leader with the given id, one at a
// time. The group grows to the number of voters that the tolerance requires, spread over
// availability zones. A voter that is inactive for longer than replaceAfter is replaced
// by a learner, which is promoted before the voter is removed; none is replaced while the
// tolerance requires maxVoters and the group has as many. A learner that is inactive for
// ten times as long is removed.
func NextStep(members []Health, leader uint64, tolerance Tolerance, replaceAfter time.Duration) Step {
	voters, learners := split(members)
	candidate := bestLearner(learners, voters)
	if candidate != nil && len(voters) < targetVoters(members, tolerance) {
		return Step{Promote, candidate.ID, "the group has too few voters"}
	}
	dead := longestInactive(voters, leader, replaceAfter)
	if dead != nil && len(voters) > targetVoters(members, tolerance) {
		return Step{Remove, dead.ID, "a voter that is gone was replaced"}
	}
	if dead != nil && candidate != nil && len(voters) < maxVoters {
		return Step{Promote, candidate.ID, "a voter is gone"}
	}
	if gone := longestInactive(learners, leader, 10*replaceAfter); gone != nil {
		return Step{Remove, gone.ID, "a learner is gone"}
	}
	return Step{}
}

// targetVoters returns the number of voters that survives the tolerated losses, as far as
// there are members for it. The number is odd: one more voter would survive no more losses.
func targetVoters(members []Health, t Tolerance) int {
	losses := t.Hosts
	if t.Zones > 0 {
		losses = max(losses, 1)
	}
	n := min(2*losses+1, maxVoters)
	if len(members) < n && len(members)%2 == 0 {
		return max(1, len(members)-1)
	}
	return min(n, len(members))
}

func split(members []Health) (voters, learners []Health) {
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m)
		} else {
			voters = append(voters, m)
		}
	}
	return voters, learners
}

// bestLearner returns the active, caught-up learner whose zone has the fewest active
// voters, nil when there is none.
func bestLearner(learners, voters []Health) *Health {
	inZone := map[string]int{}
	for _, v := range voters {
		if v.Active {
			inZone[v.Zone]++
		}
	}
	var best *Health
	for i := range learners {
		l := &learners[i]
		if !l.Active || !l.CaughtUp {
			continue
		}
		if best == nil || inZone[l.Zone] < inZone[best.Zone] {
			best = l
		}
	}
	return best
}

func longestInactive(members []Health, leader uint64, after time.Duration) *Health {
	var gone *Health
	for i := range members {
		m := &members[i]
		if m.ID == leader || m.Active || m.InactiveFor < after {
			continue
		}
		if gone == nil || m.InactiveFor > gone.InactiveFor {
			gone = m
		}
	}
	return gone
}

// String returns the name of the kind for logs.
func (k StepKind) String() string { return [...]string{"nothing", "promote", "remove"}[k] }
