package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
)

// reader replays the segments of a log.
type reader struct {
	opts     Options
	segments []segment
	sequence uint64 // of the next expected frame
	size     int64  // intact bytes of the last segment
	out      Recovered
}

func readAll(opts Options) (*reader, error) {
	r := &reader{opts: opts}
	numbers, err := listSegments(opts)
	if err != nil {
		return nil, err
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return nil, &CorruptError{Segment: filepath.Base(segmentPath(opts.Dir, number)), Detail: "the segment before it is missing"}
		}
		if err := r.readSegment(number, i == 0, i == len(numbers)-1); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func listSegments(opts Options) ([]uint64, error) {
	names, err := opts.FS.List(opts.Dir)
	if err != nil {
		return nil, fmt.Errorf("list log folder: %w", err)
	}
	var numbers []uint64
	for _, name := range names {
		stem, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(stem, 16, 64)
		if err != nil {
			return nil, &fsys.UnexpectedFileError{Name: filepath.Join(opts.Dir, name)}
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// last returns the position of the newest entry.
func (r *reader) last() Position {
	if n := len(r.out.Entries); n > 0 {
		return Position{Index: r.out.Entries[n-1].Index, Term: r.out.Entries[n-1].Term}
	}
	return r.out.Start
}

func (r *reader) readSegment(number uint64, first, last bool) error {
	path := segmentPath(r.opts.Dir, number)
	data, err := r.opts.FS.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read log segment: %w", err)
	}
	corrupt := func(offset int64, detail string) error {
		return &CorruptError{Segment: filepath.Base(path), Offset: offset, Detail: detail}
	}
	if last && (len(data) < segmentHeaderBytes || allZero(data)) {
		return r.removeIncompleteSegment(path, data)
	}
	if !validHeader(data, number) {
		return corrupt(0, "segment header")
	}
	offset := int64(segmentHeaderBytes)
	for offset < int64(len(data)) {
		sequence, payload, ok := parseFrame(data[offset:])
		if !ok {
			if !last || hasLaterFrame(data[offset+1:], r.sequence) {
				return corrupt(offset, "checksum")
			}
			break
		}
		if offset == segmentHeaderBytes && first {
			r.sequence = sequence
		}
		if sequence != r.sequence {
			return corrupt(offset, fmt.Sprintf("frame %d, want %d", sequence, r.sequence))
		}
		if detail := r.replay(payload, first && offset == segmentHeaderBytes); detail != "" {
			return corrupt(offset, detail)
		}
		r.sequence++
		if offset == segmentHeaderBytes {
			r.segments = append(r.segments, segment{number: number, base: r.last().Index})
		}
		offset += frameHeaderBytes + int64(len(payload))
	}
	if offset == segmentHeaderBytes {
		return r.removeIncompleteSegment(path, data)
	}
	return r.truncateTail(path, offset, int64(len(data)))
}

// allZero reports whether data is empty or all zeros: a crash can leave a file that was
// extended but whose contents were never written.
func allZero(data []byte) bool { return len(bytes.Trim(data, "\x00")) == 0 }

// removeIncompleteSegment removes a last segment that holds no intact frame, because a
// crash interrupted its creation.
func (r *reader) removeIncompleteSegment(path string, data []byte) error {
	r.out.TornBytes += int64(len(data))
	if err := r.opts.FS.Remove(path); err != nil {
		return fmt.Errorf("remove incomplete log segment: %w", err)
	}
	return r.opts.FS.SyncDir(r.opts.Dir)
}

// truncateTail removes the bytes of a torn write after the last intact frame.
func (r *reader) truncateTail(path string, intact, total int64) error {
	r.size = intact
	if intact == total {
		return nil
	}
	r.out.TornBytes += total - intact
	if err := r.opts.FS.Truncate(path, intact); err != nil {
		return fmt.Errorf("truncate incomplete write at the end of the log: %w", err)
	}
	return nil
}

// hasLaterFrame reports whether data holds an intact frame with a later sequence number
// than the damaged frame before it. A crash cannot cause that, because each frame is
// synced before the next one is written.
func hasLaterFrame(data []byte, damaged uint64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		sequence, _, ok := parseFrame(data[i:])
		if ok && sequence > damaged {
			return true
		}
		data = data[i+1:]
	}
}

// replay applies the records of a frame and describes the first invalid one, "" if there
// is none. The oldest frame sets the position at which the log starts.
func (r *reader) replay(payload []byte, oldest bool) (problem string) {
	for len(payload) > 0 {
		t, data, rest, ok := nextRecord(payload)
		if !ok {
			return "record length"
		}
		if problem := r.replayRecord(t, data, oldest); problem != "" {
			return problem
		}
		payload = rest
	}
	return ""
}

func (r *reader) replayRecord(t recordType, data []byte, oldest bool) (problem string) {
	var at Position
	switch t {
	case recordHardState:
		h := &r.out.HardState
		if !decodeUvarints(data, &h.Term, &h.Vote, &h.VoteIncarnation, &h.Commit) {
			return "hard state"
		}
	case recordEntry:
		return r.replayEntry(data)
	case recordStart:
		if !decodeUvarints(data, &at.Index, &at.Term) {
			return "start position"
		}
		r.out.Start, r.out.Entries = at, nil
	case recordContinue:
		if !decodeUvarints(data, &at.Index, &at.Term) {
			return "position"
		}
		if oldest {
			r.out.Start = at
		} else if at != r.last() {
			return fmt.Sprintf("position %d, want %d", at.Index, r.last().Index)
		}
	default:
		return fmt.Sprintf("record type %d", t)
	}
	return ""
}

func (r *reader) replayEntry(data []byte) (problem string) {
	e, err := consensus.DecodeEntry(data)
	if err != nil {
		return err.Error()
	}
	start := r.out.Start.Index
	if e.Index > r.last().Index+1 {
		return fmt.Sprintf("entry %d after %d", e.Index, r.last().Index)
	}
	if e.Index <= start {
		// Compaction removed the segments with the earlier entries. This entry
		// replaces a tail that began in one of them.
		r.out.Start = Position{Index: e.Index - 1}
		r.out.Entries = r.out.Entries[:0]
	} else {
		r.out.Entries = r.out.Entries[:e.Index-start-1]
	}
	r.out.Entries = append(r.out.Entries, e)
	return ""
}
