package replica

import (
	"context"
	"log/slog"
)

// maybeSnapshot takes a snapshot when enough was applied since the last one. The
// file is written by another goroutine; one write is under way at most.
func (r *Replica) maybeSnapshot() {
	applied := r.core.Applied()
	entries := applied - r.lastSnapshot
	due := entries >= r.cfg.SnapshotEvery || r.appliedBytes >= r.cfg.SnapshotBytes
	if r.snapshotInProgress || !due {
		return
	}
	r.lastSnapshot, r.appliedBytes = applied, 0 // also after an error: not at every entry
	data, err := r.machine.Snapshot()
	if err != nil {
		r.counters.snapshotErrors.Inc()
		r.cfg.Logger.Error("state machine gave no snapshot", slog.Any("error", err))
		return
	}
	// Followers that lag by less than one snapshot's worth get entries.
	snap := r.core.Compact(applied, data, entries)
	r.snapshotInProgress = true
	r.snapshots <- snap
}

// writeSnapshots makes snapshots durable without holding up the loop.
func (r *Replica) writeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case snap := <-r.snapshots:
			if err := r.storage.SaveSnapshot(snap); err != nil {
				return err
			}
			r.counters.snapshots.Inc()
			r.snapshotSaved <- struct{}{}
		}
	}
}

// snapshotWritten drops the log segments that even the older snapshot covers.
func (r *Replica) snapshotWritten() error {
	r.snapshotInProgress = false
	return r.storage.Compact()
}
