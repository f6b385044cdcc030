package raftnet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/replication/consensus"
)

// Limits of the queue to one replica.
const (
	queueLength = 1024
	batchBytes  = 1 << 20 // messages are sent together up to this size
	sendTimeout = 2 * time.Second
	// queueBytes bounds the messages queued for one replica. It has room for a message
	// larger than a few configurations, and all queues together use only part of a small
	// host's memory.
	queueBytes = 8 << 20
)

// Transport sends the messages of the replicated log to the other replicas. Each has a queue and
// a connection for appends and snapshot chunks, and another of both for all other messages: on
// one connection a large append delays heartbeats until the leader is taken for lost. It
// implements replica.Transport.
type Transport struct {
	ctx     context.Context
	clients *Pool
	address func(id uint64) string // empty when unknown
	dropped *metrics.Counter
	failed  *metrics.Counter

	mu      sync.Mutex
	queues  map[uint64]*queue // appends and snapshot chunks
	urgent  map[uint64]*queue // other messages
	unsent  func(to uint64)   // nil if nobody asks
	senders sync.WaitGroup
}

// NewTransport returns a transport whose senders stop when ctx is done.
func NewTransport(ctx context.Context, clients *Pool, address func(uint64) string, set *metrics.Set) *Transport {
	return &Transport{
		ctx:     ctx,
		clients: clients,
		address: address,
		dropped: set.GetOrCreateCounter(`filberthook_control_raft_dropped_total{reason="queue_full"}`),
		failed:  set.GetOrCreateCounter(`filberthook_control_raft_dropped_total{reason="not_sent"}`),
		queues:  map[uint64]*queue{},
		urgent:  map[uint64]*queue{},
	}
}

// OnUnsent sets a function that is told of appends and snapshot chunks that were dropped. It
// must be called before the first message is sent.
func (t *Transport) OnUnsent(unsent func(to uint64)) { t.unsent = unsent }

// queue holds the messages to be sent to one replica.
type queue struct {
	messages chan []byte
	bytes    atomic.Int64
}

// put adds a message and reports whether there was room. A message of any size fits an
// empty queue.
func (q *queue) put(msg []byte) bool {
	size := int64(len(msg))
	if total := q.bytes.Add(size); total > queueBytes && total > size {
		q.bytes.Add(-size)
		return false
	}
	select {
	case q.messages <- msg:
		return true
	default:
		q.bytes.Add(-size)
		return false
	}
}

// Send implements replica.Transport.
func (t *Transport) Send(to uint64, msg []byte) {
	if consensus.Urgent(msg) {
		if !t.queueFor(t.urgent, to, true).put(msg) {
			t.dropped.Inc()
		}
		return
	}
	if !t.queue(to).put(msg) {
		t.dropped.Inc()
		t.reportUnsent(to)
	}
}

func (t *Transport) reportUnsent(to uint64) {
	if t.unsent != nil {
		t.unsent(to)
	}
}

// queue returns the queue of appends and snapshot chunks to a replica.
func (t *Transport) queue(to uint64) *queue { return t.queueFor(t.queues, to, false) }

// queueFor returns a queue to a replica and starts its sender on first use.
func (t *Transport) queueFor(queues map[uint64]*queue, to uint64, urgent bool) *queue {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := queues[to]
	if !ok {
		q = &queue{messages: make(chan []byte, queueLength)}
		queues[to] = q
		t.senders.Go(func() { t.send(to, urgent, q) })
	}
	return q
}

// Wait returns once all senders have stopped.
func (t *Transport) Wait() { t.senders.Wait() }

func (t *Transport) send(to uint64, urgent bool, q *queue) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case msg := <-q.messages:
			if t.ctx.Err() != nil {
				return // the messages are those of a replica that has ended
			}
			batch, size := collectBatch(msg, q.messages)
			if !t.sendBatch(to, urgent, batch) && !urgent {
				t.reportUnsent(to)
			}
			q.bytes.Add(-size)
		}
	}
}

// collectBatch returns the first message with those already queued, up to batchBytes,
// and their total size.
func collectBatch(first []byte, queue <-chan []byte) (Batch, int64) {
	batch := Batch{Messages: [][]byte{first}}
	size := len(first)
	for size < batchBytes {
		select {
		case msg := <-queue:
			batch.Messages = append(batch.Messages, msg)
			size += len(msg)
		default:
			return batch, int64(size)
		}
	}
	return batch, int64(size)
}

// sendBatch reports whether the batch was written to a connection. It may be lost all the same.
func (t *Transport) sendBatch(to uint64, urgent bool, batch Batch) bool {
	address := t.address(to)
	if address == "" {
		t.failed.Add(len(batch.Messages))
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	if err := t.clients.get(connection{address, urgent}).Notify(ctx, Method, batch); err != nil {
		t.failed.Add(len(batch.Messages))
		return false
	}
	return true
}
