// Package formation decides how a control group forms and who votes in it. It does
// no I/O: the caller reads the data folder, asks the group and carries out what is
// decided here.
//
// Founders are the control hosts among the first seeds. Their ids follow from their
// addresses, so all of them start the same group without a message. Every other
// host joins, with a random id that no other disk ever has.
package formation

import (
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/replication/replica"
)

// maxVoters is the most voters that the consensus takes.
const maxVoters = 7

// FounderID returns the id of a founder.
func FounderID(address string) uint64 {
	// 0 is no id.
	return max(1, xxhash.Sum64String("founder "+address))
}

// PeerAddresses returns where the seeds' hosts serve other hosts: the port is the same
// on all hosts. Seeds that cannot be read are left out; settings are checked before.
func PeerAddresses(seeds []string, port uint16) []string {
	out := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(ip, strconv.Itoa(int(port))))
		}
	}
	return out
}

// Founders returns the first members of a group: the seeds' hosts at the port for
// control hosts.
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

// Tolerance is what a group must survive at once.
type Tolerance struct {
	Hosts int // control hosts lost
	Zones int // availability zones lost
}

// StepKind is what to do with a member.
type StepKind uint8

const (
	NoStep StepKind = iota
	Promote
	Remove
)

// Step is one change of the group's membership.
type Step struct {
	Kind   StepKind
	ID     uint64
	Reason string
}

// Health is what the leader knows of a member.
type Health struct {
	replica.Member
	Active      bool          // heard from within an election timeout
	CaughtUp    bool          // holds everything committed
	InactiveFor time.Duration // 0 for active ones
}

// NextStep returns the next change of membership that the leader with the given id
// should make, one at a time. The group grows to the number of voters that survives
// the tolerance, spread over availability zones. A voter that is gone for longer
// than replaceAfter yields to a learner, which is promoted first.
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

// targetVoters returns how many voters the group should have.
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

// bestLearner returns the learner whose zone has the fewest voters that are up,
// among those that can be promoted now.
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

// String returns the name of the step in logs.
func (k StepKind) String() string { return [...]string{"nothing", "promote", "remove"}[k] }
