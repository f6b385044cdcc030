package regroup

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"filberthook/internal/control/usagereport"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/storage"
)

// termGap is the distance between the highest term that is known and that of the new group. The
// hosts that are gone may have seen higher terms.
const termGap = 1 << 20

// Survivor is the open data folder of a stopped control host.
type Survivor struct {
	Disk

	folder  *storage.Storage
	machine *document.Machine
}

// Open opens and locks the data folder of the control host at an address. It returns a
// *RunningError while the host runs.
func Open(fs fsys.FS, dir, address string) (*Survivor, error) {
	id, err := storage.ReadID(fs, dir)
	if err != nil {
		return nil, err
	}
	if id == 0 {
		return nil, &NoFolderError{dir}
	}
	folder, state, _, err := storage.Open(storage.Options{FS: fs, Dir: dir, ID: id})
	if errors.Is(err, fsys.ErrLocked) {
		return nil, &RunningError{dir, err}
	}
	if err != nil {
		return nil, err
	}
	s := &Survivor{folder: folder, machine: document.NewMachine(func(document.Document) {})}
	s.machine.Extend(document.KindUsage, usagereport.NewLedger())
	s.Disk = Disk{
		ID: id, Address: address, Term: state.HardState.Term, LastTerm: state.Snapshot.Term, Last: state.Snapshot.Index,
		Commit: max(state.HardState.Commit, state.Snapshot.Index), Memberships: []consensus.Membership{state.Snapshot.Membership},
	}
	if err := s.replay(state); err != nil {
		folder.Close()
		return nil, err
	}
	s.Version = s.machine.Current().Version
	return s, nil
}

// replay applies the whole log, committed or not: a change may have been acknowledged though
// this host does not know that it was committed.
func (s *Survivor) replay(state consensus.State) error {
	if state.Snapshot.Index > 0 {
		if err := s.machine.Restore(state.Snapshot.Data); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", state.Snapshot.Index, err)
		}
	}
	for _, e := range state.Entries {
		s.LastTerm, s.Last = e.Term, e.Index
		switch {
		case e.Type == consensus.EntryMembership:
			membership, err := consensus.DecodeMembership(e.Data)
			if err != nil {
				return fmt.Errorf("entry %d: %w", e.Index, err)
			}
			if e.Index <= s.Commit {
				s.Memberships = nil
			}
			s.Memberships = append(s.Memberships, membership)
		case len(e.Data) > 0:
			if err, failed := s.machine.Apply(e.Index, e.Data).(error); failed {
				return fmt.Errorf("entry %d: %w", e.Index, err)
			}
		}
	}
	return nil
}

// Found makes the folder that of the only voter of a new group, at the survivor's address, with
// everything that its log holds. Check must have passed. It returns the replica's new id.
func (s *Survivor) Found(zone string, answers []Answer) (id, term uint64, err error) {
	term = max(s.Term, s.LastTerm)
	for _, a := range answers {
		if a.Status != nil {
			term = max(term, a.Status.Term)
		}
	}
	term += termGap
	group := storage.NewGroup{Index: s.Last + 1, Term: term}
	used := []uint64{0, s.ID}
	for _, m := range s.Memberships {
		group.Former = append(group.Former, m.Members...)
		group.Retired = append(group.Retired, m.Retired...)
	}
	for _, m := range group.Former {
		used = append(used, m.ID)
	}
	used = append(used, group.Retired...)
	for slices.Contains(used, id) {
		id = rand.Uint64()
	}
	group.Voter = consensus.Member{ID: id, Address: s.Address, Zone: zone}
	if group.Data, err = s.machine.Snapshot(); err != nil {
		return 0, 0, err
	}
	return id, term, s.folder.Found(group)
}

// Close releases the folder.
func (s *Survivor) Close() error { return s.folder.Close() }
