// Package storage is the durable part of a replica: the identity of its data
// folder, its log and its snapshots, recovered and written together.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	iofs "io/fs"
	"path/filepath"

	"filberthook/internal/consensus"
	"filberthook/internal/fsys"
	"filberthook/internal/snapshot"
	"filberthook/internal/wal"
)

const (
	identityFile   = "identity.json"
	lockFile       = "lock"
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// Options holds the settings of a storage.
type Options struct {
	FS           fsys.FS
	Dir          string // data folder of one replica
	ID           uint64 // replica id
	Members      []consensus.Member
	SegmentBytes int64     // of the log, 0 for its default
	Random       io.Reader // source of the incarnation, nil for the system's
}

func (o Options) path(name string) string { return filepath.Join(o.Dir, name) }

// identity belongs to one data folder for its whole life.
type identity struct {
	ID          uint64             `json:"id"`
	Incarnation uint64             `json:"incarnation"`
	Members     []consensus.Member `json:"members"` // first members of the group
	// Exclusion is kept so that a restart does not ask the group again.
	Exclusion consensus.Exclusion `json:"exclusion,omitempty"`
}

// initialMembership returns the first members when the replica is one of them. Any
// other replica starts with none and waits to be added.
func (id identity) initialMembership() consensus.Membership {
	m := consensus.NewMembership(id.Members)
	if _, ok := m.Find(id.ID); !ok {
		return consensus.Membership{}
	}
	return m
}

// Storage is an open data folder. Save and Compact are called by one goroutine;
// SaveSnapshot may be called by another.
type Storage struct {
	options   Options
	lock      io.Closer
	identity  identity
	log       *wal.Log
	snapshots *snapshot.Store
}

// Recovery tells what Open had to repair.
type Recovery struct {
	TornBytes        int64 // of an incomplete write at the end of the log
	DamagedSnapshots int   // newer than the one used
}

// Open recovers the state from the data folder, or starts an empty one.
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

// openLocked needs the folder's lock.
func openLocked(o Options) (*Storage, consensus.State, Recovery, error) {
	var st consensus.State
	var rec Recovery
	id, err := loadIdentity(o)
	if err != nil {
		return nil, st, rec, err
	}
	snapshots, err := snapshot.Open(o.FS, o.path(snapshotFolder))
	if err != nil {
		return nil, st, rec, err
	}
	snap, damaged, err := snapshots.Load()
	if err != nil {
		return nil, st, rec, err
	}
	log, recovered, err := wal.Open(wal.Options{FS: o.FS, Dir: o.path(logFolder), SegmentBytes: o.SegmentBytes})
	if err != nil {
		return nil, st, rec, err
	}
	rec = Recovery{TornBytes: recovered.Torn, DamagedSnapshots: damaged}
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

// Incarnation returns the random number of the data folder.
func (s *Storage) Incarnation() uint64 { return s.identity.Incarnation }

// Close releases the files and the folder's lock.
func (s *Storage) Close() error { return errors.Join(s.log.Close(), s.lock.Close()) }

// SaveSnapshot makes a snapshot of this replica's state machine durable.
func (s *Storage) SaveSnapshot(snap *consensus.Snapshot) error { return s.snapshots.Save(snap) }

// Compact removes the part of the log that the older of the kept snapshots covers.
func (s *Storage) Compact() error { return s.log.Compact(s.snapshots.OldestIndex()) }

// reconcile joins the newest snapshot with the log entries that follow it.
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
		return st, nil // the snapshot was installed over a log that differs
	}
	st.Entries = rec.Entries[position:]
	return st, nil
}

// alignLog makes the log continue after the snapshot when it ends before or
// differs from it: the process stopped between saving the two.
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

func loadIdentity(o Options) (identity, error) {
	var id identity
	data, err := o.FS.ReadFile(o.path(identityFile))
	if errors.Is(err, iofs.ErrNotExist) {
		return createIdentity(o)
	}
	if err != nil {
		return id, fmt.Errorf("read identity: %w", err)
	}
	if err := json.Unmarshal(data, &id); err != nil || id.Incarnation == 0 {
		return id, errors.New("identity file is damaged: join this host as a learner with a new replica id and an empty data folder")
	}
	if id.ID != o.ID {
		return id, fmt.Errorf("data folder belongs to replica %d, settings say %d: correct the settings or choose another folder", id.ID, o.ID)
	}
	if id.Exclusion != consensus.ExclusionNone {
		return id, &ExcludedError{ID: id.ID, Exclusion: id.Exclusion}
	}
	return id, nil
}

func createIdentity(o Options) (identity, error) {
	id := identity{ID: o.ID, Members: o.Members}
	names, err := o.FS.List(o.path(logFolder))
	if err == nil && len(names) > 0 {
		return id, errors.New("data folder holds a log but no identity file: restore the file or start with an empty folder and a new replica id")
	}
	source := o.Random
	if source == nil {
		source = rand.Reader
	}
	var random [8]byte
	for id.Incarnation == 0 {
		if _, err := io.ReadFull(source, random[:]); err != nil {
			return id, fmt.Errorf("draw incarnation: %w", err)
		}
		id.Incarnation = binary.LittleEndian.Uint64(random[:])
	}
	return id, saveIdentity(o, id)
}

func saveIdentity(o Options, id identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	if err := fsys.WriteFile(o.FS, o.path(identityFile), data); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return nil
}

// Exclude marks the data folder as never to be used again and returns the
// *ExcludedError that opening it will give from now on.
func (s *Storage) Exclude(e consensus.Exclusion) error {
	s.identity.Exclusion = e
	if err := saveIdentity(s.options, s.identity); err != nil {
		return err
	}
	return &ExcludedError{ID: s.identity.ID, Exclusion: e}
}

// ExcludedError reports a data folder whose replica is no member any more.
type ExcludedError struct {
	ID        uint64
	Exclusion consensus.Exclusion
}

// Error implements error.
func (e *ExcludedError) Error() string {
	cause := "was removed from the group"
	if e.Exclusion == consensus.ExclusionDiskLost {
		cause = "is known to the group with another data folder"
	}
	return fmt.Sprintf("replica %d %s: join with an empty data folder and a new replica id", e.ID, cause)
}

// Save makes the durable parts of a Ready durable, the snapshot first: a log must
// never start after the newest snapshot.
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
