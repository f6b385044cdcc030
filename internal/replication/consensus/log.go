package consensus

import (
	"sort"

	"filberthook/internal/process/invariant"
)

// raftLog holds the entries after offset. Invariants: applied <= committed <= last
// index, stable <= last index, and no entry at or below committed is replaced.
type raftLog struct {
	offset     uint64 // index before entries[0]
	offsetTerm uint64
	entries    []Entry
	stable     uint64 // highest index known to be durable here
	committed  uint64
	applied    uint64
}

func (l *raftLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index; ok is false when the entry was
// compacted or is not in the log yet.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at (term, index) is at least as up to date
// as this one (Raft paper, section 5.4.1).
func (l *raftLog) upToDate(term, index uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// slice returns the entries in (after, upTo], limited to maxBytes and to
// maxEntriesPerMessage entries. It returns at least one entry unless the range is empty.
func (l *raftLog) slice(after, upTo uint64, maxBytes int) []Entry {
	if upTo <= after {
		return nil
	}
	entries := l.entries[after-l.offset : upTo-l.offset]
	size := 0
	for i, e := range entries {
		size += entrySize(e)
		if i > 0 && size > maxBytes || i == maxEntriesPerMessage {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// append replaces the entries from entries[0].Index on, if any, with entries.
func (l *raftLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	after := entries[0].Index - 1
	invariant.Check(after >= l.committed && after <= l.lastIndex(), "committed-entry-kept",
		"append after %d, committed %d, last %d", after, l.committed, l.lastIndex())
	if after < l.lastIndex() {
		// A new backing array: slices handed out earlier keep their contents.
		l.entries = append([]Entry(nil), l.entries[:after-l.offset]...)
	}
	l.stable = min(l.stable, after)
	l.entries = append(l.entries, entries...)
}

// missing returns the suffix of entries from the first one that this log lacks.
func (l *raftLog) missing(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index > l.offset && !l.matches(e.Index, e.Term) {
			return entries[i:]
		}
	}
	return nil
}

func (l *raftLog) commitTo(index uint64) {
	if index <= l.committed {
		return
	}
	invariant.Check(index <= l.lastIndex(), "commit-within-log", "commit %d, last %d", index, l.lastIndex())
	l.committed = index
}

// findConflictByTerm returns the last index up to the given one whose entry's term is at
// most term, or the offset if there is none. The logs cannot match after that index.
func (l *raftLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	if index <= l.offset {
		return l.offset
	}
	n := sort.Search(int(index-l.offset), func(i int) bool { return l.entries[i].Term > term })
	return l.offset + uint64(n)
}

// compact drops the entries up to index, which must have been applied.
func (l *raftLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	invariant.Check(index <= l.applied, "compact-applied", "compact to %d, applied %d", index, l.applied)
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

// reset makes the log empty after a snapshot at (index, term).
func (l *raftLog) reset(index, term uint64) {
	invariant.Check(index >= l.committed, "snapshot-forward", "snapshot %d, committed %d", index, l.committed)
	*l = raftLog{offset: index, offsetTerm: term, stable: index, committed: index, applied: index}
}
