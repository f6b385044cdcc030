package consensus_test

import (
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

// injectFaults crashes, pauses, restarts and partitions nodes at the run's rates.
func (s *sim) injectFaults() {
	for _, n := range s.nodes {
		switch {
		case n.gone:
		case n.core == nil:
			if s.chance(50) {
				s.start(n)
			}
		case s.chance(s.rates.crash):
			s.crash(n)
		case s.chance(s.rates.pause):
			n.resumeAt = s.now + s.rng.IntN(60)
		}
		if n.core != nil && n.core.Status().Exclusion != consensus.ExclusionNone {
			s.abandon(n)
			n.core, n.gone = nil, true
		}
	}
	if s.chance(s.rates.cut) {
		s.partition()
	}
}

// partition splits the nodes at random and cuts the links between the two sides, in one
// or both directions.
func (s *sim) partition() {
	until := s.now + s.rng.IntN(100)
	oneWay := s.chance(400)
	side := s.rng.Uint32()
	for i, a := range s.nodes {
		for j, b := range s.nodes {
			if side>>i&1 == 1 && side>>j&1 == 0 {
				s.cut[[2]uint64{a.id, b.id}] = until
				if !oneWay {
					s.cut[[2]uint64{b.id, a.id}] = until
				}
			}
		}
	}
}

// operator replaces hosts whose disk was lost, grows and shrinks the group and
// transfers leadership, one operation at a time.
type operator struct {
	toRemove            uint64 // member to remove once toAdd is a voter, 0 for none
	toAdd               uint64 // member to add and promote, 0 for none
	toDemote            uint64 // voter to make a learner and promote again, 0 for none
	repairs             int
	loseDiskAfterRepair bool // lose a second disk as soon as the repair is complete
}

func (o *operator) idle() bool { return o.toRemove == 0 && o.toAdd == 0 && o.toDemote == 0 }

func (s *sim) runOperator() {
	if s.operator.idle() {
		s.planChange()
		return
	}
	if s.now%5 != 0 {
		return
	}
	for _, n := range s.nodes {
		if s.running(n) && n.core.Role() == consensus.RoleLeader {
			s.advanceRepair(n)
			s.pump(n)
		}
	}
}

// planChange starts a repair or another change once the group is bootstrapped.
func (s *sim) planChange() {
	if !s.bootstrapped() {
		return
	}
	second := s.operator.loseDiskAfterRepair
	s.operator.loseDiskAfterRepair = false
	voters := s.voters()
	victim := s.victim(voters)
	switch {
	case len(voters) < 3:
		s.operator.toAdd = s.join()
	case second || s.chance(s.rates.loseDisk):
		s.loseDisk(s.node(victim))
	case s.chance(1) && len(voters) < 5:
		s.operator.toAdd = s.join()
	case s.chance(1) && len(voters) > 3:
		s.operator.toRemove = victim
	case s.chance(2) && len(voters) > 2:
		s.operator.toDemote = victim
	case s.chance(5):
		for _, n := range s.nodes {
			if s.running(n) {
				_ = n.core.TransferLeadership(victim) // refused at followers
				s.pump(n)
			}
		}
	}
}

// victim prefers a candidate: votes may still be on their way to it.
func (s *sim) victim(voters []uint64) uint64 {
	for _, id := range voters {
		if n := s.node(id); n.core != nil && n.core.Role() == consensus.RoleCandidate && s.chance(500) {
			return id
		}
	}
	return voters[s.rng.IntN(len(voters))]
}

// loseDisk destroys a voter's files. The voter may restart empty under the same id.
func (s *sim) loseDisk(n *node) {
	s.crash(n)
	n.fs, n.diskLost = fsys.NewMem(), true
	n.gone = s.chance(300) || s.lastOriginal(n)
	if !n.gone && s.chance(500) {
		s.start(n)
	}
	s.operator = operator{toRemove: n.id, toAdd: s.join(), loseDiskAfterRepair: s.chance(500)}
}

// lastOriginal reports whether no other initial member still has its disk. If all of
// them restarted empty, they could not know that their group ever existed.
func (s *sim) lastOriginal(n *node) bool {
	for _, m := range s.initial {
		if other := s.node(m.ID); other != n && !other.diskLost {
			return false
		}
	}
	return true
}

// join starts an empty host with an id that was never used.
func (s *sim) join() uint64 {
	s.nextID++
	return s.addNode(s.nextID).id
}

// advanceRepair proposes the next step at a leader.
func (s *sim) advanceRepair(n *node) {
	o := &s.operator
	m := s.membership
	if o.toDemote != 0 {
		if o.toDemote == n.id {
			s.transferToAny(n)
			return
		}
		if m.IsVoter(o.toDemote) {
			_ = s.propose(n, consensus.ChangeDemote, o.toDemote)
			return
		}
		o.toDemote, o.toAdd = 0, o.toDemote
		s.demotions++
		return
	}
	if o.toAdd != 0 {
		if _, ok := m.Find(o.toAdd); !ok {
			_ = s.propose(n, consensus.ChangeAddLearner, o.toAdd)
			return
		}
		if !m.IsVoter(o.toAdd) {
			if s.propose(n, consensus.ChangePromote, o.toAdd) == nil {
				s.checkPromotion(n, o.toAdd)
			}
			return
		}
	}
	if o.toRemove != 0 {
		if o.toRemove == n.id {
			s.transferToAny(n)
			return
		}
		if _, ok := m.Find(o.toRemove); ok {
			_ = s.propose(n, consensus.ChangeRemove, o.toRemove)
			return
		}
	}
	s.operator = operator{repairs: o.repairs + 1, loseDiskAfterRepair: o.loseDiskAfterRepair}
}

func (s *sim) transferToAny(leader *node) {
	voters := s.voters()
	_ = leader.core.TransferLeadership(voters[s.rng.IntN(len(voters))])
}

// propose returns the refusal, if any; refused steps are tried again later.
func (s *sim) propose(n *node, t consensus.ChangeType, id uint64) error {
	_, _, err := n.core.ProposeMembership(consensus.Change{Type: t, Member: consensus.Member{ID: id}})
	return err
}

// settle ends all faults and fails the run unless the group makes progress again.
func (s *sim) settle() {
	s.rates = faultRates{delay: 1}
	clear(s.cut)
	const settleTicks = 2000 // ticks
	for _, n := range s.nodes {
		n.resumeAt = s.now
	}
	deadline := s.now + settleTicks
	for s.failure == nil && !s.settled() {
		if s.now >= deadline {
			s.fail("no progress after all faults ended: %s", s.describe())
		}
		s.step()
	}
}

// settled reports whether the repair is complete and all voters have applied a
// command that was proposed after the faults.
func (s *sim) settled() bool {
	if !s.operator.idle() || s.operator.loseDiskAfterRepair || !s.finalWrite() {
		return false
	}
	for _, id := range s.voters() {
		n := s.node(id)
		if n.core == nil || n.applied < uint64(len(s.appliedLog)) {
			return false
		}
	}
	return true
}
