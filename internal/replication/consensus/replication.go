package consensus

import (
	"math"

	"filberthook/internal/process/invariant"
)

// Propose appends a command to the leader's log. The command is committed once the
// entry at the returned index is committed with the returned term. A committed entry
// of another term at that index means that the command will never be applied.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.checkPropose(len(data)); err != nil {
		return 0, 0, err
	}
	return c.appendAsLeader(EntryNormal, data), c.term, nil
}

func (c *Core) checkPropose(size int) error {
	refuse := func(r Reason) error { return &RefusedError{Reason: r, Leader: c.leader} }
	switch {
	case c.excluded != ExclusionNone:
		return refuse(ReasonExcluded)
	case c.role != RoleLeader:
		return refuse(ReasonNotLeader)
	case c.transferee != 0:
		return refuse(ReasonTransferring)
	case size > MaxEntryBytes:
		return refuse(ReasonSize)
	case c.uncommitted > 0 && c.uncommitted+size > c.cfg.MaxUncommittedBytes:
		return refuse(ReasonBusy)
	}
	return nil
}

// appendAsLeader adds an entry of this leader's term.
func (c *Core) appendAsLeader(t EntryType, data []byte) uint64 {
	e := Entry{Term: c.term, Index: c.log.lastIndex() + 1, Type: t, Data: data}
	c.appendLog([]Entry{e})
	c.uncommitted += entrySize(e)
	if t == EntryMembership {
		c.syncProgress()
	}
	c.sendAppends = true
	return e.Index
}

// syncProgress adds and removes progress entries to match the membership.
func (c *Core) syncProgress() {
	m := c.membership()
	for id := range c.progress {
		if _, ok := m.Find(id); !ok {
			delete(c.progress, id)
		}
	}
	for _, member := range m.Members {
		p := c.progress[member.ID]
		if p == nil {
			p = &progress{next: c.log.lastIndex() + 1, active: true}
			c.progress[member.ID] = p
		}
		if member.Incarnation != 0 {
			p.incarnation = member.Incarnation
		}
	}
	self := c.progress[c.cfg.ID]
	self.incarnation = c.cfg.Incarnation
	self.match = max(self.match, c.log.stable)
	self.next = max(self.next, self.match+1)
}

// flushLeader queues the heartbeats and appends that became due since the last Ready,
// so that many proposals share one append.
func (c *Core) flushLeader() {
	for _, member := range c.membership().Members {
		if member.ID == c.cfg.ID {
			continue
		}
		p := c.progress[member.ID]
		if c.sendHeartbeats {
			c.sendHeartbeat(member.ID, p)
		}
		if c.sendAppends {
			c.sendAppend(member.ID, p)
		}
	}
	c.sendAppends, c.sendHeartbeats = false, false
}

func (c *Core) sendHeartbeat(to uint64, p *progress) {
	c.sendEarly(Message{Type: MessageHeartbeat, To: to, Commit: min(p.match, c.log.committed), Context: c.readSeq})
}

// sendAppend sends entries until all are sent or the replica's in-flight window is full.
func (c *Core) sendAppend(to uint64, p *progress) {
	for !p.paused() {
		prev := p.next - 1
		prevTerm, ok := c.log.term(prev)
		if !ok {
			c.startSnapshot(to, p)
			return
		}
		entries := c.log.slice(prev, c.log.lastIndex(), c.cfg.MaxAppendBytes)
		c.sendEarly(Message{Type: MessageAppend, To: to, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.log.committed})
		size := entriesSize(entries)
		if size > 0 {
			p.transit.sent(size, c.upTicks)
		}
		if p.state == stateProbe {
			p.probeSent = true
			return
		}
		if len(entries) == 0 {
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, flight{p.next - 1, size})
		if p.next > c.log.lastIndex() {
			return
		}
	}
}

