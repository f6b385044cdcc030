package controlhost

import (
	"time"

	"filberthook/internal/engines/placement"
)

const (
	// updateRetention is how long news are kept for hosts that ask seldom or have just started.
	updateRetention = 10 * time.Second
	// updateDedupWindow is after how long the same news count as new: hosts tell them again
	// after as long.
	updateDedupWindow = 3 * time.Second
	// rateDedupWindow is after how long the rate of an engine is told again.
	rateDedupWindow = 500 * time.Millisecond
	// maxAnswerUpdates bounds the news in one answer: 11 bytes each, so 40 kB, which a link
	// of 10 Mbit/s carries within 40 ms. A host that starts gets the newest ones.
	maxAnswerUpdates = 3500
	// maxLoggedUpdates bounds the news that are kept.
	maxLoggedUpdates = 4 * maxAnswerUpdates
)

// updateLog holds what entry hosts told about prompt parts and engines. The same news of
// several hosts are kept once: all hosts send prompts on the subjects asked for most.
// The caller guards it.
type updateLog struct {
	last    uint64                   // position of the newest note
	entries []logEntry               // oldest first
	newest  map[entryKey]newestEntry // what is among the notes
}

// entryKey is what a note is about: shared parts at an engine, or its rate.
type entryKey struct {
	instance  string
	prefixKey uint64 // 0 for the rate
}

type newestEntry struct {
	receivedAt time.Time
	prefilled  bool
}

type logEntry struct {
	entryKey
	position    uint64
	host        string
	prefilled   bool
	prefillRate float64
	receivedAt  time.Time
}

// add takes a host's news.
func (l *updateLog) add(host string, updates []placement.CacheUpdate, now time.Time) {
	l.expire(now)
	for _, u := range updates {
		for _, key := range u.PrefixKeys {
			l.appendNew(logEntry{entryKey: entryKey{u.Instance, key}, host: host, receivedAt: now}, updateDedupWindow)
		}
		for _, key := range u.Prefilled {
			l.appendNew(logEntry{entryKey: entryKey{u.Instance, key}, host: host, prefilled: true, receivedAt: now}, updateDedupWindow)
		}
		if u.PrefillRate > 0 {
			l.appendNew(logEntry{entryKey: entryKey{u.Instance, 0}, host: host, prefillRate: u.PrefillRate, receivedAt: now}, rateDedupWindow)
		}
	}
}

// appendNew keeps a note unless it was told within a time.
func (l *updateLog) appendNew(e logEntry, dedupWindow time.Duration) {
	if l.newest == nil {
		l.newest = map[entryKey]newestEntry{}
	}
	if last, ok := l.newest[e.entryKey]; ok && e.receivedAt.Sub(last.receivedAt) < dedupWindow && (last.prefilled || !e.prefilled) {
		return
	}
	l.last++
	e.position = l.last
	l.entries = append(l.entries, e)
	l.newest[e.entryKey] = newestEntry{e.receivedAt, e.prefilled}
}

// expire drops old notes.
func (l *updateLog) expire(now time.Time) {
	n := max(0, len(l.entries)-maxLoggedUpdates)
	for n < len(l.entries) && now.Sub(l.entries[n].receivedAt) > updateRetention {
		n++
	}
	for _, old := range l.entries[:n] {
		if l.newest[old.entryKey].receivedAt.Equal(old.receivedAt) {
			delete(l.newest, old.entryKey)
		}
	}
	l.entries = l.entries[n:]
}

// since returns the notes of other hosts after a position, the newest ones if there are
// many, by instance.
func (l *updateLog) since(host string, position uint64) []placement.CacheUpdate {
	index := map[string]int{}
	var out []placement.CacheUpdate
	for i, count := len(l.entries)-1, 0; i >= 0 && l.entries[i].position > position && count < maxAnswerUpdates; i-- {
		e := l.entries[i]
		if e.host == host {
			continue
		}
		count++
		slot, ok := index[e.instance]
		if !ok {
			slot = len(out)
			index[e.instance] = slot
			out = append(out, placement.CacheUpdate{Instance: e.instance})
		}
		switch u := &out[slot]; {
		case e.prefixKey == 0:
			u.PrefillRate = max(u.PrefillRate, e.prefillRate)
		case e.prefilled:
			u.Prefilled = append(u.Prefilled, e.prefixKey)
		default:
			u.PrefixKeys = append(u.PrefixKeys, e.prefixKey)
		}
	}
	return out
}
