package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/storage"
)

const (
	// queueLength bounds each queue of calls and messages to the loop.
	queueLength = 4096
	// batchLength bounds the queued calls and messages that the loop takes before it writes.
	batchLength = 1024
	// bootstrapWarnTimeouts is the number of election timeouts between two warnings that
	// a new group is incomplete.
	bootstrapWarnTimeouts = 10
)

// Replica is one running member. Only the loop's goroutine uses core and the fields
// below it; callers reach the loop through the channels.
type Replica struct {
	cfg       Config
	transport Transport
	counters  *counters
	status    atomic.Pointer[Status]
	started   atomic.Bool
	stopped   chan struct{} // closed when the loop has ended

	messages      chan queuedMessage
	queuedBytes   atomic.Int64 // bytes of the queued messages
	proposals     chan *proposal
	barriers      chan *barrier
	tasks         chan *task
	unsent        chan uint64              // replicas that a message could not be sent to
	snapshots     chan *consensus.Snapshot // to the snapshot writer, at most one at a time
	snapshotSaved chan struct{}            // a snapshot became durable

	core               *consensus.Core
	machine            StateMachine
	storage            *storage.Storage
	tick               uint64 // ticks since the start
	pending            map[uint64]*proposal
	reads              readQueue
	waiters            []*waiter
	lastSnapshot       uint64 // index
	appliedBytes       uint64 // since the last snapshot
	snapshotInProgress bool   // the snapshot writer is busy
}

// Run runs the replica until ctx ends or the disk fails. When ctx ends, a leader first
// transfers leadership. It returns nil when ctx ended and *storage.ExcludedError when
// the replica must no longer take part in its group. It can be called once.
func (r *Replica) Run(ctx context.Context) error {
	if !r.started.CompareAndSwap(false, true) {
		return fmt.Errorf("replica %d has already run or was closed: open it again", r.cfg.ID)
	}
	g, loopCtx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.loop(loopCtx) })
	g.Go(func() error { return r.writeSnapshots(loopCtx) })
	err := g.Wait()
	r.storage.Close()
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (r *Replica) loop(ctx context.Context) error {
	defer r.stop()
	ticks := r.cfg.Ticks
	if ticks == nil {
		ticker := time.NewTicker(r.cfg.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		if err := r.process(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return r.transferOnStop()
		case <-ticks:
			r.handleTick()
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case b := <-r.barriers:
			r.reads.add(b)
		case c := <-r.tasks:
			c.run(c)
		case to := <-r.unsent:
			r.core.Unsent(to)
		case <-r.snapshotSaved:
			if err := r.snapshotWritten(); err != nil {
				return err
			}
		}
		r.drain()
	}
}

// drain handles what else is queued, so that one write to disk serves all of it.
func (r *Replica) drain() {
	for range batchLength {
		select {
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case b := <-r.barriers:
			r.reads.add(b)
		default:
			return
		}
	}
}

func (r *Replica) step(m queuedMessage) {
	r.queuedBytes.Add(-m.size)
	if err := r.core.Step(m.message); err != nil {
		r.counters.dropped(err)
	}
}

func (r *Replica) handleTick() {
	r.tick++
	r.core.Tick()
	r.expireProposals()
	r.retryReads()
	r.warnIncompleteBootstrap()
}

// warnIncompleteBootstrap logs why a new group has no leader yet.
func (r *Replica) warnIncompleteBootstrap() {
	if r.tick%uint64(bootstrapWarnTimeouts*r.cfg.ElectionTicks) != 0 {
		return
	}
	s := r.core.Status()
	if s.Leader == 0 && s.Membership.IsVoter(s.ID) && !s.Membership.IncarnationsRecorded() {
		r.cfg.Logger.Warn("no leader: a new group elects one only once all of its initial members are up; start the others",
			slog.Uint64("replica", s.ID), slog.Int("members", s.Membership.Voters()))
	}
}

// process handles all Ready batches of the core, then waiters, snapshots and status.
func (r *Replica) process() error {
	if r.core.Leader() != r.reads.leader {
		r.retryReads()
	}
	r.startReads()
	for {
		rd := r.core.Ready()
		if rd.Empty() {
			break
		}
		if err := r.handleReady(&rd); err != nil {
			return err
		}
		r.core.Advance()
	}
	r.finishWaiters()
	r.maybeSnapshot()
	status := r.publishStatus()
	if status.Exclusion != consensus.ExclusionNone {
		return r.storage.Exclude(status.Exclusion)
	}
	return nil
}

func (r *Replica) handleReady(rd *consensus.Ready) error {
	r.send(rd.Early)
	if err := r.storage.Save(rd); err != nil {
		return err
	}
	r.send(rd.Messages)
	if rd.Snapshot != nil {
		if err := r.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.Committed {
		r.apply(e)
	}
	for _, rs := range rd.ReadStates {
		r.reads.handleReadState(rs)
	}
	r.reads.release(r.appliedAfter(rd))
	return nil
}

// appliedAfter returns the applied index after rd has been processed.
func (r *Replica) appliedAfter(rd *consensus.Ready) uint64 {
	if n := len(rd.Committed); n > 0 {
		return rd.Committed[n-1].Index
	}
	return r.core.Applied()
}

func (r *Replica) send(messages []consensus.Message) {
	for i := range messages {
		m := &messages[i]
		data := consensus.EncodeMessage(m)
		r.counters.sent(len(data))
		r.transport.Send(m.To, data)
	}
}

func (r *Replica) apply(e consensus.Entry) {
	var result any
	r.appliedBytes += uint64(len(e.Data))
	if e.Type == consensus.EntryNormal && len(e.Data) > 0 {
		result = r.machine.Apply(e.Index, e.Data)
	}
	p, ok := r.pending[e.Index]
	if !ok {
		return
	}
	delete(r.pending, e.Index)
	if p.term == e.Term {
		p.finish(result, nil)
		return
	}
	p.finish(nil, r.notLeader())
}

func (r *Replica) restore(snap *consensus.Snapshot) error {
	if err := r.machine.Restore(snap.Data); err != nil {
		return fmt.Errorf("restore received snapshot %d: %w", snap.Index, err)
	}
	r.lastSnapshot, r.appliedBytes = snap.Index, 0
	for index, p := range r.pending {
		if index <= snap.Index {
			delete(r.pending, index)
			p.finish(nil, &UnknownOutcomeError{Err: errSnapshotPassed})
		}
	}
	return nil
}

// stop ends all waiting calls with ErrStopped, which proposals receive wrapped in an
// *UnknownOutcomeError.
func (r *Replica) stop() {
	close(r.stopped)
	for _, p := range r.pending {
		p.finish(nil, &UnknownOutcomeError{Err: ErrStopped})
	}
	r.reads.fail(ErrStopped)
	for _, w := range r.waiters {
		w.done <- ErrStopped
	}
}
