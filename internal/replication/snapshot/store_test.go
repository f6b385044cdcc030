package snapshot

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

func snap(index uint64) *consensus.Snapshot {
	return &consensus.Snapshot{
		Index: index, Term: 2, Data: fmt.Appendf(nil, "state at %d", index),
		Membership: consensus.Membership{Members: []consensus.Member{{ID: 1, Zone: "bio", Incarnation: 9}}, Retired: []uint64{4}},
	}
}

func open(t *testing.T, fs fsys.FS) *Store {
	t.Helper()
	s, err := Open(fs, "snapshots")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func saved(t *testing.T, indexes ...uint64) *fsys.Mem {
	t.Helper()
	fs := fsys.NewMem()
	s := open(t, fs)
	for _, index := range indexes {
		if err := s.Save(snap(index)); err != nil {
			t.Fatal(err)
		}
	}
	return fs
}

func TestNewestSnapshotSurvivesACrash(t *testing.T) {
	fs := saved(t, 10, 20, 30)
	fs.Crash(nil)
	s := open(t, fs)
	got, damaged, err := s.Load()
	if err != nil || damaged != 0 {
		t.Fatalf("damaged %d, error %v", damaged, err)
	}
	if diff := cmp.Diff(snap(30), got); diff != "" {
		t.Errorf("loaded (-want +got):\n%s", diff)
	}
	if s.OldestIndex() != 20 {
		t.Errorf("oldest index %d, want 20", s.OldestIndex())
	}
}

func TestDamagedSnapshotIsSkipped(t *testing.T) {
	fs := saved(t, 10, 20)
	name := fmt.Sprintf("snapshots/%016x-%016x%s", 20, 2, suffix)
	data, err := fs.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range data {
		fs.Corrupt(name, offset)
		got, damaged, err := open(t, fs).Load()
		if err != nil || damaged != 1 || got.Index != 10 {
			t.Fatalf("damage at %d: loaded %+v, %d damaged, error %v", offset, got, damaged, err)
		}
		fs.Corrupt(name, offset) // inverting again restores the byte
	}
}

func TestOnlyDamagedSnapshotsAreAnError(t *testing.T) {
	fs := saved(t, 10)
	fs.Corrupt(fmt.Sprintf("snapshots/%016x-%016x%s", 10, 2, suffix), 30)
	var damaged *DamagedError
	if _, _, err := open(t, fs).Load(); !errors.As(err, &damaged) || damaged.Files != 1 {
		t.Errorf("load gave %v", err)
	}
}

func TestInterruptedSaveLeavesTheOlderSnapshot(t *testing.T) {
	fs := saved(t, 10)
	s := open(t, fs)
	cause := errors.New("power lost")
	fs.FailSync(cause)
	if err := s.Save(snap(20)); !errors.Is(err, cause) {
		t.Fatalf("save gave %v", err)
	}
	fs.FailSync(nil)
	got, damaged, err := open(t, fs).Load()
	if err != nil || damaged != 0 || got.Index != 10 {
		t.Errorf("loaded %+v, %d damaged, error %v", got, damaged, err)
	}
}

func TestEmptyFolderHasNoSnapshot(t *testing.T) {
	if got, _, err := open(t, fsys.NewMem()).Load(); got != nil || err != nil {
		t.Errorf("loaded %v, %v", got, err)
	}
}
