package replica

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/storage"
)

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
	r, err := newReplica(cfg, sm, tr, disk, st)
	if err != nil {
		disk.Close()
		return nil, fmt.Errorf("open replica %d: %w", cfg.ID, err)
	}
	return r, nil
}

func newReplica(cfg Config, sm StateMachine, tr Transport, disk *storage.Storage, st consensus.State) (*Replica, error) {
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
		counters:      newCounters(cfg.Metrics),
		stopped:       make(chan struct{}),
		messages:      make(chan queuedMessage, queueLength),
		proposals:     make(chan *proposal, queueLength),
		barriers:      make(chan *barrier, queueLength),
		tasks:         make(chan *task, queueLength),
		unsent:        make(chan uint64, unsentLength),
		snapshots:     make(chan *consensus.Snapshot, 1),
		snapshotSaved: make(chan struct{}, 1),
		pending:       map[uint64]*proposal{},
		lastSnapshot:  st.Snapshot.Index,
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
