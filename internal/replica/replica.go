package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"filberthook/internal/consensus"
	"filberthook/internal/storage"
)

const (
	// queueLength bounds the calls and messages that wait for the loop.
	queueLength = 4096
	// batchLength bounds what the loop takes from one queue before it writes.
	batchLength = 1024
	// maxQueuedBytes bounds the received messages that wait for the loop.
	maxQueuedBytes = 64 << 20
)

// Replica is one running member. All fields below core are used by the loop's
// goroutine alone; callers reach it through the queues.
type Replica struct {
	cfg       Config
	transport Transport
	counters  *counters
	status    atomic.Pointer[Status]
	started   atomic.Bool
	stopped   chan struct{} // closed when the loop has ended

	messages  chan received
	queued    atomic.Int64 // bytes in messages
	proposals chan *proposal
	barriers  chan *barrier
	commands  chan *command
	snapshots chan *consensus.Snapshot // to the snapshot writer, at most one at a time
	written   chan struct{}            // a snapshot became durable

	core         *consensus.Core
	machine      StateMachine
	storage      *storage.Storage
	tick         uint64 // ticks since the start
	pending      map[uint64]*proposal
	reads        readQueue
	waiters      []*waiter
	lastSnapshot uint64
	writing      bool // the snapshot writer is busy
}

// Open recovers the replica from its data folder. The state machine must be empty.
func Open(cfg Config, sm StateMachine, tr Transport) (*Replica, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	disk, st, recovery, err := storage.Open(cfg.storageOptions())
	if err != nil {
		return nil, fmt.Errorf("open replica %d: %w", cfg.ID, err)
	}
	if recovery != (storage.Recovery{}) {
		cfg.Logger.Warn("recovered from incomplete writes",
			slog.Int("snapshots", recovery.DamagedSnapshots), slog.Int64("log_bytes", recovery.TornBytes))
	}
	r, err := assemble(cfg, sm, tr, disk, st)
	if err != nil {
		disk.Close()
		return nil, fmt.Errorf("open replica %d: %w", cfg.ID, err)
	}
	return r, nil
}

func assemble(cfg Config, sm StateMachine, tr Transport, disk *storage.Storage, st consensus.State) (*Replica, error) {
	if st.Snapshot.Index > 0 {
		if err := sm.Restore(st.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore snapshot %d: %w", st.Snapshot.Index, err)
		}
	}
	seed, err := randomUint64()
	if err != nil {
		return nil, err
	}
	core, err := consensus.New(consensus.Config{
		ID: cfg.ID, Incarnation: disk.Incarnation(), ElectionTicks: cfg.ElectionTicks, Seed: seed,
	}, st)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, transport: tr, machine: sm, storage: disk, core: core,
		counters:     newCounters(cfg.Metrics),
		stopped:      make(chan struct{}),
		messages:     make(chan received, queueLength),
		proposals:    make(chan *proposal, queueLength),
		barriers:     make(chan *barrier, queueLength),
		commands:     make(chan *command, queueLength),
		snapshots:    make(chan *consensus.Snapshot, 1),
		written:      make(chan struct{}, 1),
		pending:      map[uint64]*proposal{},
		lastSnapshot: st.Snapshot.Index,
	}
	// Read contexts start at a random number: an answer to a read made before a
	// restart must not be taken for the answer to a later one.
	r.reads.next = seed
	r.publishStatus()
	r.registerGauges()
	return r, nil
}

func randomUint64() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("draw random number: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

// Close releases the data folder of a replica that was never run.
func (r *Replica) Close() error {
	if !r.started.CompareAndSwap(false, true) {
		return nil // Run releases it
	}
	close(r.stopped)
	return r.storage.Close()
}

// Run serves the replica until ctx ends or the disk fails. It returns nil when ctx
// ended, *storage.ExcludedError when the replica
// must not take part any more. It can be
// called once.
func (r *Replica) Run(ctx context.Context) error {
	if !r.started.CompareAndSwap(false, true) {
		return fmt.Errorf("replica %d was started before: open it again", r.cfg.ID)
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
			return r.handOver()
		case <-ticks:
			r.handleTick()
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case b := <-r.barriers:
			r.reads.add(b)
		case c := <-r.commands:
			c.run(c)
		case <-r.written:
			if err := r.snapshotWritten(); err != nil {
				return err
			}
		}
		r.drain()
	}
}

// drain takes what else is waiting, so that one write to disk serves all of it.
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

func (r *Replica) step(m received) {
	r.queued.Add(-m.size)
	if err := r.core.Step(m.message); err != nil {
		r.counters.dropped(err)
	}
}

func (r *Replica) handleTick() {
	r.tick++
	r.core.Tick()
	r.expireProposals()
	r.retryReads()
}

// process carries out everything that the core has ready.
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
		r.reads.answered(rs)
	}
	r.reads.release(r.appliedAfter(rd))
	return nil
}

// appliedAfter returns the applied index once rd has been carried out.
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
	r.lastSnapshot = snap.Index
	for index, p := range r.pending {
		if index <= snap.Index {
			delete(r.pending, index)
			p.finish(nil, &UnknownOutcomeError{Err: errSnapshotPassed})
		}
	}
	return nil
}

// stop ends all waiting calls.
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

// Receive takes an encoded message from the transport. It keeps msg. It returns an
// error for malformed messages; a message that finds the queue full is dropped.
func (r *Replica) Receive(msg []byte) error {
	m, err := consensus.DecodeMessage(msg)
	if err != nil {
		r.counters.malformed.Inc()
		return err
	}
	r.counters.received(len(msg))
	size := int64(len(msg))
	if r.queued.Add(size) > maxQueuedBytes {
		r.queued.Add(-size)
		r.counters.queueFull.Inc()
		return nil
	}
	select {
	case r.messages <- received{message: m, size: size}:
	default:
		r.queued.Add(-size)
		r.counters.queueFull.Inc()
	}
	return nil
}

// received is a message and its encoded size in bytes.
type received struct {
	message *consensus.Message
	size    int64
}
