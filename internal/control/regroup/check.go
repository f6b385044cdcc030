// Package regroup makes a new control group from the disk of one host when the group has lost
// its quorum for good. It decides whether no quorum can live any more, and writes the new group.
package regroup

import (
	"slices"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/consensus"
)

// Disk is what the data folder of a stopped control host holds.
type Disk struct {
	ID       uint64 // of the host's replica
	Address  string // of the host
	Term     uint64 // highest term seen
	LastTerm uint64 // of the last entry
	Last     uint64 // index of the last entry
	Commit   uint64 // highest index known to be committed
	Version  uint64 // of the newest configuration in the log
	// Memberships are all that may be in force: the last one known to be committed and those
	// after it.
	Memberships []consensus.Membership
}

// Voters returns the addresses of all voters that may count, without the host itself.
func (d *Disk) Voters() []string {
	var out []string
	for _, m := range d.voters() {
		out = append(out, m.Address)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// voters returns the voters of all memberships other than the host's replica.
func (d *Disk) voters() []consensus.Member {
	var out []consensus.Member
	for _, membership := range d.Memberships {
		for _, m := range membership.Members {
			if !m.Learner && m.ID != d.ID {
				out = append(out, m)
			}
		}
	}
	return out
}

// Others returns the addresses of all members that may count and of the lists, each once, without
// the host's own: the control hosts to ask.
func (d *Disk) Others(lists ...[]string) []string {
	out := slices.Concat(lists...)
	for _, membership := range d.Memberships {
		for _, m := range membership.Members {
			out = append(out, m.Address)
		}
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(address string) bool { return address == d.Address })
}

// Unheard returns the addresses of the voters whose replicas have not answered: their disks may
// hold more than this one.
func (d *Disk) Unheard(answers []Answer) []string {
	return slices.DeleteFunc(d.Voters(), func(address string) bool {
		return slices.ContainsFunc(answers, func(a Answer) bool { return a.Status != nil && a.Address == address && d.mayVote(a) })
	})
}

// Check returns nil if no quorum of the group can live any more: each control host that the log,
// the caller or an answer names has answered as one that cannot vote and knows no leader, or is
// confirmed as lost, and the voters that are not lost are too few. The log may be older than the
// group's last change of members, so a silent host counts though the log does not name it.
// Otherwise the error says what stands against a new group.
func (d *Disk) Check(lost []string, answers []Answer) error {
	newest := d.Memberships[len(d.Memberships)-1]
	if _, ok := newest.Find(d.ID); !ok || d.Last == 0 {
		return &NoMemberError{ID: d.ID, Last: d.Last}
	}
	if err := d.checkAnswers(answers); err != nil {
		return err
	}
	if err := d.checkSilent(lost, answers); err != nil {
		return err
	}
	return d.checkLost(lost)
}

func (d *Disk) checkAnswers(answers []Answer) error {
	for _, a := range answers {
		if a.Status != nil && a.Status.Leader != "" {
			return &LeaderError{Address: a.Address, Leader: a.Status.Leader}
		}
	}
	for _, a := range answers {
		if d.mayVote(a) {
			return &VoterAnswersError{Address: a.Address}
		}
	}
	var untold []string
	for _, a := range answers {
		if a.Reached && (a.Status == nil || a.Status.Replica == 0) {
			untold = append(untold, a.Address)
		}
	}
	if len(untold) > 0 {
		return &NoStatusError{Addresses: untold}
	}
	for _, a := range answers {
		if a.Status != nil && a.Status.Member && a.Status.Ahead(&controlapi.GroupStatus{LastTerm: d.LastTerm, Last: d.Last}) {
			return &BehindError{Address: a.Address, LastTerm: a.Status.LastTerm, Last: a.Status.Last, Own: *d}
		}
	}
	return nil
}

// mayVote reports whether the host has answered that it holds a vote of the group. A host at the
// address of a voter whose replica has another id has lost that voter's disk.
func (d *Disk) mayVote(a Answer) bool {
	if a.Status == nil {
		return false
	}
	held := slices.ContainsFunc(d.voters(), func(m consensus.Member) bool { return m.ID == a.Status.Replica })
	return held || a.Status.Voter && a.Address != d.Address
}

// checkSilent refuses while a host that was named has not answered and is not confirmed as lost.
func (d *Disk) checkSilent(lost []string, answers []Answer) error {
	var named, reached []string
	for _, a := range answers {
		named = append(named, a.Address)
		if a.Reached {
			reached = append(reached, a.Address)
		}
		if a.Status != nil {
			for _, m := range a.Status.Members {
				named = append(named, m.Address)
			}
		}
	}
	others := d.Others(named)
	for _, address := range lost {
		if !slices.Contains(others, address) {
			return &UnknownHostError{Address: address, Others: others}
		}
	}
	silent := slices.DeleteFunc(others, func(address string) bool {
		return slices.Contains(reached, address) || slices.Contains(lost, address)
	})
	if len(silent) > 0 {
		return &SilentError{Addresses: silent}
	}
	return nil
}

// checkLost refuses while the voters that are not confirmed as lost are a quorum. They include
// those whose hosts run without their disks.
func (d *Disk) checkLost(lost []string) error {
	for _, membership := range d.Memberships {
		var unconfirmed []string
		left := 0
		for _, m := range membership.Members {
			switch {
			case m.Learner, m.ID != d.ID && slices.Contains(lost, m.Address):
			case m.ID == d.ID:
				left++
			default:
				left++
				unconfirmed = append(unconfirmed, m.Address)
			}
		}
		if quorum := membership.Quorum(); left >= quorum {
			return &UnconfirmedError{Voters: membership.Voters(), Unconfirmed: unconfirmed, Missing: left - quorum + 1}
		}
	}
	return nil
}
