package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	iofs "io/fs"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

const identityFile = "identity.json"

// identity identifies the replica that a data folder belongs to; it never changes,
// except that an exclusion is recorded and that Found replaces it.
type identity struct {
	ID          uint64             `json:"id"`
	Incarnation uint64             `json:"incarnation"`
	Members     []consensus.Member `json:"members"` // initial members of the group
	// Exclusion says why the replica was excluded from the group, if it was. It is stored so
	// that the replica does not contact the group again after a restart.
	Exclusion consensus.Exclusion `json:"exclusion,omitempty"`
	// State is the subfolder of the log and the snapshots, empty for the data folder itself. It
	// changes when the replica becomes a new group.
	State string `json:"state,omitempty"`
	// Former are members of the group that this replica's group has replaced.
	Former []consensus.Member `json:"former,omitempty"`
}

// initialMembership returns the initial members if the replica is one of them. Any
// other replica starts with an empty membership and waits to be added.
func (id identity) initialMembership() consensus.Membership {
	m := consensus.NewMembership(id.Members)
	if _, ok := m.Find(id.ID); !ok {
		return consensus.Membership{}
	}
	return m
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
		return id, &FolderError{"identity file is damaged", "join this host as a learner with a new replica id and an empty data folder"}
	}
	if id.ID != o.ID {
		return id, &FolderError{fmt.Sprintf("data folder belongs to replica %d, settings say %d", id.ID, o.ID), "correct the settings or choose another folder"}
	}
	if id.Exclusion != consensus.ExclusionNone {
		return id, &ExcludedError{ID: id.ID, Exclusion: id.Exclusion}
	}
	return id, nil
}

func createIdentity(o Options) (identity, error) {
	id := identity{ID: o.ID, Members: o.Members}
	for _, folder := range []string{logFolder, snapshotFolder} {
		names, err := o.FS.List(o.path(folder))
		if err == nil && len(names) > 0 {
			return id, &FolderError{"data folder has contents but no identity file", "start with an empty folder and a new replica id"}
		}
	}
	var err error
	if id.Incarnation, err = drawIncarnation(o); err != nil {
		return id, err
	}
	return id, saveIdentity(o, id)
}

// drawIncarnation returns a random number other than 0.
func drawIncarnation(o Options) (uint64, error) {
	source := o.Random
	if source == nil {
		source = rand.Reader
	}
	var random [8]byte
	for {
		if _, err := io.ReadFull(source, random[:]); err != nil {
			return 0, fmt.Errorf("generate incarnation: %w", err)
		}
		if n := binary.LittleEndian.Uint64(random[:]); n != 0 {
			return n, nil
		}
	}
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

// Exclude permanently marks the data folder as unusable and returns the *ExcludedError
// with which Open refuses it from now on.
func (s *Storage) Exclude(e consensus.Exclusion) error {
	s.identity.Exclusion = e
	if err := saveIdentity(s.options, s.identity); err != nil {
		return err
	}
	return &ExcludedError{ID: s.identity.ID, Exclusion: e}
}

// ExcludedError reports a data folder whose replica is no longer a member.
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

// FolderError reports a data folder that cannot be used.
type FolderError struct {
	Problem string
	Remedy  string
}

// Error implements error.
func (e *FolderError) Error() string { return e.Problem + ": " + e.Remedy }

// ReadID returns the replica id of a data folder, 0 for an empty one. It returns an
// *ExcludedError or a *FolderError if the folder can no longer be used.
func ReadID(fs fsys.FS, dir string) (uint64, error) {
	data, err := fs.ReadFile(Options{Dir: dir}.path(identityFile))
	if errors.Is(err, iofs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read identity: %w", err)
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil || id.Incarnation == 0 {
		return 0, &FolderError{"identity file is damaged", "join this host as a learner with a new replica id and an empty data folder"}
	}
	if id.Exclusion != consensus.ExclusionNone {
		return 0, &ExcludedError{ID: id.ID, Exclusion: id.Exclusion}
	}
	return id.ID, nil
}
