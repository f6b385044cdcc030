package wal

import (
	"syscall"
	"testing"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

// saveTo saves entries first to last, each in a write of its own.
func saveTo(t *testing.T, l *Log, first, last uint64) (err error) {
	t.Helper()
	for i := first; i <= last && err == nil; i++ {
		err = l.Save(&consensus.HardState{Term: 1, Commit: i - 1}, entries(i, i, 1))
	}
	return err
}

// killedWriter is a file system of a process that is killed before it removes anything.
type killedWriter struct {
	fsys.FS
	killed bool
}

func (k *killedWriter) Truncate(name string, size int64) error {
	if k.killed {
		return nil
	}
	return k.FS.Truncate(name, size)
}

func (k *killedWriter) Remove(name string) error {
	if k.killed {
		return nil
	}
	return k.FS.Remove(name)
}

func TestEntriesThatAReopenedLogReportsSurviveALossOfPower(t *testing.T) {
	for name, tt := range map[string]struct {
		segmentBytes int64
		killed       bool // before it can remove what a failed write left
	}{
		"disk full, one segment":    {},
		"disk full, short segments": {segmentBytes: 100},
		"killed, one segment":       {killed: true},
		"killed, short segments":    {segmentBytes: 100, killed: true},
	} {
		t.Run(name, func(t *testing.T) {
			for saved := uint64(1); saved <= 6; saved++ {
				mem := fsys.NewMem()
				disk := &killedWriter{FS: mem, killed: tt.killed}
				options := Options{FS: disk, Dir: "log", SegmentBytes: tt.segmentBytes}
				l, _, err := Open(options)
				if err != nil {
					t.Fatal(err)
				}
				if err := saveTo(t, l, 1, saved); err != nil {
					t.Fatal(err)
				}
				mem.FailSync(syscall.ENOSPC)
				if err := saveTo(t, l, saved+1, saved+1); err == nil {
					t.Fatal("a write that was not synced succeeded")
				}
				l.Close()
				mem.FailSync(nil)
				disk.killed = false
				l, reported, err := Open(options)
				if err != nil {
					t.Fatal(err)
				}
				mem.Crash(nil)
				l.Close()
				_, left, err := Open(options)
				if err != nil {
					t.Fatalf("after a loss of power: %v", err)
				}
				if len(left.Entries) != len(reported.Entries) || left.HardState != reported.HardState {
					t.Errorf("the log reported %d entries and %+v when it was opened; after a loss of power it has %d and %+v",
						len(reported.Entries), reported.HardState, len(left.Entries), left.HardState)
				}
			}
		})
	}
}
