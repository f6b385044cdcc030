package controlnode

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of the queue to one replica.
const (
	raftQueueLength = 1024
	raftBatchBytes  = 2 << 20 // messages are sent together up to this size
	raftSendTimeout = 2 * time.Second
)

// transport carries the messages of the replicated log to the other replicas,
// one queue and one connection for each. It implements replica.Transport.
type transport struct {
	ctx     context.Context
	clients *clientPool
	address func(id uint64) string // empty when unknown
	dropped *metrics.Counter
	failed  *metrics.Counter

	mu      sync.Mutex
	queues  map[uint64]chan []byte
	senders sync.WaitGroup
}

// newTransport returns a transport whose senders end with ctx.
func newTransport(ctx context.Context, clients *clientPool, address func(uint64) string, set *metrics.Set) *transport {
	return &transport{
		ctx:     ctx,
		clients: clients,
		address: address,
		dropped: set.GetOrCreateCounter(`filberthook_control_raft_dropped_total{reason="queue_full"}`),
		failed:  set.GetOrCreateCounter(`filberthook_control_raft_dropped_total{reason="not_sent"}`),
		queues:  map[uint64]chan []byte{},
	}
}

// Send implements replica.Transport.
func (t *transport) Send(to uint64, msg []byte) {
	select {
	case t.queue(to) <- msg:
	default:
		t.dropped.Inc()
	}
}

// queue returns the queue of a replica and starts its sender at the first use.
func (t *transport) queue(to uint64) chan<- []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[to]
	if !ok {
		q = make(chan []byte, raftQueueLength)
		t.queues[to] = q
		t.senders.Go(func() { t.send(to, q) })
	}
	return q
}

// wait returns once all senders have ended.
func (t *transport) wait() { t.senders.Wait() }

func (t *transport) send(to uint64, queue <-chan []byte) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case msg := <-queue:
			t.sendBatch(to, collect(msg, queue))
		}
	}
}

// collect adds the messages that wait already.
func collect(first []byte, queue <-chan []byte) raftBatch {
	batch := raftBatch{Messages: [][]byte{first}}
	size := len(first)
	for size < raftBatchBytes {
		select {
		case msg := <-queue:
			batch.Messages = append(batch.Messages, msg)
			size += len(msg)
		default:
			return batch
		}
	}
	return batch
}

func (t *transport) sendBatch(to uint64, batch raftBatch) {
	address := t.address(to)
	if address == "" {
		t.failed.Add(len(batch.Messages))
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, raftSendTimeout)
	defer cancel()
	if err := t.clients.get(address).Notify(ctx, methodRaft, batch); err != nil {
		t.failed.Add(len(batch.Messages))
	}
}
