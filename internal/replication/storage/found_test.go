package storage

import (
	"errors"
	"fmt"
	"testing"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

// failingFS crashes, for all that follows, at the n-th change of a file's name or contents.
type failingFS struct {
	*fsys.Mem
	left int
}

var errCrash = errors.New("crash")

func (f *failingFS) step() error {
	if f.left--; f.left < 0 {
		return errCrash
	}
	return nil
}

func (f *failingFS) Create(name string) (fsys.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	return f.Mem.Create(name)
}

func (f *failingFS) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.Mem.Rename(from, to)
}

func (f *failingFS) SyncDir(dir string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.Mem.SyncDir(dir)
}

func newGroup() NewGroup {
	return NewGroup{
		Voter: consensus.Member{ID: 9, Address: "a:1"}, Former: []consensus.Member{{ID: 1, Address: "a:1"}, {ID: 2, Address: "b:1"}},
		Retired: []uint64{7, 2}, Index: 6, Term: 1000, Data: []byte("state"),
	}
}

func TestNewGroupIsWholeOrNotThereAfterACrash(t *testing.T) {
	founded := 0
	for steps := range 40 {
		fs := fsys.NewMem()
		s, _ := open(t, fs)
		mustDo(t, s.Save(&consensus.Ready{HardState: &consensus.HardState{Term: 3, Commit: 4}, Entries: entries(1, 5, 3)}))
		mustDo(t, s.Close())
		failing := &failingFS{Mem: fs, left: 1 << 30}
		o := options(failing.Mem)
		o.FS = failing
		s, _, _, err := Open(o)
		mustDo(t, err)
		failing.left = steps
		failed := s.Found(newGroup())
		fs.Crash(nil)
		id, err := ReadID(fs, "data")
		mustDo(t, err)
		o = options(fs)
		o.ID = id
		_, st, _, err := Open(o)
		mustDo(t, err)
		switch id {
		case 1:
			if len(st.Entries) != 5 || failed == nil {
				t.Errorf("%d steps: %d entries, error %v; want the former log and an error", steps, len(st.Entries), failed)
			}
		case 9:
			founded++
			checkFounded(t, fs, st)
		default:
			t.Errorf("%d steps: replica %d", steps, id)
		}
	}
	if founded == 0 {
		t.Error("no group was made in any number of steps")
	}
}

func checkFounded(t *testing.T, fs *fsys.Mem, st consensus.State) {
	t.Helper()
	m := st.Snapshot.Membership
	voter, _ := m.Find(9)
	if st.Snapshot.Index != 6 || st.Snapshot.Term != 1000 || string(st.Snapshot.Data) != "state" || len(st.Entries) != 0 || st.HardState.Term != 1000 {
		t.Errorf("state %+v", st)
	}
	if len(m.Members) != 1 || voter.Incarnation == 0 || fmt.Sprint(m.Retired) != "[1 2 7]" {
		t.Errorf("membership %+v", m)
	}
	if former, err := ReadFormer(fs, "data"); err != nil || len(former) != 2 {
		t.Errorf("former members %v, error %v", former, err)
	}
}

func TestNewGroupKnowsTheDataFoldersOfTheFormerOne(t *testing.T) {
	fs := fsys.NewMem()
	s, _ := open(t, fs)
	g := newGroup()
	g.Former[0].Incarnation, g.Former[1].Incarnation = 51, 50
	g.Former = append(g.Former, consensus.Member{ID: 3})
	mustDo(t, errors.Join(s.Found(g), s.Close()))
	o := options(fs)
	o.ID = 9
	s, st, _, err := Open(o)
	mustDo(t, err)
	defer s.Close()
	if got := fmt.Sprint(st.Snapshot.Membership.Retired); got != "[1 2 3 7 50 51]" {
		t.Errorf("removed %s, want the former ids and the incarnations of the former data folders", got)
	}
}
