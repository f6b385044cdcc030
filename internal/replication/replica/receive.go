package replica

import "filberthook/internal/replication/consensus"

// maxQueuedBytes bounds the received messages that wait for the loop.
const maxQueuedBytes = 64 << 20

// Receive takes an encoded message from the transport and retains msg. It returns an
// error for malformed messages and drops messages while the queue is full.
func (r *Replica) Receive(msg []byte) error {
	m, err := consensus.DecodeMessage(msg)
	if err != nil {
		r.counters.malformed.Inc()
		return err
	}
	r.counters.received(len(msg))
	size := int64(len(msg))
	if r.queuedBytes.Add(size) > maxQueuedBytes {
		r.queuedBytes.Add(-size)
		r.counters.queueFull.Inc()
		return nil
	}
	select {
	case r.messages <- queuedMessage{message: m, size: size}:
	default:
		r.queuedBytes.Add(-size)
		r.counters.queueFull.Inc()
	}
	return nil
}

// unsentLength bounds the reports of messages that were not sent. One that is dropped delays
// a resend only.
const unsentLength = 64

// Unsent tells the replica that the transport has dropped an append or a snapshot chunk, which
// it otherwise takes for lost only after the time that the message would need.
func (r *Replica) Unsent(to uint64) {
	select {
	case r.unsent <- to:
	default:
	}
}

// queuedMessage is a message and its encoded size in bytes.
type queuedMessage struct {
	message *consensus.Message
	size    int64
}
