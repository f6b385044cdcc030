package consensus

// ballot is one replica's response to a vote request.
type ballot struct {
	granted     bool
	incarnation uint64
}

// startElection begins with a pre-vote, which changes no durable state.
func (c *Core) startElection() {
	if !c.membership().IsVoter(c.cfg.ID) {
		return
	}
	c.campaign(RolePreCandidate, false)
}

// campaign asks all voters for their vote. A pre-candidate asks for the next term
// without entering it.
func (c *Core) campaign(role Role, force bool) {
	term, request := c.term+1, MessagePreVote
	c.becomeFollower(c.term, 0)
	if role == RoleCandidate {
		request = MessageVote
		c.setTerm(term)
		c.setVote(c.cfg.ID, c.cfg.Incarnation)
	}
	c.role = role
	c.votes = map[uint64]ballot{c.cfg.ID: {granted: true, incarnation: c.cfg.Incarnation}}
	if c.countVotes() {
		return
	}
	for _, member := range c.membership().Members {
		if member.Learner || member.ID == c.cfg.ID {
			continue
		}
		c.send(Message{Type: request, To: member.ID, ToIncarnation: member.Incarnation, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Force: force})
	}
}

// countVotes moves to the next phase when a quorum granted its vote, becomes a follower
// when too many voters refused, and reports whether this phase was won.
func (c *Core) countVotes() bool {
	m := c.membership()
	granted, rejected := 0, 0
	for id, b := range c.votes {
		switch {
		case !m.IsVoter(id):
		case b.granted:
			granted++
		default:
			rejected++
		}
	}
	if granted >= m.Quorum() {
		if c.role == RolePreCandidate {
			c.campaign(RoleCandidate, false)
		} else {
			c.becomeLeader()
		}
		return true
	}
	if rejected > m.Voters()-m.Quorum() {
		c.becomeFollower(c.term, 0)
	}
	return false
}

func (c *Core) becomeLeader() {
	ballots := c.votes
	c.becomeFollower(c.term, 0)
	c.role = RoleLeader
	c.setLeader(c.cfg.ID)
	c.uncommitted = 0
	c.progress = make(map[uint64]*progress)
	c.syncProgress()
	if p := c.progress[c.lastLeader]; p != nil {
		p.silentTicks = c.lastLeaderTicks
	}
	c.lastLeader = 0
	m := c.membership()
	if m.IncarnationsRecorded() {
		c.appendAsLeader(EntryNormal, nil)
		return
	}
	c.appendAsLeader(EntryMembership, recordIncarnations(m, ballots).Encode())
}

// recordIncarnations sets the voters' missing incarnations from their votes. While any
// is missing an election must be unanimous, so every voter has voted.
func recordIncarnations(m Membership, ballots map[uint64]ballot) Membership {
	for _, member := range m.Members {
		if b, ok := ballots[member.ID]; ok && !member.Learner && member.Incarnation == 0 {
			member.Incarnation = b.incarnation
			m = m.withMember(member)
		}
	}
	return m
}

// leaseHeld reports whether this replica heard from a leader within the shortest
// election timeout. Vote requests are ignored meanwhile: they would only disturb the group.
func (c *Core) leaseHeld() bool {
	return c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) handleVoteRequest(m *Message) {
	pre := m.Type == MessagePreVote
	response := Message{Type: MessageVoteResponse, Term: c.term, Reject: true}
	if pre {
		response.Type = MessagePreVoteResponse
	}
	canVote := c.votedFor(m.From, m.Incarnation) || c.vote == 0 && c.leader == 0 || pre && m.Term > c.term || c.fault == faultVoteTwice
	logUpToDate := c.log.upToDate(m.LogTerm, m.Index) || c.fault == faultVoteStaleLog
	if canVote && logUpToDate {
		response.Term, response.Reject = m.Term, false
		if c.yields(m) {
			c.becomeFollower(c.term, 0)
		}
		if !pre {
			c.electionElapsed = 0
			c.setVote(m.From, m.Incarnation)
		}
	}
	c.reply(m, response)
}

// yields reports whether this pre-candidate withdraws for another one that it grants its
// pre-vote: the one whose log is newer, else the one with the higher id, goes on. Both would
// split the votes of the next term, and the group would wait for another election timeout.
func (c *Core) yields(m *Message) bool {
	if m.Type != MessagePreVote || c.role != RolePreCandidate || m.Term != c.term+1 {
		return false
	}
	sameLog := m.LogTerm == c.log.lastTerm() && m.Index == c.log.lastIndex()
	return !sameLog || m.From > c.cfg.ID
}

func (c *Core) handleVoteResponse(m *Message) {
	want := RoleCandidate
	if m.Type == MessagePreVoteResponse {
		want = RolePreCandidate
	}
	if c.role != want {
		return
	}
	if m.Type == MessagePreVoteResponse && !m.Reject && m.Term != c.term+1 {
		return
	}
	if _, seen := c.votes[m.From]; seen {
		return
	}
	c.votes[m.From] = ballot{granted: !m.Reject, incarnation: m.Incarnation}
	c.countVotes()
}
