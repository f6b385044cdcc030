// Package snapshot stores the newest snapshots of the state machine in files with
// checksums. A file is written under a temporary name, synced and renamed.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

const (
	suffix        = ".snap"
	magic         = "FHSNP\x00\x00\x01"
	headerBytes   = len(magic) + 4
	checksumBytes = 8
	filesToKeep   = 2
)

// Store is a folder of snapshot files. It is safe for concurrent use.
type Store struct {
	fs  fsys.FS
	dir string

	mu    sync.Mutex
	files []file // by ascending index, without those that Load found damaged
}

type file struct {
	name  string
	index uint64
}

// Open lists the folder, creates it when missing and removes incomplete files.
func Open(fs fsys.FS, dir string) (*Store, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("create snapshot folder: %w", err)
	}
	names, err := fs.List(dir)
	if err != nil {
		return nil, fmt.Errorf("list snapshot folder: %w", err)
	}
	s := &Store{fs: fs, dir: dir}
	for _, name := range names {
		if strings.HasSuffix(name, fsys.TempSuffix) {
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				return nil, fmt.Errorf("remove incomplete snapshot: %w", err)
			}
			continue
		}
		var index, term uint64
		if _, err := fmt.Sscanf(name, "%016x-%016x"+suffix, &index, &term); err != nil {
			return nil, &fsys.UnexpectedFileError{Name: filepath.Join(dir, name)}
		}
		s.files = append(s.files, file{name: name, index: index})
	}
	if err := fs.SyncDir(dir); err != nil { // for the names that the process before has not synced
		return nil, fmt.Errorf("sync snapshot folder: %w", err)
	}
	return s, nil
}

// Save makes a snapshot durable and removes all but the newest two files.
func (s *Store) Save(snap *consensus.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprintf("%016x-%016x%s", snap.Index, snap.Term, suffix)
	head, tail := frame(snap)
	if err := fsys.WriteFile(s.fs, filepath.Join(s.dir, name), head, snap.Data, tail); err != nil {
		return fmt.Errorf("write snapshot: %w; check the disk and restart the process", err)
	}
	s.files = slices.DeleteFunc(s.files, func(f file) bool { return f.name == name })
	s.files = append(s.files, file{name: name, index: snap.Index})
	slices.SortFunc(s.files, func(a, b file) int { return strings.Compare(a.name, b.name) })
	return s.prune()
}

// prune removes the oldest files. The caller holds s.mu.
func (s *Store) prune() error {
	for len(s.files) > filesToKeep {
		if err := s.fs.Remove(filepath.Join(s.dir, s.files[0].name)); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
		s.files = s.files[1:]
	}
	return nil
}

// OldestIndex returns the index of the older of the newest two snapshots. The log must
// keep the entries after it, so that this snapshot can replace a damaged newer one. It
// is 0 until there are two snapshots.
func (s *Store) OldestIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.files) < filesToKeep {
		return 0
	}
	return s.files[len(s.files)-filesToKeep].index
}

// Load returns the newest intact snapshot, or nil if the folder holds no snapshot, and
// the number of damaged newer ones that it skipped. If all files are damaged, the error
// is a *DamagedError.
func (s *Store) Load() (snap *consensus.Snapshot, damaged int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.files) - 1; i >= 0; i-- {
		data, err := s.fs.ReadFile(filepath.Join(s.dir, s.files[i].name))
		if err != nil {
			return nil, damaged, fmt.Errorf("read snapshot: %w", err)
		}
		snap, err := decode(data)
		if err == nil {
			s.files = s.files[:i+1]
			return snap, damaged, nil
		}
		damaged++
	}
	if damaged > 0 {
		return nil, damaged, &DamagedError{Files: damaged}
	}
	return nil, 0, nil
}

// DamagedError reports that no snapshot file is intact.
type DamagedError struct{ Files int }

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("all %d snapshot files are damaged: keep the data folder for study and join this host as a learner with a new replica id and an empty data folder", e.Files)
}

// frame returns the header and the checksum that surround the snapshot data in a file.
func frame(snap *consensus.Snapshot) (head, tail []byte) {
	var meta []byte
	meta = binary.AppendUvarint(meta, snap.Index)
	meta = binary.AppendUvarint(meta, snap.Term)
	meta = append(meta, snap.Membership.Encode()...)
	head = append([]byte(magic), 0, 0, 0, 0)
	binary.LittleEndian.PutUint32(head[len(magic):], uint32(len(meta)))
	head = append(head, meta...)
	h := xxhash.New()
	h.Write(head)
	h.Write(snap.Data)
	return head, binary.LittleEndian.AppendUint64(nil, h.Sum64())
}

var errFormat = errors.New("malformed snapshot file")

func decode(data []byte) (*consensus.Snapshot, error) {
	if len(data) < headerBytes+checksumBytes || string(data[:len(magic)]) != magic {
		return nil, errFormat
	}
	body := data[:len(data)-checksumBytes]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(data[len(body):]) {
		return nil, errFormat
	}
	n := binary.LittleEndian.Uint32(data[len(magic):])
	rest := body[headerBytes:]
	if uint64(n) > uint64(len(rest)) {
		return nil, errFormat
	}
	return decodeMeta(rest[:n], rest[n:])
}

func decodeMeta(meta, data []byte) (*consensus.Snapshot, error) {
	snap := &consensus.Snapshot{Data: data}
	for _, target := range []*uint64{&snap.Index, &snap.Term} {
		v, n := binary.Uvarint(meta)
		if n <= 0 {
			return nil, errFormat
		}
		*target = v
		meta = meta[n:]
	}
	m, err := consensus.DecodeMembership(meta)
	if err != nil {
		return nil, err
	}
	snap.Membership = m
	return snap, nil
}
