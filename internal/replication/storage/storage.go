// Package storage holds the durable state of a replica: the identity of its data
// folder, its log and its snapshots.
package storage

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/snapshot"
	"filberthook/internal/replication/wal"
)

const (
	lockFile       = "lock"
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// Options holds the settings of a Storage.
type Options struct {
	FS           fsys.FS
	Dir          string             // data folder of one replica
	ID           uint64             // replica id
	Members      []consensus.Member // initial members of the group
	SegmentBytes int64              // of the log, 0 for its default
	Random       io.Reader          // source of the incarnation, nil for crypto/rand
}

func (o Options) path(name string) string { return filepath.Join(o.Dir, name) }

// Storage is an open data folder. Save and Compact must be called by one goroutine;
// SaveSnapshot may be called by another.
type Storage struct {
	options   Options
	lock      io.Closer
	identity  identity
	log       *wal.Log
	snapshots *snapshot.Store
}

// Recovery describes the damage that Open repaired.
type Recovery struct {
	TornBytes        int64 // of an incomplete write at the end of the log
	DamagedSnapshots int   // newer than the snapshot recovered
}

// Open recovers the state from the data folder, or initializes an empty folder.
func Open(o Options) (*Storage, consensus.State, Recovery, error) {
	var st consensus.State
	var rec Recovery
	if err := o.FS.MkdirAll(o.Dir); err != nil {
		return nil, st, rec, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := o.FS.Lock(o.path(lockFile))
	if err != nil {
		return nil, st, rec, err
	}
	s, st, rec, err := openLocked(o)
	if err != nil {
		lock.Close()
		return nil, st, rec, err
	}
	s.lock = lock
	return s, st, rec, nil
}

// openLocked opens the folder; the caller must hold its lock.
func openLocked(o Options) (*Storage, consensus.State, Recovery, error) {
	var st consensus.State
	var rec Recovery
	// The process before may have ended between a rename and the sync of the folder.
	if err := o.FS.SyncDir(o.Dir); err != nil {
		return nil, st, rec, fmt.Errorf("sync data folder: %w", err)
	}
	id, err := loadIdentity(o)
	if err != nil {
		return nil, st, rec, err
	}
	snapshots, err := snapshot.Open(o.FS, o.path(filepath.Join(id.State, snapshotFolder)))
	if err != nil {
		return nil, st, rec, err
	}
	snap, damaged, err := snapshots.Load()
	if err != nil {
		return nil, st, rec, err
	}
	log, recovered, err := wal.Open(wal.Options{FS: o.FS, Dir: o.path(filepath.Join(id.State, logFolder)), SegmentBytes: o.SegmentBytes})
	if err != nil {
		return nil, st, rec, err
	}
	rec = Recovery{TornBytes: recovered.TornBytes, DamagedSnapshots: damaged}
	if snap == nil {
		snap = &consensus.Snapshot{Membership: id.initialMembership()}
	}
	s := &Storage{options: o, identity: id, log: log, snapshots: snapshots}
	st, err = reconcile(snap, recovered)
	if err == nil {
		err = s.alignLog(st)
	}
	if err != nil {
		log.Close()
		return nil, st, rec, err
	}
	return s, st, rec, nil
}

// Incarnation returns the random number that was drawn when the data folder was created.
func (s *Storage) Incarnation() uint64 { return s.identity.Incarnation }

// Close releases the files and the folder's lock.
func (s *Storage) Close() error { return errors.Join(s.log.Close(), s.lock.Close()) }

// SaveSnapshot makes a snapshot of this replica's state machine durable.
func (s *Storage) SaveSnapshot(snap *consensus.Snapshot) error { return s.snapshots.Save(snap) }

// Compact removes the segments of the log that the older of the stored snapshots covers.
func (s *Storage) Compact() error { return s.log.Compact(s.snapshots.OldestIndex()) }

// reconcile combines the newest snapshot with the log entries that follow it.
func reconcile(snap *consensus.Snapshot, rec *wal.Recovered) (consensus.State, error) {
	st := consensus.State{HardState: rec.HardState, Snapshot: *snap}
	if rec.Start.Index > snap.Index {
		return st, &GapError{Snapshot: snap.Index, Log: rec.Start.Index}
	}
	position := snap.Index - rec.Start.Index // entries at or before the snapshot
	if position > uint64(len(rec.Entries)) {
		return st, nil
	}
	if position > 0 && rec.Entries[position-1].Term != snap.Term {
		return st, nil // the snapshot was installed over a conflicting log
	}
	st.Entries = rec.Entries[position:]
	return st, nil
}

// alignLog resets the log to the snapshot's position when no recovered entry follows the
// snapshot. Such a log may end before the snapshot or conflict with it, because the process
// stopped between saving the two.
func (s *Storage) alignLog(st consensus.State) error {
	if st.Snapshot.Index == 0 || len(st.Entries) > 0 {
		return nil
	}
	return s.log.Reset(wal.Position{Index: st.Snapshot.Index, Term: st.Snapshot.Term}, st.HardState)
}

// GapError reports that the log does not reach back to the snapshot.
type GapError struct {
	Snapshot uint64 // index of the newest intact snapshot, 0 for none
	Log      uint64 // index after which the log starts
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("log starts after %d but the newest intact snapshot is at %d: join this host as a learner with a new replica id and an empty data folder", e.Log, e.Snapshot)
}

// Save persists the snapshot, hard state and entries of a Ready. The snapshot comes
// first, because the log must never start after the newest snapshot.
func (s *Storage) Save(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := s.snapshots.Save(rd.Snapshot); err != nil {
			return err
		}
		at := wal.Position{Index: rd.Snapshot.Index, Term: rd.Snapshot.Term}
		if err := s.log.Reset(at, *rd.HardState); err != nil {
			return err
		}
	}
	return s.log.Save(rd.HardState, rd.Entries)
}
