package consensus

import "github.com/cespare/xxhash/v2"

// MaxSnapshotBytes bounds the data of one snapshot.
const MaxSnapshotBytes = 1 << 30

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	from  uint64
	first SnapshotChunk // without data
	data  []byte
}

func (in *incomingSnapshot) belongs(m *Message) bool {
	return in != nil && in.from == m.From && in.first.Index == m.Chunk.Index && in.first.Term == m.Chunk.Term &&
		in.first.Checksum == m.Chunk.Checksum && in.first.Total == m.Chunk.Total
}

// startSnapshot begins to send the newest snapshot to a replica whose next entry was
// compacted.
func (c *Core) startSnapshot(to uint64, p *progress) {
	p.state = stateSnapshot
	p.snapshot = c.snapshot
	p.checksum = xxhash.Sum64(p.snapshot.Data)
	p.offset, p.offsetAtHeartbeat = 0, 0
	p.transit.reset()
	c.sendChunk(to, p)
}

func (c *Core) sendChunk(to uint64, p *progress) {
	s := p.snapshot
	end := min(p.offset+uint64(c.cfg.ChunkBytes), uint64(len(s.Data)))
	p.transit.sent(int(end-p.offset), c.upTicks)
	c.sendEarly(Message{Type: MessageSnapshotChunk, To: to, Chunk: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Membership: s.Membership,
		Offset: p.offset, Total: uint64(len(s.Data)), Checksum: p.checksum, Data: s.Data[p.offset:end],
	}})
}

// handleSnapshotChunk collects the chunks of a snapshot, replies with the offset of the
// next chunk that it needs, and installs the snapshot once it is complete.
func (c *Core) handleSnapshotChunk(m *Message) {
	chunk := m.Chunk
	if chunk.Index <= c.log.committed {
		c.incoming = nil
		c.reply(m, Message{Type: MessageAppendResponse, Term: c.term, Index: c.log.committed, Hint: c.upTicks})
		return
	}
	if !c.incoming.belongs(m) {
		c.incoming = &incomingSnapshot{from: m.From, first: *chunk}
		c.incoming.first.Data = nil
	}
	in := c.incoming
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
	if uint64(len(in.data)) < chunk.Total {
		c.requestChunk(m, uint64(len(in.data)))
		return
	}
	c.incoming = nil
	if xxhash.Sum64(in.data) != chunk.Checksum {
		c.requestChunk(m, 0)
		return
	}
	c.install(&Snapshot{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership, Data: in.data})
	c.reply(m, Message{Type: MessageAppendResponse, Term: c.term, Index: chunk.Index, Hint: c.upTicks})
}

func (c *Core) requestChunk(m *Message, offset uint64) {
	c.reply(m, Message{Type: MessageSnapshotResponse, Term: c.term, Index: m.Chunk.Index, Hint: offset})
}

// install replaces the log with a complete snapshot. When the log already holds the
// snapshot's last entry, only the commit index advances.
func (c *Core) install(s *Snapshot) {
	if c.log.matches(s.Index, s.Term) {
		c.log.commitTo(s.Index)
		return
	}
	c.log.reset(s.Index, s.Term)
	c.memberships = []indexedMembership{{s.Index, s.Membership}}
	c.snapshot = s
	c.installed = s
	c.checkIncarnation()
}

func (c *Core) handleSnapshotResponse(p *progress, m *Message) {
	if p.state != stateSnapshot || m.Index != p.snapshot.Index || m.Hint > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.Hint == p.offset && m.Hint != 0 {
		return // answer to a repeated chunk
	}
	p.transit.answered(p.transit.bytes, c.upTicks)
	p.offset = m.Hint
	c.sendChunk(m.From, p)
}
