package consensus

// ChangeType says what a Change does to a member.
type ChangeType uint8

const (
	ChangeAddLearner ChangeType = iota + 1
	ChangePromote
	ChangeRemove
	ChangeDemote
)

// Change is one step of a membership change. AddLearner uses ID, Address and Zone
// of Member; the others use ID.
type Change struct {
	Type   ChangeType
	Member Member
}

// ProposeMembership appends a membership change to the leader's log. The change takes
// effect when appended; index and term tell whether it was committed, as in Propose.
func (c *Core) ProposeMembership(change Change) (index, term uint64, err error) {
	if err := c.checkPropose(0); err != nil {
		return 0, 0, err
	}
	next, reason := c.planChange(change)
	if reason != "" {
		return 0, 0, &RefusedError{Reason: reason, Leader: c.leader}
	}
	return c.appendAsLeader(EntryMembership, next.Encode()), c.term, nil
}

func (c *Core) planChange(change Change) (Membership, Reason) {
	if c.fault != faultOverlappingChanges {
		if c.changePending() {
			return Membership{}, ReasonChangePending
		}
		if !c.committedInTerm() && c.fault != faultChangeBeforeCommit {
			return Membership{}, ReasonNotReady
		}
	}
	switch change.Type {
	case ChangeAddLearner:
		return c.planAdd(change.Member)
	case ChangePromote:
		return c.planPromote(change.Member.ID)
	case ChangeDemote:
		return c.planDemote(change.Member.ID)
	default:
		return c.planRemove(change.Member.ID)
	}
}

func (c *Core) planAdd(member Member) (Membership, Reason) {
	m := c.membership()
	if _, ok := m.Find(member.ID); ok || member.ID == 0 {
		return m, ReasonKnownMember
	}
	if m.IsRetired(member.ID) {
		return m, ReasonRetiredID
	}
	member.Learner = true
	member.Incarnation = 0
	return m.withMember(member), ""
}

// planPromote makes a learner a voter if it is active, its incarnation is known and its
// log holds every committed entry.
func (c *Core) planPromote(id uint64) (Membership, Reason) {
	m := c.membership()
	member, ok := m.Find(id)
	if !ok {
		return m, ReasonUnknownMember
	}
	if !member.Learner {
		return m, ReasonKnownMember
	}
	if m.Voters() >= MaxVoters {
		return m, ReasonTooManyVoters
	}
	p := c.progress[id]
	silent := p.silentTicks >= c.cfg.ElectionTicks
	if p.match < c.log.committed && c.fault != faultPromoteEarly || silent || p.incarnation == 0 {
		return m, ReasonNotCaughtUp
	}
	member.Learner = false
	member.Incarnation = p.incarnation
	return m.withMember(member), ""
}

// planRemove removes a member if a quorum of the remaining voters holds every committed
// entry.
func (c *Core) planRemove(id uint64) (Membership, Reason) {
	m := c.membership()
	member, ok := m.Find(id)
	switch {
	case m.IsRetired(id):
		return m, ReasonRetiredID
	case !ok:
		return m, ReasonUnknownMember
	case id == c.cfg.ID:
		return m, ReasonRemoveLeader
	}
	next := m.without(id)
	if !member.Learner && !c.quorumHolds(next) {
		return m, ReasonQuorumAtRisk
	}
	return next, ""
}

// planDemote makes a voter a learner if a quorum of the remaining voters holds every
// committed entry. The member keeps its log and can be promoted again.
func (c *Core) planDemote(id uint64) (Membership, Reason) {
	m := c.membership()
	member, ok := m.Find(id)
	switch {
	case !ok:
		return m, ReasonUnknownMember
	case member.Learner:
		return m, ReasonKnownMember
	case id == c.cfg.ID:
		return m, ReasonRemoveLeader
	}
	member.Learner = true
	next := m.withMember(member)
	if !c.quorumHolds(next) {
		return m, ReasonQuorumAtRisk
	}
	return next, ""
}

// quorumHolds reports whether a quorum of the voters of m holds every committed entry.
func (c *Core) quorumHolds(m Membership) bool {
	return m.Voters() > 0 && m.quorumValue(func(voter uint64) uint64 { return c.progress[voter].match }) >= c.log.committed
}

// TransferLeadership asks a voter to take over. Proposals are refused until it
// does or an election timeout has passed.
func (c *Core) TransferLeadership(to uint64) error {
	if err := c.checkPropose(0); err != nil {
		return err
	}
	if !c.membership().IsVoter(to) {
		return &RefusedError{Reason: ReasonUnknownMember, Leader: c.leader}
	}
	if to == c.cfg.ID {
		return nil
	}
	c.transferee = to
	c.electionElapsed = 0
	c.sendAppends = true
	c.continueTransfer(to, c.progress[to])
	return nil
}

// continueTransfer lets the transferee start its election once its log is complete.
func (c *Core) continueTransfer(id uint64, p *progress) {
	if c.transferee == id && p.match == c.log.lastIndex() {
		c.sendEarly(Message{Type: MessageTimeoutNow, To: id})
	}
}
