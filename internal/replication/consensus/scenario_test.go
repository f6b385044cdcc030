package consensus_test

import (
	"testing"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

// scenario scripts a schedule that random ones reach too rarely. Without a seeded fault
// it must violate no safety property.
type scenario func(s *sim)

// newFaultFreeSim returns a running group without random faults whose replicas all hold
// the same log.
func newFaultFreeSim(voters int, fault consensus.Fault) *sim {
	seed := uint64(1)
	for ; ; seed++ {
		s := newSim(settings{seed: seed, fault: fault})
		s.rates = faultRates{delay: 1}
		if len(s.initial) != voters {
			continue
		}
		for !s.finalWrite() {
			s.step()
		}
		s.exchange(4)
		return s
	}
}

// exchange delivers messages for some rounds without ticking the cores.
func (s *sim) exchange(rounds int) {
	for range rounds {
		s.now++
		s.deliver()
	}
}

func (s *sim) leaderNode() *node {
	for _, n := range s.nodes {
		if n.core != nil && n.core.Role() == consensus.RoleLeader {
			return n
		}
	}
	return nil
}

func (s *sim) others(n *node) []*node {
	var list []*node
	for _, other := range s.nodes {
		if other != n {
			list = append(list, other)
		}
	}
	return list
}

// disconnect cuts both directions between a and each of the others.
func (s *sim) disconnect(a *node, others ...*node) {
	const forever = 1 << 30
	for _, b := range others {
		s.cut[[2]uint64{a.id, b.id}] = forever
		s.cut[[2]uint64{b.id, a.id}] = forever
	}
}

func (s *sim) reconnect(a, b *node) {
	delete(s.cut, [2]uint64{a.id, b.id})
	delete(s.cut, [2]uint64{b.id, a.id})
}

func (s *sim) stopNode(n *node) {
	s.queue = nil
	s.crash(n)
}

// campaign makes a node start an election at once.
func (s *sim) campaign(n *node) { s.campaignAfter(n, n.core.Status().Term) }

// campaignAfter makes a node campaign in the term after the given one.
func (s *sim) campaignAfter(n *node, term uint64) {
	for _, sender := range s.membership.Members {
		if sender.ID != n.id && !sender.Learner {
			_ = n.core.Step(&consensus.Message{
				Type: consensus.MessageTimeoutNow, From: sender.ID, To: n.id, Incarnation: sender.Incarnation, Term: term,
			})
			s.pump(n)
			return
		}
	}
}

func (s *sim) write(n *node, value uint32) *operation {
	return s.invoke(n, 0, command{kind: opWrite, key: 1, value: value})
}

// readAtOldLeader reads at a leader that is cut off while another is elected.
func readAtOldLeader(s *sim) {
	old := s.leaderNode()
	rest := s.others(old)
	s.write(old, 1)
	s.exchange(4)
	s.disconnect(old, rest...)
	s.campaign(rest[0])
	s.exchange(4)
	s.write(rest[0], 2)
	s.exchange(4)
	s.invoke(old, 1, command{kind: opRead, key: 1})
	s.exchange(4)
	s.checkHistory()
}

// oldTermOnMajority replicates an old term's entries to a majority, stops the leader,
// and elects a replica with a later entry (Raft paper, figure 8).
func oldTermOnMajority(s *sim) {
	s1 := s.leaderNode()
	rest := s.others(s1)
	s2, s3, s4, s5 := rest[0], rest[1], rest[2], rest[3]
	s.disconnect(s1, s3, s4, s5)
	for value := range uint32(7) { // more than one append message
		s.write(s1, value+1)
	}
	s.exchange(4)
	s.stopNode(s1)
	s.disconnect(s5, s2)
	s.campaign(s5)
	s.exchange(2)
	s.stopNode(s5)
	clear(s.cut)
	s.start(s1)
	s.campaign(s1)
	s.exchange(3)
	s.campaign(s1)
	s.exchange(6)
	s.stopNode(s1)
	s.start(s5)

	for range 3 {
		s.campaign(s5)
		s.exchange(3)
	}
}

// delayedAppend delivers an old leader's append after its successor has committed
// another entry at the same index.
func delayedAppend(s *sim) {
	old := s.leaderNode()
	rest := s.others(old)
	next := rest[1]
	s.disconnect(old, next)
	s.write(old, 1)
	held := s.queue
	s.queue = nil
	s.campaign(next)
	s.exchange(4)
	s.stopNode(next)
	s.queue = held
	s.exchange(1)
	s.queue = nil
	for old.core.Role() == consensus.RoleLeader {
		old.core.Tick() // until its quorum check fails
	}
	for range 3 {
		s.campaign(old)
		s.exchange(3)
	}
}

// votesForLostDisk lets a candidate lose its disk after it requested votes. It restarts
// empty under the same id and campaigns in the same term when the votes arrive.
func votesForLostDisk(s *sim) {
	n := s.others(s.leaderNode())[0]
	term := n.core.Status().Term
	s.campaign(n)
	s.exchange(1)
	votes := s.queue
	s.stopNode(n)
	n.fs, n.diskLost = fsys.NewMem(), true
	s.start(n)
	s.campaignAfter(n, term)
	s.queue = votes
	s.exchange(3)
	s.operator = operator{toRemove: n.id, toAdd: s.join()}
}

// change proposes a membership change; a refusal leaves the members as they are.
func (s *sim) change(n *node, t consensus.ChangeType, id uint64) {
	_ = s.propose(n, t, id)
	s.pump(n)
}

// changeBeforeCommit lets two leaders each promote a learner in a group of four. If
// the second may do so before it has committed an entry of its term, the quorums of
// their two groups of five need not overlap.
func changeBeforeCommit(s *sim) {
	s1 := s.leaderNode()
	rest := s.others(s1)
	s2, s3, s4, s5 := rest[0], rest[1], rest[2], rest[3]
	s.change(s1, consensus.ChangeRemove, s5.id)
	s.exchange(6)
	s5.gone = true
	s.stopNode(s5)
	first, second := s.node(s.join()), s.node(s.join())
	for _, n := range []*node{first, second} {
		s.change(s1, consensus.ChangeAddLearner, n.id)
		s.exchange(10)
	}
	s.disconnect(s1, s2, s3, s4, second)
	s.disconnect(first, s2, s3, s4, second)
	s.change(s1, consensus.ChangePromote, first.id)
	s.exchange(3)
	s.campaign(s2)
	s.exchange(2)
	s.disconnect(s2, s3, s4)
	s.exchange(4)
	s.change(s2, consensus.ChangePromote, second.id)
	s.reconnect(s2, s3)
	for range 8 {
		s.now++
		s2.core.Tick() // heartbeat responses make it resend lost appends
		s.pump(s2)
		s.deliver()
	}
	for s1.core.Role() == consensus.RoleLeader {
		s1.core.Tick() // until its quorum check fails
	}
	s.reconnect(s1, s4)
	for range 3 {
		s.campaign(s1)
		s.exchange(3)
	}
}

func TestScenariosPassWithoutFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		voters int
		script scenario
	}{
		{"read at an old leader", 3, readAtOldLeader},
		{"old term on a majority", 5, oldTermOnMajority},
		{"delayed append", 3, delayedAppend},
		{"votes for a lost disk", 3, votesForLostDisk},
		{"change before a commit in the term", 5, changeBeforeCommit},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFaultFreeSim(c.voters, consensus.FaultNone)
			c.script(s)
			s.settle()
			if s.failure != nil {
				t.Error(s.failure)
			}
		})
	}
}
