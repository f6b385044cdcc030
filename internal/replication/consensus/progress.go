package consensus

type progressState uint8

const (
	// stateProbe sends one append at a time until the logs are known to match.
	stateProbe progressState = iota
	// stateReplicate sends appends ahead of their responses.
	stateReplicate
	// stateSnapshot sends a snapshot chunk by chunk.
	stateSnapshot
)

// maxInflight bounds the append messages sent to a replica ahead of its responses.
const maxInflight = 64

// progress is what a leader knows about one replica. Invariant: match < next, and
// entries up to match are durable at the replica.
type progress struct {
	state             progressState
	match             uint64
	next              uint64
	inflight          []flight // unanswered appends in order
	transit           transit  // appends or snapshot chunks that are not answered
	probeSent         bool     // stateProbe: an append awaits its response
	active            bool     // heard from since the last quorum check
	silentTicks       int      // ticks since it was last heard from
	upTicks           uint64   // ticks since its start, as it said last
	readAck           uint64   // highest read sequence number confirmed
	matchAtHeartbeat  uint64   // match at the previous heartbeat response
	incarnation       uint64   // replica's incarnation that match refers to, 0 before first contact
	snapshot          *Snapshot
	checksum          uint64
	offset            uint64 // bytes of the snapshot that the replica has received
	offsetAtHeartbeat uint64 // offset at the previous heartbeat response
}

// flight is an append message that is not answered.
type flight struct {
	last  uint64 // index of its last entry
	bytes int
}

func (p *progress) paused() bool {
	switch p.state {
	case stateProbe:
		return p.probeSent
	case stateReplicate:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

func (p *progress) probe() {
	p.state = stateProbe
	p.next = p.match + 1
	p.inflight = nil
	p.probeSent = false
	p.snapshot = nil
	p.transit.reset()
}

func (p *progress) replicate() {
	p.state = stateReplicate
	p.transit.reset()
	p.next = max(p.next, p.match+1)
	p.inflight = nil
	p.snapshot = nil
}

// setUpTicks records the ticks since the replica's start. A replica that has restarted has lost
// what was on its way to it.
func (p *progress) setUpTicks(ticks uint64) {
	if ticks < p.upTicks {
		p.transit.lost = true
	}
	p.upTicks = ticks
}

// acknowledge records that entries up to index are durable at the replica.
func (p *progress) acknowledge(index, now uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	n, bytes := 0, 0
	for n < len(p.inflight) && p.inflight[n].last <= p.match {
		bytes += p.inflight[n].bytes
		n++
	}
	p.inflight = p.inflight[n:]
	if p.state == stateProbe {
		bytes = p.transit.bytes
	}
	if bytes > 0 {
		p.transit.answered(bytes, now)
	}
}
