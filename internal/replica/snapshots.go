package replica

import (
	"context"
	"log/slog"
)

// maybeSnapshot takes a snapshot when enough entries were applied since the last
// one. The file is written by another goroutine; one write is under way at most.
func (r *Replica) maybeSnapshot() {
	applied := r.core.Applied()
	if r.writing || applied < r.lastSnapshot+r.cfg.SnapshotEvery {
		return
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		r.counters.snapshotErrors.Inc()
		r.cfg.Logger.Error("state machine gave no snapshot", slog.Any("error", err))
		r.lastSnapshot = applied // try again after the same number of entries
		return
	}
	// Followers that lag by less than one snapshot's worth get entries.
	snap := r.core.Compact(applied, data, r.cfg.SnapshotEvery)
	r.lastSnapshot = applied
	r.writing = true
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
			r.written <- struct{}{}
		}
	}
}

// snapshotWritten drops the log segments that even the older snapshot covers.
func (r *Replica) snapshotWritten() error {
	r.writing = false
	return r.storage.Compact()
}
