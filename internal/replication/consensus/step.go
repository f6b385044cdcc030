package consensus

// Step handles a message from another replica. A RefusedError says that the
// message was dropped; it needs no action besides counting.
func (c *Core) Step(m *Message) error {
	switch {
	case c.excluded != ExclusionNone:
		return &RefusedError{Reason: ReasonExcluded}
	case m.To != c.cfg.ID:
		return &RefusedError{Reason: ReasonWrongAddressee}
	}
	if err := c.checkAddressee(m); err != nil {
		return err
	}
	if err := c.checkSender(m); err != nil {
		return err
	}
	switch m.Type {
	case MessageExcluded:
		c.handleExcluded(m)
		return nil
	case MessageReadIndex:
		c.handleReadIndex(m)
		return nil
	case MessageReadIndexResponse:
		c.readStates = append(c.readStates, ReadState{Context: m.Context, Index: m.Index})
		return nil
	}
	if !c.checkTerm(m) {
		return nil
	}
	c.handle(m)
	return nil
}

// checkAddressee drops messages for another data folder under this id, such as votes
// that were requested before this replica lost its disk. A leader addresses heartbeats
// to the incarnation it knows, so one for another folder shows that the disk was lost.
func (c *Core) checkAddressee(m *Message) error {
	if m.ToIncarnation == 0 || m.ToIncarnation == c.cfg.Incarnation || c.fault == faultIgnoreIncarnation {
		return nil
	}
	if m.Type == MessageHeartbeat {
		c.excluded = ExclusionDiskLost
	}
	return &RefusedError{Reason: ReasonWrongIncarnation}
}

// checkSender drops messages from removed replicas and from replicas that lost the
// data folder whose incarnation the group recorded.
func (c *Core) checkSender(m *Message) error {
	membership := c.membership()
	if membership.IsRetired(m.From) {
		c.notifyRemoved(m)
		return &RefusedError{Reason: ReasonRetiredID}
	}
	member, ok := membership.Find(m.From)
	if !ok || member.Incarnation == 0 || member.Incarnation == m.Incarnation || c.fault == faultIgnoreIncarnation {
		return nil
	}
	if m.Type != MessageExcluded {
		c.reply(m, Message{Type: MessageExcluded, Hint: member.Incarnation})
	}
	return &RefusedError{Reason: ReasonWrongIncarnation}
}

// notifyRemoved tells a removed replica that it is excluded once the removal is committed.
func (c *Core) notifyRemoved(m *Message) {
	if m.Type != MessageExcluded && c.membershipAt(c.log.committed).IsRetired(m.From) {
		c.reply(m, Message{Type: MessageExcluded})
	}
}

// Exclude ends this replica's part in its group, as a member of the group has told the host
// that the replica was removed.
func (c *Core) Exclude() { c.excluded = ExclusionRemoved }

func (c *Core) handleExcluded(m *Message) {
	switch m.Hint {
	case c.cfg.Incarnation:
	case 0:
		c.excluded = ExclusionRemoved
	default:
		c.excluded = ExclusionDiskLost
	}
}

// checkTerm adopts a newer term or rejects a message of an older one. It reports
// whether the message is to be handled.
func (c *Core) checkTerm(m *Message) bool {
	request := m.Type == MessagePreVote || m.Type == MessageVote
	switch {
	case m.Term > c.term:
		if request && !m.Force && c.leaseHeld() {
			return false
		}
		if m.Type == MessagePreVote || m.Type == MessagePreVoteResponse && !m.Reject {
			return true
		}
		c.becomeFollower(m.Term, 0)
		return true
	case m.Term < c.term:
		return c.fault == faultAcceptStaleAppend && m.Type == MessageAppend || c.rejectStaleTerm(m)
	}
	return true
}

// rejectStaleTerm answers a request of an older term so that its sender learns the
// newer one. It always returns false: the message is not handled.
func (c *Core) rejectStaleTerm(m *Message) bool {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshotChunk:
		c.reply(m, Message{Type: MessageAppendResponse, Term: c.term, Index: m.Index, Reject: true})
	case MessagePreVote:
		c.reply(m, Message{Type: MessagePreVoteResponse, Term: c.term, Reject: true})
	}
	return false
}

func (c *Core) handle(m *Message) {
	switch m.Type {
	case MessagePreVote, MessageVote:
		c.handleVoteRequest(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(m)
	case MessageAppend:
		c.followLeader(m)
		c.handleAppend(m)
	case MessageHeartbeat:
		c.followLeader(m)
		c.handleHeartbeat(m)
	case MessageSnapshotChunk:
		c.followLeader(m)
		c.handleSnapshotChunk(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow()
	default:
		c.handleResponse(m)
	}
}

// followLeader accepts the sender as the leader of the current term.
func (c *Core) followLeader(m *Message) {
	if c.role != RoleFollower {
		leader := c.leader
		c.becomeFollower(c.term, leader)
	}
	c.electionElapsed = 0
	c.lastLeader, c.lastLeaderTicks = m.From, 0
	c.setLeader(m.From)
}

func (c *Core) handleTimeoutNow() {
	if c.role != RoleLeader && c.membership().IsVoter(c.cfg.ID) {
		c.campaign(RoleCandidate, true)
	}
}

// handleResponse handles the responses to a leader's messages.
func (c *Core) handleResponse(m *Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	if p.incarnation == 0 {
		p.incarnation = m.Incarnation
	}
	if p.incarnation != m.Incarnation && c.fault != faultIgnoreIncarnation {
		return
	}
	p.active = true
	p.silentTicks = 0
	switch m.Type {
	case MessageAppendResponse:
		c.handleAppendResponse(p, m)
	case MessageHeartbeatResponse:
		c.handleHeartbeatResponse(p, m)
	case MessageSnapshotResponse:
		c.handleSnapshotResponse(p, m)
	}
}
