package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	iofs "io/fs"
	"path/filepath"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/snapshot"
	"filberthook/internal/replication/wal"
)

// NewGroup describes a group that begins with one voter and a state.
type NewGroup struct {
	Voter   consensus.Member   // its id must never have been used; Found draws the incarnation
	Former  []consensus.Member // members of the group that is replaced
	Retired []uint64           // ids that the former group had removed
	Index   uint64             // position at which the new group's log starts
	Term    uint64
	Data    []byte // state of the state machine
}

// Found makes the data folder that of the only voter of a new group. The ids of all former
// members, this replica's included, count as removed, and so do the incarnations of their data
// folders: a log that names one of these is that of the former group. After a crash the folder is
// either as before or that of the new group. The former log stays on the disk, unused. The Storage
// must be closed afterwards.
func (s *Storage) Found(g NewGroup) error {
	o := s.options
	incarnation, err := drawIncarnation(o)
	if err != nil {
		return err
	}
	next := identity{ID: g.Voter.ID, Incarnation: incarnation, State: fmt.Sprintf("group-%016x", g.Voter.ID), Former: mergeMembers(s.identity.Former, g.Former)}
	if err := writeState(o, next, g); err != nil {
		return fmt.Errorf("write the new group's state: %w", err)
	}
	return saveIdentity(o, next)
}

// writeState writes the first snapshot and the empty log of a new group.
func writeState(o Options, next identity, g NewGroup) error {
	voter := g.Voter
	voter.Incarnation, voter.Learner = next.Incarnation, false
	membership := consensus.NewMembership([]consensus.Member{voter}).Retire(g.Retired...)
	for _, m := range g.Former {
		membership = membership.Retire(m.ID)
		if m.Incarnation != 0 {
			membership = membership.Retire(m.Incarnation)
		}
	}
	snapshots, err := snapshot.Open(o.FS, o.path(filepath.Join(next.State, snapshotFolder)))
	if err != nil {
		return err
	}
	if err := snapshots.Save(&consensus.Snapshot{Index: g.Index, Term: g.Term, Membership: membership, Data: g.Data}); err != nil {
		return err
	}
	log, _, err := wal.Open(wal.Options{FS: o.FS, Dir: o.path(filepath.Join(next.State, logFolder)), SegmentBytes: o.SegmentBytes})
	if err != nil {
		return err
	}
	err = log.Reset(wal.Position{Index: g.Index, Term: g.Term}, consensus.HardState{Term: g.Term, Commit: g.Index})
	return errors.Join(err, log.Close())
}

// mergeMembers returns the members of both lists, each id once.
func mergeMembers(a, b []consensus.Member) []consensus.Member {
	seen := map[uint64]bool{}
	var out []consensus.Member
	for _, list := range [][]consensus.Member{a, b} {
		for _, m := range list {
			if !seen[m.ID] {
				seen[m.ID] = true
				out = append(out, m)
			}
		}
	}
	return out
}

// ReadFormer returns the members of the group that the data folder's group has replaced, none
// if it has replaced no other.
func ReadFormer(fs fsys.FS, dir string) ([]consensus.Member, error) {
	data, err := fs.ReadFile(Options{Dir: dir}.path(identityFile))
	if errors.Is(err, iofs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read identity: %w", err)
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return nil, fmt.Errorf("read identity: %w", err)
	}
	return id.Former, nil
}
