package controlhost

import (
	"time"

	"filberthook/internal/engines/placement"
)

const (
	// updateRetention is how long updates stay in the log, for hosts that report rarely or
	// have just started.
	updateRetention = 10 * time.Second
	// updateDedupWindow is how long a repeated update is dropped as a duplicate. Hosts
	// announce the same prefix again after this time.
	updateDedupWindow = 3 * time.Second
	// rateDedupWindow is the least time between two logged prefill rates of one engine.
	rateDedupWindow = 500 * time.Millisecond
	// maxAnswerUpdates bounds the updates in one answer: 11 bytes each, so 40 kB, which a
	// link of 10 Mbit/s carries within 40 ms. A host that has just started gets the newest
	// ones.
	maxAnswerUpdates = 3500
	// maxLoggedUpdates bounds the log, which is trimmed before each report is added.
	maxLoggedUpdates = 4 * maxAnswerUpdates
)

// updateLog is a log of the recent cache updates of entry hosts: which prefixes were sent
// to or prefilled by which engine, and how fast engines prefill. Each host reads the
// entries after the position it read last. The same update from several hosts is logged
// once, because all hosts send prompts with the most popular prefixes. The caller
// serializes access.
type updateLog struct {
	last    uint64                   // position of the newest entry
	entries []logEntry               // oldest first
	newest  map[entryKey]newestEntry // newest entry of each key in entries
}

// entryKey identifies what an entry is about: a prefix at an engine, or the engine's
// prefill rate.
type entryKey struct {
	instance  string
	prefixKey uint64 // 0 for the prefill rate
}

// newestEntry is what deduplication needs of the newest entry with a key.
type newestEntry struct {
	receivedAt time.Time
	prefilled  bool
}

// updateSource is the host that an update came from.
type updateSource struct {
	host   string
	remote bool // a control host, in a digest
}

// logEntry is one update about one prefix or prefill rate.
type logEntry struct {
	entryKey
	position    uint64
	source      updateSource
	prefilled   bool    // the engine has finished the prefill of the prefix
	prefillRate float64 // tokens per millisecond, if prefixKey is 0
	receivedAt  time.Time
}

// add appends a host's updates.
func (l *updateLog) add(source updateSource, updates []placement.CacheUpdate, now time.Time) {
	l.expire(now)
	for _, u := range updates {
		for _, key := range u.PrefixKeys {
			l.appendNew(logEntry{entryKey: entryKey{u.Instance, key}, source: source, receivedAt: now}, updateDedupWindow)
		}
		for _, key := range u.Prefilled {
			l.appendNew(logEntry{entryKey: entryKey{u.Instance, key}, source: source, prefilled: true, receivedAt: now}, updateDedupWindow)
		}
		if u.PrefillRate > 0 {
			l.appendNew(logEntry{entryKey: entryKey{u.Instance, 0}, source: source, prefillRate: u.PrefillRate, receivedAt: now}, rateDedupWindow)
		}
	}
}

// appendNew appends an entry unless one with its key was logged within the window. The
// first report that a prefix is prefilled is appended all the same.
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

// expire drops entries older than updateRetention and the oldest beyond maxLoggedUpdates.
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

// since returns the updates that hosts other than the given one sent after a position.
func (l *updateLog) since(host string, position uint64) []placement.CacheUpdate {
	return l.collect(position, func(s updateSource) bool { return s.host != host })
}

// local returns the updates that entry hosts sent after a position.
func (l *updateLog) local(position uint64) []placement.CacheUpdate {
	return l.collect(position, func(s updateSource) bool { return !s.remote })
}

// collect returns the updates of some sources after a position, grouped by instance: at
// most the newest maxAnswerUpdates.
func (l *updateLog) collect(position uint64, wanted func(updateSource) bool) []placement.CacheUpdate {
	index := map[string]int{}
	var out []placement.CacheUpdate
	for i, count := len(l.entries)-1, 0; i >= 0 && l.entries[i].position > position && count < maxAnswerUpdates; i-- {
		e := l.entries[i]
		if !wanted(e.source) {
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