func (c *Core) handleAppend(m *Message) {
	response := Message{Type: MessageAppendResponse, Term: c.term}
	if m.Index < c.log.committed {
		response.Index, response.Hint = c.log.committed, c.upTicks
		c.reply(m, response)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) && (c.fault != faultSkipLogCheck || m.Index > c.log.lastIndex()) {
		response.Reject = true
		response.Index = m.Index
		response.Hint = c.log.findConflictByTerm(m.Index, m.LogTerm)
		response.LogTerm, _ = c.log.term(response.Hint)
		c.reply(m, response)
		return
	}
	c.appendLog(c.log.missing(m.Entries))
	response.Index, response.Hint = m.Index+uint64(len(m.Entries)), c.upTicks
	c.log.commitTo(min(m.Commit, response.Index))
	c.reply(m, response)
}

func (c *Core) handleAppendResponse(p *progress, m *Message) {
	if m.Reject {
		c.handleReject(p, m)
		return
	}
	invariant.Check(m.Index <= c.log.lastIndex(), "match-within-log", "replica %d holds %d, last %d", m.From, m.Index, c.log.lastIndex())
	p.acknowledge(m.Index, c.upTicks)
	p.setUpTicks(m.Hint)
	switch {
	case p.state == stateProbe:
		p.replicate()
	case p.state == stateSnapshot && p.match >= p.snapshot.Index:
		p.probe()
	}
	c.advanceCommit()
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From, p)
	}
	c.continueTransfer(m.From, p)
}

// handleReject probes again at an earlier index at which the logs may match.
func (c *Core) handleReject(p *progress, m *Message) {
	stale := m.Index <= p.match || p.state == stateProbe && m.Index != p.next-1 || p.state == stateSnapshot
	if stale {
		return
	}
	guess := min(m.Index-1, m.Hint)
	if guess > c.log.offset {
		guess = c.log.findConflictByTerm(guess, m.LogTerm)
	}
	p.probe()
	p.next = max(p.match, guess) + 1
	c.sendAppend(m.From, p)
}

// advanceCommit commits the entries that are durable at a quorum. Entries of earlier
// terms are committed only together with a later entry of the current term.
func (c *Core) advanceCommit() {
	index := c.membership().quorumValue(func(id uint64) uint64 { return c.progress[id].match })
	if index <= c.log.committed {
		return
	}
	term, _ := c.log.term(index)
	if term != c.term && c.fault != faultCommitOldTerm {
		return
	}
	c.uncommitted = max(0, c.uncommitted-entriesSize(c.log.slice(c.log.committed, index, math.MaxInt)))
	c.log.commitTo(index)
	c.sendAppends = true
	c.startDelayedReads()
}

// committedInTerm reports whether this leader committed an entry of its own term,
// so that its commit index covers everything committed before it was elected.
func (c *Core) committedInTerm() bool {
	term, _ := c.log.term(c.log.committed)
	return term == c.term
}

func (c *Core) handleHeartbeat(m *Message) {
	c.log.commitTo(m.Commit)
	c.reply(m, Message{Type: MessageHeartbeatResponse, Term: c.term, Context: m.Context, Hint: c.upTicks})
}

// handleHeartbeatResponse also resends lost messages: it takes them for lost when the
// replica acknowledged nothing new since its previous heartbeat response, although the time
// that they need has passed or it has restarted.
func (c *Core) handleHeartbeatResponse(p *progress, m *Message) {
	c.confirmReads(p, m.Context)
	p.setUpTicks(m.Hint)
	if p.match == c.log.lastIndex() {
		p.probeSent = false
		c.continueTransfer(m.From, p)
		return
	}
	stalled := p.match == p.matchAtHeartbeat && p.offset == p.offsetAtHeartbeat
	p.matchAtHeartbeat, p.offsetAtHeartbeat = p.match, p.offset
	overdue := p.transit.overdue(c.upTicks)
	switch {
	case p.state == stateSnapshot && stalled && overdue:
		p.transit.reset()
		c.sendChunk(m.From, p)
	case p.state == stateReplicate && stalled && overdue:
		p.probe()
	case p.state == stateProbe && overdue:
		p.transit.reset()
		p.probeSent = false
	}
	c.sendAppend(m.From, p)
}

// Unsent records that a message to a replica was not sent. Only a leader's appends and snapshot
// chunks are sent again; it waits for the replica's next heartbeat response, which shows that
// the replica can be reached.
func (c *Core) Unsent(to uint64) {
	if p := c.progress[to]; c.role == RoleLeader && p != nil && p.transit.bytes > 0 {
		p.transit.lost = true
	}
}
