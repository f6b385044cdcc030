package consensus

// pendingRead is a read that waits for a quorum to confirm the leader. Its index
// is the leader's commit index when the read arrived.
type pendingRead struct {
	seq     uint64
	from    uint64 // replica that sent the ReadIndex
	context uint64
	index   uint64
}

// ReadIndex requests an index that covers everything committed before the call. A
// ReadState with the same context returns it. The call stays unanswered when a message
// is lost or the leader changes, so the caller repeats it after a timeout. Contexts
// must be unique across restarts of a replica.
func (c *Core) ReadIndex(context uint64) error {
	switch {
	case c.excluded != ExclusionNone:
		return &RefusedError{Reason: ReasonExcluded}
	case c.role == RoleLeader:
		c.startRead(c.cfg.ID, context)
	case c.leader != 0:
		c.send(Message{Type: MessageReadIndex, To: c.leader, Context: context})
	default:
		return &RefusedError{Reason: ReasonNotLeader}
	}
	return nil
}

func (c *Core) handleReadIndex(m *Message) {
	if c.role == RoleLeader {
		c.startRead(m.From, m.Context)
	}
}

func (c *Core) startRead(from, context uint64) {
	r := pendingRead{from: from, context: context, index: c.log.committed}
	if !c.committedInTerm() {
		c.delayedReads = append(c.delayedReads, r)
		return
	}
	if c.membership().Quorum() == 1 || c.fault == faultReadWithoutQuorum {
		c.finishRead(r)
		return
	}
	c.readSeq++
	r.seq = c.readSeq
	c.reads = append(c.reads, r)
	c.sendHeartbeats = true
}

// startDelayedReads starts the reads that arrived before the first commit in the term.
func (c *Core) startDelayedReads() {
	delayed := c.delayedReads
	c.delayedReads = nil
	for _, r := range delayed {
		c.startRead(r.from, r.context)
	}
}

// confirmReads finishes the reads whose sequence number a quorum has confirmed.
func (c *Core) confirmReads(p *progress, seq uint64) {
	if seq <= p.readAck {
		return
	}
	p.readAck = seq
	confirmed := c.membership().quorumValue(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.readSeq
		}
		return c.progress[id].readAck
	})
	n := 0
	for n < len(c.reads) && c.reads[n].seq <= confirmed {
		c.finishRead(c.reads[n])
		n++
	}
	c.reads = c.reads[n:]
}

func (c *Core) finishRead(r pendingRead) {
	if r.from == c.cfg.ID {
		c.readStates = append(c.readStates, ReadState{Context: r.context, Index: r.index})
		return
	}
	c.send(Message{Type: MessageReadIndexResponse, To: r.from, Context: r.context, Index: r.index})
}
