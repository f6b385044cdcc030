package replica

import (
	"context"
	"log/slog"
)

// maybeSnapshot takes a snapshot when enough was applied since the last one. Another
// goroutine writes the file; at most one write is in progress.
func (r *Replica) maybeSnapshot() {
	applied := r.core.Applied()
	entries := applied - r.lastSnapshot
	due := entries >= r.cfg.SnapshotEvery || r.appliedBytes >= r.cfg.SnapshotBytes
	if r.snapshotInProgress || !due {
		return
	}
	r.lastSnapshot, r.appliedBytes = applied, 0 // set first, so that a failure is not retried at every entry
	data, err := r.machine.Snapshot()
	if err != nil {
		r.counters.snapshotErrors.Inc()
		r.cfg.Logger.Error("state machine returned no snapshot, trying again after the next interval", slog.Any("error", err))
		return
	}
	// The log keeps as many entries as this snapshot adds: followers that lag by less
	// are sent entries instead of a snapshot.
	snap := r.core.Compact(applied, data, entries)
	r.snapshotInProgress = true
	r.snapshots <- snap
}

// writeSnapshots makes snapshots durable without blocking the loop.
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

// snapshotWritten drops the log segments that the older of the stored snapshots covers.
func (r *Replica) snapshotWritten() error {
	r.snapshotInProgress = false
	return r.storage.Compact()
}
