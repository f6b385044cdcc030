// Package wal is a durable log of consensus entries and hard states in segment
// files. Each Save is one frame with a checksum, synced before Save returns, so
// after a crash only the last frame of the last segment can be incomplete. Open
// truncates that frame and returns a *CorruptError for damage anywhere else.
//
// A segment starts with a header and a frame that repeats the hard state and the
// position in the log, so that earlier segments can be removed.
package wal

import (
	"errors"
	"fmt"
	"path/filepath"

	"filberthook/internal/process/invariant"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

// DefaultSegmentBytes is the size after which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Position is the index and term of one entry.
type Position struct {
	Index uint64
	Term  uint64
}

// Recovered is the state that Open read. Entries follow Start without gaps.
type Recovered struct {
	HardState consensus.HardState
	Start     Position
	Entries   []consensus.Entry
	TornBytes int64 // of an incomplete write truncated at the end
}

// Options holds the settings of a log.
type Options struct {
	FS           fsys.FS
	Dir          string
	SegmentBytes int64 // 0 for DefaultSegmentBytes
}

// segment is a file of the log. Each entry in the earlier segments has an index of at
// most base, or was replaced later.
type segment struct {
	number uint64
	base   uint64
}

// Log is a log open for writing. It is not safe for concurrent use.
type Log struct {
	opts     Options
	segments []segment // by ascending number; writes go to the last
	file     fsys.File
	size     int64 // synced bytes in the last segment
	sequence uint64
	hard     consensus.HardState
	last     Position
	buf      []byte
	err      error // first failure; the log refuses all writes after it
}

// Open reads the log in the folder and creates folder and log when missing.
func Open(opts Options) (*Log, *Recovered, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if err := opts.FS.MkdirAll(opts.Dir); err != nil {
		return nil, nil, fmt.Errorf("create log folder: %w", err)
	}
	r, err := readAll(opts)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{opts: opts, segments: r.segments, sequence: r.sequence, hard: r.out.HardState, last: r.last()}
	if len(l.segments) == 0 {
		if err := l.rotate(); err != nil {
			l.discardUnsynced()
			return nil, nil, errors.Join(err, l.Close())
		}
		return l, &r.out, nil
	}
	l.size = r.size
	l.file, err = opts.FS.Append(l.path(l.segments[len(l.segments)-1].number))
	if err != nil {
		return nil, nil, fmt.Errorf("open log segment: %w", err)
	}
	if err := l.syncRecovered(); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("sync recovered log: %w", err), l.Close())
	}
	return l, &r.out, nil
}

func (l *Log) path(number uint64) string { return segmentPath(l.opts.Dir, number) }

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// Save makes a hard state (nil when unchanged) and entries durable. Entries replace
// those at the same and later indexes. After an error the log refuses all writes,
// because how much reached the disk is unknown until it is opened again.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	return l.guard(func() error { return l.save(hard, entries) })
}

// Reset durably discards all entries: the log restarts after a snapshot's position.
func (l *Log) Reset(at Position, hard consensus.HardState) error {
	return l.guard(func() error {
		l.beginFrame()
		l.addHardState(hard)
		l.addStart(at)
		return l.commitFrame()
	})
}

// guard runs a write unless an earlier one failed.
func (l *Log) guard(write func() error) error {
	if l.err != nil {
		return l.err
	}
	if err := write(); err != nil {
		l.err = &FailedError{Err: err}
		l.discardUnsynced()
	}
	return l.err
}

// syncRecovered makes durable what was read: the process that wrote it may have ended before its
// sync.
func (l *Log) syncRecovered() error {
	if err := l.file.Sync(); err != nil {
		return err
	}
	return l.opts.FS.SyncDir(l.opts.Dir)
}

// discardUnsynced removes what a failed write left behind. The file system may show it to a
// later reader although a sync of it has failed and will not be tried again.
func (l *Log) discardUnsynced() {
	n := len(l.segments)
	if n == 0 {
		return
	}
	// Ignore errors: what is left is synced, or fails to be, when the log is opened.
	if newest := l.path(l.segments[n-1].number); l.size > 0 {
		_ = l.opts.FS.Truncate(newest, l.size)
	} else {
		_ = l.opts.FS.Remove(newest)
	}
}

func (l *Log) save(hard *consensus.HardState, entries []consensus.Entry) error {
	l.beginFrame()
	if hard != nil {
		l.addHardState(*hard)
	}
	for _, e := range entries {
		if len(l.buf) > maxFrameBytes/2 {
			if err := l.commitFrame(); err != nil {
				return err
			}
			l.beginFrame()
		}
		invariant.Check(e.Index <= l.last.Index+1, "wal-no-gap", "entry %d after %d", e.Index, l.last.Index)
		l.addEntry(e)
	}
	return l.commitFrame()
}

// commitFrame writes the frame in buf and syncs it.
func (l *Log) commitFrame() error {
	l.sealFrame()
	if _, err := l.file.Write(l.buf); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.size += int64(len(l.buf))
	l.sequence++
	if l.size >= l.opts.SegmentBytes {
		return l.rotate()
	}
	return nil
}

// rotate starts a new segment. Its directory entry is synced before the next write.
func (l *Log) rotate() error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	f, err := l.opts.FS.Create(l.path(number))
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size = f, 0
	l.segments = append(l.segments, segment{number: number, base: l.last.Index})
	l.beginFrame()
	l.addHardState(l.hard)
	l.addContinue(l.last)
	l.sealFrame()
	head := append(segmentHeader(number), l.buf...)
	if _, err := f.Write(head); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	l.size = int64(len(head))
	l.sequence++
	return l.opts.FS.SyncDir(l.opts.Dir)
}

// Compact removes the oldest segments, as far as they hold no entry after index. The
// caller must have a durable snapshot at or after index.
func (l *Log) Compact(index uint64) error {
	return l.guard(func() error {
		removed := 0
		for removed+1 < len(l.segments) && l.maxBase(removed+1) <= index {
			if err := l.opts.FS.Remove(l.path(l.segments[removed].number)); err != nil {
				return err
			}
			removed++
		}
		l.segments = l.segments[removed:]
		if removed == 0 {
			return nil
		}
		return l.opts.FS.SyncDir(l.opts.Dir)
	})
}

// maxBase returns the highest base of the segments up to n.
func (l *Log) maxBase(n int) uint64 {
	highest := uint64(0)
	for _, s := range l.segments[:n+1] {
		highest = max(highest, s.base)
	}
	return highest
}

// Segments returns the number of segment files.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the file. All saved data is durable already.
func (l *Log) Close() error {
	if l.err == nil {
		l.err = &FailedError{Err: errors.New("log closed")}
	}
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// FailedError reports a failed write, after which the log refuses all writes.
type FailedError struct{ Err error }

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("write to log: %v; check the disk and restart the process", e.Err)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Err }

// CorruptError reports damage that a crash cannot cause.
type CorruptError struct {
	Segment string // file name
	Offset  int64  // bytes
	Detail  string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("log segment %s is damaged at byte %d (%s): do not delete it; keep the data folder for study and join this host as a learner with a new replica id and an empty data folder",
		e.Segment, e.Offset, e.Detail)
}
