package regroup

import (
	"errors"
	"testing"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/storage"
)

func entry(index, term, version uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Type: consensus.EntryNormal, Data: document.Document{Version: version, Body: []byte("body")}.Encode()}
}

// writeDisk writes the folder of replica 1 of three voters: entry 4, of which the host does not
// know that it was committed, makes a learner a fourth voter, and entry 5 holds version 8.
func writeDisk(t *testing.T, fs *fsys.Mem) {
	t.Helper()
	s, _, _, err := storage.Open(storage.Options{FS: fs, Dir: "data", ID: 1, Members: membership(1, 2, 3).Members})
	if err != nil {
		t.Fatal(err)
	}
	err = s.Save(&consensus.Ready{
		HardState: &consensus.HardState{Term: 6, Commit: 3},
		Entries: []consensus.Entry{
			entry(1, 2, 6), {Index: 2, Term: 2, Type: consensus.EntryMembership, Data: membership(1, 2, 3, -4).Encode()}, entry(3, 2, 7),
			{Index: 4, Term: 3, Type: consensus.EntryMembership, Data: membership(1, 2, 3, 4).Encode()}, entry(5, 3, 8),
		},
	})
	if err := errors.Join(err, s.Close()); err != nil {
		t.Fatal(err)
	}
}

func TestNewGroupHoldsEntriesThatMayHaveBeenAcknowledged(t *testing.T) {
	fs := fsys.NewMem()
	writeDisk(t, fs)
	s, err := Open(fs, "data", address(1))
	if err != nil {
		t.Fatal(err)
	}
	if s.Last != 5 || s.LastTerm != 3 || s.Term != 6 || s.Commit != 3 || s.Version != 8 || len(s.Memberships) != 2 || len(s.Voters()) != 3 {
		t.Errorf("disk %+v", s.Disk)
	}
	answers := []Answer{answer(9, controlapi.GroupStatus{Term: 50}), {Address: address(2)}}
	id, term, err := s.Found("z", answers)
	if err := errors.Join(err, s.Close()); err != nil {
		t.Fatal(err)
	}
	if id <= 4 || term <= 50 {
		t.Errorf("replica %d from term %d on, want a new id and a term above all that are known", id, term)
	}
	again, err := Open(fs, "data", address(1))
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	m := again.Memberships[0]
	if again.ID != id || again.Version != 8 || again.Last != 6 || again.LastTerm != term || again.Commit != 6 || len(m.Members) != 1 || len(m.Retired) != 4 {
		t.Errorf("disk of the new group %+v", again.Disk)
	}
}

func TestNoNewGroupFromAFolderThatCannotBeUsed(t *testing.T) {
	fs := fsys.NewMem()
	var none *NoFolderError
	if _, err := Open(fs, "data", address(1)); !errors.As(err, &none) {
		t.Errorf("empty folder: %v", err)
	}
	writeDisk(t, fs)
	s, err := Open(fs, "data", address(1))
	if err != nil {
		t.Fatal(err)
	}
	var running *RunningError
	if _, err := Open(fs, "data", address(1)); !errors.As(err, &running) {
		t.Errorf("folder in use: %v", err)
	}
	var excluded *storage.ExcludedError
	if err := s.folder.Exclude(consensus.ExclusionRemoved); !errors.As(err, &excluded) {
		t.Fatal(err)
	}
	s.Close()
	if _, err := Open(fs, "data", address(1)); !errors.As(err, &excluded) {
		t.Errorf("folder of a replica that was removed: %v", err)
	}
}
