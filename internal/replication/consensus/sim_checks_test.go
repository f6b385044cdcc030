package consensus_test

import (
	"bytes"
	"fmt"
	"hash/fnv"

	"filberthook/internal/replication/consensus"
)

// observer records what happened in the whole group. The checks compare each node with
// it.
type observer struct {
	failure    error
	appliedLog []consensus.Entry // every entry that any replica applied
	// memberships are the ones in force after each entry of appliedLog.
	memberships []consensus.Membership
	applyTerms  []uint64          // term of the first replica to apply it, at that time
	leaders     map[uint64]uint64 // by term
	votes       map[ballotKey]candidate
	membership  consensus.Membership // newest one applied
	changedAt   uint64               // its index
	crashes     int
	demotions   int
	installs    int    // snapshots received and installed
	trace       uint64 // hash of all messages, to show that runs repeat
}

type ballotKey struct {
	term, voter, incarnation uint64
}

// candidate is a replica's id and incarnation.
type candidate struct{ id, incarnation uint64 }

func newObserver() observer {
	return observer{leaders: map[uint64]uint64{}, votes: map[ballotKey]candidate{}}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("seed %d tick %d: "+format, append([]any{s.seed, s.now}, args...)...)
	}
}

func (s *sim) voters() []uint64 {
	var ids []uint64
	for _, m := range s.membership.Members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (s *sim) bootstrapped() bool { return s.changedAt > 0 && s.membership.IncarnationsRecorded() }

// recordMessage adds a message to the trace and checks that a data folder grants one
// vote in a term.
func (s *sim) recordMessage(n *node, m *consensus.Message) {
	h := fnv.New64a()
	fmt.Fprint(h, s.trace, s.now, m.Type, m.From, m.To, m.Term, m.Index)
	s.trace = h.Sum64()
	if m.Type != consensus.MessageVoteResponse || m.Reject {
		return
	}
	key := ballotKey{m.Term, n.id, m.Incarnation}
	to := candidate{m.To, m.ToIncarnation}
	if earlier, ok := s.votes[key]; ok && earlier != to {
		s.fail("replica %d voted for %v and %v in term %d", n.id, earlier, to, m.Term)
	}
	s.votes[key] = to
}

// check verifies a node's state against the observer's record.
func (s *sim) check(n *node) {
	if n.core == nil {
		return
	}
	st := n.core.Status()
	if st.Commit < n.commit {
		s.fail("commit of %d went back from %d to %d", n.id, n.commit, st.Commit)
	}
	if st.Commit != n.commit && !n.core.Installing() {
		s.checkMembership(n, st.Commit)
	}
	n.commit = st.Commit
	if st.Applied > st.Commit || st.Applied != n.applied && st.Exclusion == consensus.ExclusionNone && !n.core.Installing() {
		s.fail("replica %d applied %d, says %d, committed %d", n.id, n.applied, st.Applied, st.Commit)
	}
	if term, ok := n.core.EntryTerm(st.Commit); ok && st.Commit > 0 && st.Commit <= uint64(len(s.appliedLog)) {
		if want := s.appliedLog[st.Commit-1].Term; term != want {
			s.fail("replica %d committed entry %d of term %d, want term %d", n.id, st.Commit, term, want)
		}
	}
	if st.Role == consensus.RoleLeader {
		s.checkLeader(n, st)
	}
}

// checkMembership compares a node's members at an index with those that the first
// replica to apply it had.
func (s *sim) checkMembership(n *node, index uint64) {
	if index == 0 || index > uint64(len(s.appliedLog)) {
		return
	}
	want := s.memberships[index-1].Encode()
	if got := n.core.MembershipAt(index).Encode(); !bytes.Equal(got, want) {
		s.fail("replica %d has other members at %d: %x, want %x", n.id, index, got, want)
	}
}

// checkLeader verifies that the term has one leader, which holds every entry committed
// in earlier terms.
func (s *sim) checkLeader(n *node, st consensus.Status) {
	if changes := n.core.PendingChanges(); changes > 1 {
		s.fail("leader %d has %d membership changes in progress", n.id, changes)
	}
	leader, known := s.leaders[st.Term]
	if known && leader != n.id {
		s.fail("replicas %d and %d both lead term %d", leader, n.id, st.Term)
	}
	if known {
		return
	}
	s.leaders[st.Term] = n.id
	for _, e := range s.appliedLog {
		// Delayed votes may elect a leader of an earlier term. It lacks the entries
		// committed since and cannot commit anything itself.
		if e.Index < st.FirstIndex || s.applyTerms[e.Index-1] >= st.Term {
			continue
		}
		if term, ok := n.core.EntryTerm(e.Index); !ok || term != e.Term {
			s.fail("leader %d of term %d lacks applied entry %d of term %d", n.id, st.Term, e.Index, e.Term)
		}
	}
}

// checkPromotion verifies that a learner holds durably all that the leader had
// committed when it proposed to promote it.
func (s *sim) checkPromotion(leader *node, id uint64) {
	n := s.node(id)
	if n.core == nil || n.core.Status().Exclusion != consensus.ExclusionNone {
		return
	}
	if commit := leader.core.Status().Commit; n.core.Durable() < commit {
		s.fail("learner %d was promoted with %d of %d entries", id, n.core.Durable(), commit)
	}
}

// apply checks the entry against the applied log and applies it.
func (s *sim) apply(n *node, e consensus.Entry) {
	if e.Index != n.applied+1 {
		s.fail("replica %d applied %d after %d", n.id, e.Index, n.applied)
		return
	}
	n.applied = e.Index
	switch known := uint64(len(s.appliedLog)); {
	case e.Index == known+1:
		s.recordApplied(n, e)
	case e.Index > known:
		s.fail("replica %d applied %d beyond the applied log's end at %d", n.id, e.Index, known)
	default:
		want := s.appliedLog[e.Index-1]
		if e.Term != want.Term || e.Type != want.Type || !bytes.Equal(e.Data, want.Data) {
			s.fail("replica %d applied another entry %d: term %d, want term %d", n.id, e.Index, e.Term, want.Term)
		}
	}
	s.complete(n, e)
}

// recordApplied records the first application of an entry.
func (s *sim) recordApplied(n *node, e consensus.Entry) {
	if e.Type == consensus.EntryMembership {
		m, err := consensus.DecodeMembership(e.Data)
		if err != nil {
			s.fail("membership entry %d: %v", e.Index, err)
		}
		s.membership, s.changedAt = m, e.Index
	}
	s.appliedLog = append(s.appliedLog, e)
	s.memberships = append(s.memberships, s.membership)
	s.applyTerms = append(s.applyTerms, n.core.Status().Term)
}

func (s *sim) describe() string {
	var b bytes.Buffer
	for _, n := range s.nodes {
		if n.core == nil {
			fmt.Fprintf(&b, "[%d down gone=%v]", n.id, n.gone)
			continue
		}
		st := n.core.Status()
		fmt.Fprintf(&b, "[%d %s term %d commit %d last %d leader %d]", n.id, st.Role, st.Term, st.Commit, st.LastIndex, st.Leader)
	}
	return fmt.Sprintf("%s voters %v operator %+v applied %d", b.String(), s.voters(), s.operator, len(s.appliedLog))
}
