package storage

import (
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

// unsyncedNames is a file system whose names in one folder cannot be synced while it is full.
type unsyncedNames struct {
	*fsys.Mem
	dir string // empty while the disk has room
}

func (u *unsyncedNames) SyncDir(dir string) error {
	if u.dir != "" && filepath.Clean(dir) == u.dir {
		return syscall.ENOSPC
	}
	return u.Mem.SyncDir(dir)
}

func TestStateThatAReopenedFolderReportsSurvivesALossOfPower(t *testing.T) {
	hard := &consensus.HardState{Term: 3, Vote: 1, Commit: 4}
	for name, tt := range map[string]struct {
		dir   string
		write func(s *Storage) error
	}{
		"snapshot received": {filepath.Join("data", snapshotFolder), func(s *Storage) error {
			return s.Save(&consensus.Ready{Snapshot: snap(10, 3), HardState: hard})
		}},
		"snapshot taken": {filepath.Join("data", snapshotFolder), func(s *Storage) error { return s.SaveSnapshot(snap(3, 3)) }},
		"log":            {filepath.Join("data", logFolder), func(s *Storage) error { return s.Save(&consensus.Ready{HardState: hard, Entries: entries(5, 40, 3)}) }},
		"exclusion":      {"data", func(s *Storage) error { return s.Exclude(consensus.ExclusionDiskLost) }},
	} {
		t.Run(name, func(t *testing.T) {
			disk := &unsyncedNames{Mem: fsys.NewMem()}
			s, _, _, err := Open(options(disk))
			if err != nil {
				t.Fatal(err)
			}
			mustDo(t, s.Save(&consensus.Ready{HardState: hard, Entries: entries(1, 4, 3)}))
			disk.dir = tt.dir
			if err := tt.write(s); err == nil {
				t.Fatal("a write whose name was not synced succeeded")
			}
			s.Close()
			disk.dir = ""
			s, reported, _, openErr := Open(options(disk))
			if openErr == nil {
				defer s.Close()
			}
			disk.Crash(nil)
			_, left, _, err := Open(options(disk))
			if (err == nil) != (openErr == nil) {
				t.Fatalf("opened with %v, after a loss of power with %v", openErr, err)
			}
			if diff := cmp.Diff(reported, left); diff != "" {
				t.Errorf("state reported at the open, and after a loss of power:\n%s", diff)
			}
		})
	}
}
