package storage

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/wal"
)

func options(fs fsys.FS) Options {
	return Options{FS: fs, Dir: "data", ID: 1, Members: []consensus.Member{{ID: 1}}, SegmentBytes: 256}
}

// open simulates a crash, then opens the state that survived it.
func open(t *testing.T, fs *fsys.Mem) (*Storage, consensus.State) {
	t.Helper()
	fs.Crash(nil)
	s, st, _, err := Open(options(fs))
	if err != nil {
		t.Fatal(err)
	}
	return s, st
}

func entries(from, to, term uint64) (list []consensus.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term, Type: consensus.EntryNormal, Data: fmt.Append(nil, i)})
	}
	return list
}

func snap(index, term uint64) *consensus.Snapshot {
	return &consensus.Snapshot{Index: index, Term: term, Membership: consensus.NewMembership([]consensus.Member{{ID: 1}})}
}

func mustDo(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestRecoveryCombinesSnapshotAndLog(t *testing.T) {
	hard := &consensus.HardState{Term: 3, Vote: 1}
	cases := []struct {
		name  string
		write func(s *Storage) error
		index uint64 // of the snapshot recovered
		want  []consensus.Entry
	}{
		{"log alone", func(s *Storage) error {
			return s.Save(&consensus.Ready{HardState: hard, Entries: entries(1, 5, 3)})
		}, 0, entries(1, 5, 3)},
		{"snapshot within the log", func(s *Storage) error {
			return errors.Join(s.Save(&consensus.Ready{HardState: hard, Entries: entries(1, 5, 3)}), s.SaveSnapshot(snap(3, 3)))
		}, 3, entries(4, 5, 3)},
		{"stopped between a received snapshot and the log", func(s *Storage) error {
			return errors.Join(s.Save(&consensus.Ready{HardState: hard, Entries: entries(1, 5, 3)}), s.SaveSnapshot(snap(9, 3)))
		}, 9, nil},
		{"received snapshot of another history", func(s *Storage) error {
			return errors.Join(s.Save(&consensus.Ready{HardState: hard, Entries: entries(1, 9, 2)}), s.SaveSnapshot(snap(4, 3)))
		}, 4, nil},
		{"received snapshot and entries", func(s *Storage) error {
			return s.Save(&consensus.Ready{HardState: hard, Snapshot: snap(7, 3), Entries: entries(8, 9, 3)})
		}, 7, entries(8, 9, 3)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fs := fsys.NewMem()
			s, _ := open(t, fs)
			mustDo(t, c.write(s))
			s, st := open(t, fs)
			if st.Snapshot.Index != c.index {
				t.Errorf("recovered snapshot %d, want %d", st.Snapshot.Index, c.index)
			}
			if diff := cmp.Diff(c.want, st.Entries); diff != "" {
				t.Errorf("recovered entries (-want +got):\n%s", diff)
			}
			next := c.index + uint64(len(c.want)) + 1
			mustDo(t, s.Save(&consensus.Ready{Entries: entries(next, next, 3)}))
			if _, st = open(t, fs); len(st.Entries) != len(c.want)+1 {
				t.Errorf("recovered %d entries after a further write", len(st.Entries))
			}
		})
	}
}

// The log keeps all entries after the older of the two snapshots, so that no state is
// lost if the newer one is damaged.
func TestDamagedNewestSnapshotLosesNothing(t *testing.T) {
	fs := fsys.NewMem()
	s, _ := open(t, fs)
	for i := uint64(1); i <= 90; i++ {
		mustDo(t, s.Save(&consensus.Ready{Entries: entries(i, i, 1)}))
		if i%30 == 0 {
			mustDo(t, s.SaveSnapshot(snap(i, 1)))
			mustDo(t, s.Compact())
		}
	}
	fs.Corrupt(fmt.Sprintf("data/snapshots/%016x-%016x.snap", 90, 1), 20)
	fs.Crash(nil)
	s, st, rec, err := Open(options(fs))
	mustDo(t, err)
	if st.Snapshot.Index != 60 || len(st.Entries) != 30 || rec.DamagedSnapshots != 1 {
		t.Errorf("recovered snapshot %d, %d entries, %+v", st.Snapshot.Index, len(st.Entries), rec)
	}
	for _, index := range []uint64{60, 90} {
		mustDo(t, fs.Remove(fmt.Sprintf("data/snapshots/%016x-%016x.snap", index, 1)))
	}
	mustDo(t, s.Close())
	var gap *GapError
	if _, _, _, err := Open(options(fs)); !errors.As(err, &gap) {
		t.Errorf("open without snapshots gave %v", err)
	}
}

func TestIncarnationBelongsToTheFolder(t *testing.T) {
	fs := fsys.NewMem()
	first, _ := open(t, fs)
	again, _ := open(t, fs)
	other, _ := open(t, fsys.NewMem())
	if first.Incarnation() == 0 || again.Incarnation() != first.Incarnation() {
		t.Errorf("incarnations %d and %d of one folder", first.Incarnation(), again.Incarnation())
	}
	if other.Incarnation() == first.Incarnation() {
		t.Error("two folders have one incarnation")
	}
}

func TestFailedWriteStopsFurtherWrites(t *testing.T) {
	fs := fsys.NewMem()
	s, _ := open(t, fs)
	fs.FailSync(errors.New("disk gone"))
	var failed *wal.FailedError
	if err := s.Save(&consensus.Ready{Entries: entries(1, 1, 1)}); !errors.As(err, &failed) {
		t.Errorf("save gave %v", err)
	}
	fs.FailSync(nil)
	if err := s.Save(&consensus.Ready{Entries: entries(1, 1, 1)}); !errors.As(err, &failed) {
		t.Errorf("save after a failure gave %v", err)
	}
}
