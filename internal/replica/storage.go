package replica

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	iofs "io/fs"
	"log/slog"

	"filberthook/internal/consensus"
	"filberthook/internal/fsys"
	"filberthook/internal/snapshot"
	"filberthook/internal/wal"
)

const (
	identityFile   = "identity.json"
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// identity belongs to one data folder for its whole life.
type identity struct {
	ID          uint64   `json:"id"`
	Incarnation uint64   `json:"incarnation"`
	Members     []Member `json:"members"` // first members of the group
}

// storage is the durable part of a replica.
type storage struct {
	identity identity
	log      *wal.Log
	store    *snapshot.Store
}

func openStorage(cfg Config) (*storage, consensus.State, error) {
	var st consensus.State
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, st, fmt.Errorf("create data folder: %w", err)
	}
	id, err := loadIdentity(cfg)
	if err != nil {
		return nil, st, err
	}
	store, err := snapshot.Open(cfg.FS, cfg.path(snapshotFolder))
	if err != nil {
		return nil, st, err
	}
	snap, damaged, err := store.Load()
	if err != nil {
		return nil, st, err
	}
	log, recovered, err := wal.Open(wal.Options{FS: cfg.FS, Dir: cfg.path(logFolder)})
	if err != nil {
		return nil, st, err
	}
	if snap == nil {
		snap = &consensus.Snapshot{Membership: initialMembership(id.ID, id.Members)}
	}
	if damaged > 0 || recovered.Torn > 0 {
		cfg.Logger.Warn("recovered from incomplete writes", slog.Int("snapshots", damaged), slog.Int64("log_bytes", recovered.Torn))
	}
	st, err = reconcile(snap, recovered)
	if err != nil {
		log.Close()
		return nil, st, err
	}
	s := &storage{identity: id, log: log, store: store}
	if err := s.alignLog(st); err != nil {
		log.Close()
		return nil, st, err
	}
	return s, st, nil
}

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
func (s *storage) alignLog(st consensus.State) error {
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

func loadIdentity(cfg Config) (identity, error) {
	var id identity
	data, err := cfg.FS.ReadFile(cfg.path(identityFile))
	if errors.Is(err, iofs.ErrNotExist) {
		return createIdentity(cfg)
	}
	if err != nil {
		return id, fmt.Errorf("read identity: %w", err)
	}
	if err := json.Unmarshal(data, &id); err != nil || id.Incarnation == 0 {
		return id, errors.New("identity file is damaged: join this host as a learner with a new replica id and an empty data folder")
	}
	if id.ID != cfg.ID {
		return id, fmt.Errorf("data folder belongs to replica %d, settings say %d: correct the settings or choose another folder", id.ID, cfg.ID)
	}
	return id, nil
}

func createIdentity(cfg Config) (identity, error) {
	id := identity{ID: cfg.ID, Members: cfg.Members}
	names, err := cfg.FS.List(cfg.path(logFolder))
	if err == nil && len(names) > 0 {
		return id, errors.New("data folder holds a log but no identity file: restore the file or start with an empty folder and a new replica id")
	}
	var random [8]byte
	for id.Incarnation == 0 {
		if _, err := rand.Read(random[:]); err != nil {
			return id, fmt.Errorf("draw incarnation: %w", err)
		}
		id.Incarnation = binary.LittleEndian.Uint64(random[:])
	}
	data, err := json.Marshal(id)
	if err != nil {
		return id, fmt.Errorf("encode identity: %w", err)
	}
	if err := fsys.WriteFile(cfg.FS, cfg.path(identityFile), data); err != nil {
		return id, fmt.Errorf("write identity: %w", err)
	}
	return id, nil
}

// save makes the durable parts of a Ready durable, the snapshot first: a log must
// never start after the newest snapshot.
func (s *storage) save(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := s.store.Save(rd.Snapshot); err != nil {
			return err
		}
		at := wal.Position{Index: rd.Snapshot.Index, Term: rd.Snapshot.Term}
		if err := s.log.Reset(at, *rd.HardState); err != nil {
			return err
		}
	}
	return s.log.Save(rd.HardState, rd.Entries)
}
