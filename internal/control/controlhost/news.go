package controlhost

import (
	"time"

	"filberthook/internal/engines/placement"
)

const (
	// newsKept is how long news are kept for hosts that ask seldom or have just started.
	newsKept = 10 * time.Second
	// newsRepeated is after how long the same news count as new: hosts tell them again
	// after as long.
	newsRepeated = 3 * time.Second
	// rateRepeated is after how long the rate of an engine is told again.
	rateRepeated = 500 * time.Millisecond
	// maxAnswerNews bounds the news in one answer: 11 bytes each, so 40 kB, which a link
	// of 10 Mbit/s carries within 40 ms. A host that starts gets the newest ones.
	maxAnswerNews = 3500
	// maxNews bounds the news that are kept.
	maxNews = 4 * maxAnswerNews
)

// board holds what entry hosts told about prompt parts and engines. The same news of
// several hosts are kept once: all hosts send prompts on the subjects asked for most.
// The caller guards it.
type board struct {
	last  uint64              // position of the newest note
	notes []note              // oldest first
	known map[noteID]noteTold // what is among the notes
}

// noteID is what a note is about: shared parts at an engine, or its rate.
type noteID struct {
	instance string
	key      uint64 // 0 for the rate
}

type noteTold struct {
	at   time.Time
	read bool
}

type note struct {
	noteID
	position uint64
	host     string
	read     bool
	rate     float64
	at       time.Time
}

// add takes a host's news.
func (b *board) add(host string, held []placement.CacheUpdate, now time.Time) {
	b.expire(now)
	for _, h := range held {
		for _, key := range h.PrefixKeys {
			b.put(note{noteID: noteID{h.Instance, key}, host: host, at: now}, newsRepeated)
		}
		for _, key := range h.Prefilled {
			b.put(note{noteID: noteID{h.Instance, key}, host: host, read: true, at: now}, newsRepeated)
		}
		if h.PrefillRate > 0 {
			b.put(note{noteID: noteID{h.Instance, 0}, host: host, rate: h.PrefillRate, at: now}, rateRepeated)
		}
	}
}

// put keeps a note unless it was told within a time.
func (b *board) put(n note, repeated time.Duration) {
	if b.known == nil {
		b.known = map[noteID]noteTold{}
	}
	if told, ok := b.known[n.noteID]; ok && n.at.Sub(told.at) < repeated && (told.read || !n.read) {
		return
	}
	b.last++
	n.position = b.last
	b.notes = append(b.notes, n)
	b.known[n.noteID] = noteTold{n.at, n.read}
}

// expire drops old notes.
func (b *board) expire(now time.Time) {
	n := max(0, len(b.notes)-maxNews)
	for n < len(b.notes) && now.Sub(b.notes[n].at) > newsKept {
		n++
	}
	for _, old := range b.notes[:n] {
		if b.known[old.noteID].at.Equal(old.at) {
			delete(b.known, old.noteID)
		}
	}
	b.notes = b.notes[n:]
}

// since returns the notes of other hosts after a position, the newest ones if there are
// many, by instance.
func (b *board) since(host string, position uint64) []placement.CacheUpdate {
	index := map[string]int{}
	var out []placement.CacheUpdate
	for i, count := len(b.notes)-1, 0; i >= 0 && b.notes[i].position > position && count < maxAnswerNews; i-- {
		n := b.notes[i]
		if n.host == host {
			continue
		}
		count++
		at, ok := index[n.instance]
		if !ok {
			at = len(out)
			index[n.instance] = at
			out = append(out, placement.CacheUpdate{Instance: n.instance})
		}
		switch h := &out[at]; {
		case n.key == 0:
			h.PrefillRate = max(h.PrefillRate, n.rate)
		case n.read:
			h.Prefilled = append(h.Prefilled, n.key)
		default:
			h.PrefixKeys = append(h.PrefixKeys, n.key)
		}
	}
	return out
}
