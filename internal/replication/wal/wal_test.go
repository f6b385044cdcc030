package wal

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Type: consensus.EntryNormal, Data: fmt.Appendf(nil, "command %d.%d", term, index)}
}

func entries(from, to, term uint64) (list []consensus.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, entry(i, term))
	}
	return list
}

func mustOpen(t *testing.T, fs fsys.FS) (*Log, *Recovered) {
	t.Helper()
	l, rec, err := Open(Options{FS: fs, Dir: "log", SegmentBytes: 512})
	if err != nil {
		t.Fatal(err)
	}
	return l, rec
}

func mustDo(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestReopenRecoversSavedState(t *testing.T) {
	hard := &consensus.HardState{Term: 3, Vote: 2, Commit: 5}
	cases := []struct {
		name  string
		write func(l *Log) error
		want  Recovered
	}{
		{"nothing", func(*Log) error { return nil }, Recovered{}},
		{"hard state and entries", func(l *Log) error { return l.Save(hard, entries(1, 3, 1)) },
			Recovered{HardState: *hard, Entries: entries(1, 3, 1)}},
		{"many segments", func(l *Log) error {
			for i := uint64(1); i <= 100; i++ {
				if err := l.Save(hard, entries(i, i, 1)); err != nil {
					return err
				}
			}
			return nil
		}, Recovered{HardState: *hard, Entries: entries(1, 100, 1)}},
		{"replaced tail", func(l *Log) error {
			return errors.Join(l.Save(nil, entries(1, 9, 1)), l.Save(nil, entries(4, 5, 2)))
		}, Recovered{Entries: append(entries(1, 3, 1), entries(4, 5, 2)...)}},
		{"reset by a snapshot", func(l *Log) error {
			return errors.Join(l.Save(nil, entries(1, 9, 1)), l.Reset(Position{Index: 40, Term: 2}, *hard), l.Save(nil, entries(41, 42, 2)))
		}, Recovered{HardState: *hard, Start: Position{Index: 40, Term: 2}, Entries: entries(41, 42, 2)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fs := fsys.NewMem()
			l, _ := mustOpen(t, fs)
			mustDo(t, c.write(l))
			fs.Crash(nil)
			_, got := mustOpen(t, fs)
			if diff := cmp.Diff(c.want, *got); diff != "" {
				t.Errorf("recovered (-want +got):\n%s", diff)
			}
		})
	}
}

// Checks that all entries saved earlier are recovered, and that the log accepts further
// writes, whatever part of an unsynced write reached the disk.
func TestTornTailIsTruncated(t *testing.T) {
	lost := errors.New("power lost")
	for kept := range 60 {
		fs := fsys.NewMem()
		l, _ := mustOpen(t, fs)
		mustDo(t, l.Save(nil, entries(1, 3, 1)))
		fs.FailSync(lost)
		if err := l.Save(nil, entries(4, 4, 1)); !errors.Is(err, lost) {
			t.Fatalf("save gave %v", err)
		}
		if err := l.Save(nil, entries(4, 4, 1)); !errors.Is(err, lost) {
			t.Fatalf("save after a failure gave %v", err)
		}
		fs.Crash(func(unsynced int) int { return min(kept, unsynced) })
		fs.FailSync(nil)
		l, rec := mustOpen(t, fs)
		if len(rec.Entries) < 3 {
			t.Fatalf("kept %d: recovered %v", kept, rec.Entries)
		}
		next := uint64(len(rec.Entries)) + 1
		mustDo(t, l.Save(nil, entries(next, next, 1)))
		if _, rec = mustOpen(t, fs); len(rec.Entries) != int(next) || rec.TornBytes != 0 {
			t.Fatalf("kept %d: recovered %d entries and %d torn bytes after a further write", kept, len(rec.Entries), rec.TornBytes)
		}
	}
}

func TestDamageBeforeTheTailIsRefused(t *testing.T) {
	build := func() *fsys.Mem {
		fs := fsys.NewMem()
		l, _ := mustOpen(t, fs)
		for i := uint64(1); i <= 20; i++ {
			mustDo(t, l.Save(nil, entries(i, i, 1)))
		}
		return fs
	}
	names, err := build().List("log")
	mustDo(t, err)
	if len(names) < 2 {
		t.Fatalf("log has the segments %v, want several", names)
	}
	for i, name := range names {
		data, err := build().ReadFile("log/" + name)
		mustDo(t, err)
		for offset := range data {
			if i == len(names)-1 && offset >= lastFrame(data) {
				break // indistinguishable from a torn write
			}
			fs := build()
			fs.Corrupt("log/"+name, offset)
			var corrupt *CorruptError
			if _, _, err := Open(Options{FS: fs, Dir: "log"}); !errors.As(err, &corrupt) {
				t.Fatalf("damage at %s:%d gave %v", name, offset, err)
			}
		}
	}
}

// lastFrame returns the offset of the last frame of an intact segment.
func lastFrame(data []byte) int {
	offset, last := segmentHeaderBytes, segmentHeaderBytes
	for offset < len(data) {
		_, payload, _ := parseFrame(data[offset:])
		last = offset
		offset += frameHeaderBytes + len(payload)
	}
	return last
}

func TestMissingSegmentIsRefused(t *testing.T) {
	fs := fsys.NewMem()
	l, _ := mustOpen(t, fs)
	for i := uint64(1); i <= 60; i++ {
		mustDo(t, l.Save(nil, entries(i, i, 1)))
	}
	mustDo(t, fs.Remove(l.path(2)))
	var corrupt *CorruptError
	if _, _, err := Open(Options{FS: fs, Dir: "log"}); !errors.As(err, &corrupt) {
		t.Errorf("open gave %v", err)
	}
}

func TestCompactKeepsEntriesAfterTheSnapshot(t *testing.T) {
	fs := fsys.NewMem()
	l, _ := mustOpen(t, fs)
	hard := &consensus.HardState{Term: 7, Vote: 1}
	mustDo(t, l.Save(hard, nil))
	for i := uint64(1); i <= 100; i++ {
		mustDo(t, l.Save(nil, entries(i, i, 1)))
	}
	before := l.Segments()
	mustDo(t, l.Compact(60))
	if l.Segments() >= before {
		t.Errorf("%d segments before and %d after compaction", before, l.Segments())
	}
	fs.Crash(nil)
	_, rec := mustOpen(t, fs)
	if rec.HardState != *hard {
		t.Errorf("hard state %+v, want %+v", rec.HardState, *hard)
	}
	if rec.Start.Index > 60 {
		t.Fatalf("log starts after %d", rec.Start.Index)
	}
	if want := entries(rec.Start.Index+1, 100, 1); !slices.EqualFunc(rec.Entries, want, func(a, b consensus.Entry) bool { return cmp.Equal(a, b) }) {
		t.Errorf("recovered %d entries after %d", len(rec.Entries), rec.Start.Index)
	}
}

func TestLogOnOSFileSystem(t *testing.T) {
	o := Options{FS: fsys.OS{}, Dir: t.TempDir() + "/a/b", SegmentBytes: 512}
	l, _, err := Open(o)
	mustDo(t, err)
	mustDo(t, l.Save(nil, entries(1, 50, 1)))
	mustDo(t, l.Save(nil, entries(51, 51, 1)))
	mustDo(t, l.Compact(50))
	mustDo(t, l.Close())
	l, rec, err := Open(o)
	mustDo(t, err)
	defer l.Close()
	if n := len(rec.Entries); n == 0 || rec.Entries[n-1].Index != 51 {
		t.Errorf("recovered %d entries", n)
	}
}

// FuzzOpen opens arbitrary segments. Open must return an error, or a log from which a
// second Open recovers the same entries.
func FuzzOpen(f *testing.F) {
	fs := fsys.NewMem()
	l, _, err := Open(Options{FS: fs, Dir: "log"})
	if err != nil {
		f.Fatal(err)
	}
	if err := l.Save(&consensus.HardState{Term: 2, Vote: 1}, entries(1, 4, 2)); err != nil {
		f.Fatal(err)
	}
	if err := l.Save(nil, entries(3, 4, 2)); err != nil {
		f.Fatal(err)
	}
	data, err := fs.ReadFile(l.path(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-7])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := fsys.NewMem()
		file, err := fs.Create(segmentPath("log", 1))
		mustDo(t, err)
		_, err = file.Write(data)
		mustDo(t, err)
		l, first, err := Open(Options{FS: fs, Dir: "log"})
		if err != nil {
			return
		}
		mustDo(t, l.Close())
		_, second, err := Open(Options{FS: fs, Dir: "log"})
		mustDo(t, err)
		if diff := cmp.Diff(first.Entries, second.Entries); diff != "" {
			t.Errorf("second open differs:\n%s", diff)
		}
	})
}
