package enginemodel

import (
	"cmp"
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
)

// eventLogSize is the number of cache events that an engine keeps.
const eventLogSize = 4096

// loggedEvent is one cache event and the time from which it can be read.
type loggedEvent struct {
	event    engineapi.CacheEvent
	readable time.Duration
}

// eventLog holds the newest cache events. Lost events leave a gap in the
// sequence numbers.
type eventLog struct {
	lag       time.Duration
	lossEvery int
	seq       uint64 // sequence of the newest event, lost ones included
	events    []loggedEvent
}

func (l *eventLog) add(now time.Duration, kind engineapi.CacheEventKind, k cacheKey) {
	l.seq++
	if l.lossEvery > 0 && l.seq%uint64(l.lossEvery) == 0 {
		return
	}
	if len(l.events) >= 2*eventLogSize {
		l.events = slices.Delete(l.events, 0, eventLogSize)
	}
	e := engineapi.CacheEvent{Sequence: l.seq, Kind: kind, Model: k.model, Prefix: k.hash}
	l.events = append(l.events, loggedEvent{event: e, readable: now + l.lag})
}

// since returns the readable events after a sequence number. complete is false when
// an event between them was lost, or when after is beyond the newest event.
func (l *eventLog) since(now time.Duration, after uint64) (events []engineapi.CacheEvent, complete bool) {
	start, _ := slices.BinarySearchFunc(l.events, after+1, func(e loggedEvent, seq uint64) int {
		return cmp.Compare(e.event.Sequence, seq)
	})
	want := after + 1
	complete = after <= l.seq
	for _, e := range l.events[start:] {
		if e.readable > now {
			break
		}
		complete = complete && e.event.Sequence == want
		want = e.event.Sequence + 1
		events = append(events, e.event)
	}
	return events, complete
}

// CacheEvents returns the cache events after a sequence number that are old
// enough to be read. When events were lost, the page holds a snapshot of all
// stored prefixes instead.
func (e *Engine) CacheEvents(now time.Duration, after uint64) engineapi.CacheEventPage {
	e.advance(now)
	page := engineapi.CacheEventPage{Incarnation: e.cfg.Incarnation, Complete: true, Next: after}
	events, complete := e.mem.log.since(now, after)
	if complete {
		page.Events = events
		if n := len(events); n > 0 {
			page.Next = events[n-1].Sequence
		}
		return page
	}
	page.Complete = false
	page.Next = e.mem.log.seq
	page.Snapshot = e.mem.snapshot()
	return page
}

// snapshot returns all stored prefixes in a fixed order.
func (m *memory) snapshot() []engineapi.CacheEvent {
	out := make([]engineapi.CacheEvent, 0, len(m.entries))
	for k := range m.entries {
		out = append(out, engineapi.CacheEvent{
			Sequence: m.log.seq, Kind: engineapi.CacheStored, Model: k.model, Prefix: k.hash,
		})
	}
	slices.SortFunc(out, func(a, b engineapi.CacheEvent) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Prefix, b.Prefix))
	})
	return out
}
