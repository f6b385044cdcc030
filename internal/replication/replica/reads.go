package replica

import (
	"context"
	"errors"

	"filberthook/internal/replication/consensus"
)

// retryReadTicks is how long a read waits for its answer before it is asked again.
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
	asked    uint64 // tick
	index    uint64 // 0 until answered
}

// readQueue holds the barriers of a replica by the stage they are in.
type readQueue struct {
	next     uint64 // context of the next ReadIndex
	leader   uint64 // that the batches were asked of, 0 for none
	fresh    []*barrier
	asked    map[uint64]*readBatch
	answer   []*readBatch // answered, wait until index is applied
	attempts uint64       // ReadIndex calls
}

// ReadBarrier returns once this replica's state machine has applied everything that
// was committed in the group before the call. Any replica can serve it while it
// reaches a leader that has a quorum.
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

func (q *readQueue) add(b *barrier) { q.fresh = append(q.fresh, b) }

// startReads asks once for all new barriers.
func (r *Replica) startReads() {
	q := &r.reads
	if len(q.fresh) == 0 {
		return
	}
	if q.asked == nil {
		q.asked = map[uint64]*readBatch{}
	}
	q.next++
	q.attempts++
	q.asked[q.next] = &readBatch{barriers: q.fresh, asked: r.tick}
	q.fresh = nil
	if err := r.core.ReadIndex(q.next); err != nil {
		r.counters.readRetries.Inc() // repeated by retryReads
	}
}

// retryReads asks again for the batches without answer, all of them when there is a
// new leader. Barriers whose callers have left are dropped.
func (r *Replica) retryReads() {
	q := &r.reads
	leader := r.core.Leader()
	changed := leader != 0 && leader != q.leader
	q.leader = leader
	for id, batch := range q.asked {
		if !changed && r.tick-batch.asked < retryReadTicks {
			continue
		}
		delete(q.asked, id)
		for _, b := range batch.barriers {
			if b.ctx.Err() == nil {
				q.fresh = append(q.fresh, b)
			}
		}
		r.counters.readRetries.Inc()
	}
}

func (q *readQueue) answered(rs consensus.ReadState) {
	batch, ok := q.asked[rs.Context]
	if !ok {
		return
	}
	delete(q.asked, rs.Context)
	batch.index = rs.Index
	q.answer = append(q.answer, batch)
}

// release ends the barriers whose index has been applied.
func (q *readQueue) release(applied uint64) {
	kept := q.answer[:0]
	for _, batch := range q.answer {
		if batch.index > applied {
			kept = append(kept, batch)
			continue
		}
		for _, b := range batch.barriers {
			b.done <- nil
		}
	}
	clear(q.answer[len(kept):])
	q.answer = kept
}

// fail ends all barriers with an error.
func (q *readQueue) fail(err error) {
	for _, batch := range q.asked {
		q.answer = append(q.answer, batch)
	}
	q.answer = append(q.answer, &readBatch{barriers: q.fresh})
	for _, batch := range q.answer {
		for _, b := range batch.barriers {
			b.done <- err
		}
	}
}
