package replica

import (
	"context"
	"errors"

	"filberthook/internal/replication/consensus"
)

// retryReadTicks is how many ticks a ReadIndex waits for its answer before it is repeated.
const retryReadTicks = 4

// errNoAnswer reports a read that got no answer from a leader with a quorum.
var errNoAnswer = errors.New("no leader with a quorum answered")

// barrier is one ReadBarrier call.
type barrier struct {
	ctx  context.Context
	done chan error
}

// readBatch is a set of barriers that share one ReadIndex.
type readBatch struct {
	barriers []*barrier
	sentAt   uint64 // tick at which the ReadIndex was sent
	index    uint64 // 0 until answered
}

// readQueue holds the barriers of a replica by the stage they are in.
type readQueue struct {
	next     uint64 // context of the next ReadIndex
	leader   uint64 // leader that the batches in flight were sent to, 0 for none
	unsent   []*barrier
	inFlight map[uint64]*readBatch
	answered []*readBatch // waiting until their index is applied
	attempts uint64       // ReadIndex calls
}

// ReadBarrier returns once this replica's state machine has applied everything that
// was committed in the group before the call. Any replica can serve it while it can
// reach a leader with a quorum.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	b := &barrier{ctx: ctx, done: make(chan error, 1)}
	select {
	case r.barriers <- b:
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return &ReadTimeoutError{Err: context.Cause(ctx)}
	}
	select {
	case err := <-b.done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		r.counters.readTimeouts.Inc()
		return &ReadTimeoutError{Err: context.Cause(ctx)}
	}
}

// ReadTimeoutError reports a read that could not be confirmed in time.
type ReadTimeoutError struct{ Err error }

// Error implements error.
func (e *ReadTimeoutError) Error() string {
	return "read not confirmed (" + errNoAnswer.Error() + "): retry, or read at a replica in another availability zone; cause: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ReadTimeoutError) Unwrap() error { return e.Err }

func (q *readQueue) add(b *barrier) { q.unsent = append(q.unsent, b) }

// startReads sends one ReadIndex for all new barriers.
func (r *Replica) startReads() {
	q := &r.reads
	if len(q.unsent) == 0 {
		return
	}
	if q.inFlight == nil {
		q.inFlight = map[uint64]*readBatch{}
	}
	q.next++
	q.attempts++
	q.inFlight[q.next] = &readBatch{barriers: q.unsent, sentAt: r.tick}
	q.unsent = nil
	if err := r.core.ReadIndex(q.next); err != nil {
		r.counters.readRetries.Inc() // repeated by retryReads
	}
}

// retryReads requeues the batches that have waited too long, or all in flight when there
// is a new leader. It drops barriers whose context has ended.
func (r *Replica) retryReads() {
	q := &r.reads
	leader := r.core.Leader()
	changed := leader != 0 && leader != q.leader
	q.leader = leader
	for id, batch := range q.inFlight {
		if !changed && r.tick-batch.sentAt < retryReadTicks {
			continue
		}
		delete(q.inFlight, id)
		for _, b := range batch.barriers {
			if b.ctx.Err() == nil {
				q.unsent = append(q.unsent, b)
			}
		}
		r.counters.readRetries.Inc()
	}
}

func (q *readQueue) handleReadState(rs consensus.ReadState) {
	batch, ok := q.inFlight[rs.Context]
	if !ok {
		return
	}
	delete(q.inFlight, rs.Context)
	batch.index = rs.Index
	q.answered = append(q.answered, batch)
}

// release ends the barriers whose index has been applied.
func (q *readQueue) release(applied uint64) {
	kept := q.answered[:0]
	for _, batch := range q.answered {
		if batch.index > applied {
			kept = append(kept, batch)
			continue
		}
		for _, b := range batch.barriers {
			b.done <- nil
		}
	}
	clear(q.answered[len(kept):])
	q.answered = kept
}

// fail ends all barriers with an error.
func (q *readQueue) fail(err error) {
	for _, batch := range q.inFlight {
		q.answered = append(q.answered, batch)
	}
	q.answered = append(q.answered, &readBatch{barriers: q.unsent})
	for _, batch := range q.answered {
		for _, b := range batch.barriers {
			b.done <- err
		}
	}
}
