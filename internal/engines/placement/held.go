package placement

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"
)

const (
	// maxHeld bounds the parts remembered of one engine.
	maxHeld = 8192
	// newsAfter is how long after it was last told that a part is held it is told again.
	newsAfter = 3 * time.Second
	// maxNews bounds the news that wait to be told: some seconds of a busy host. They are
	// hints, so all are dropped beyond.
	maxNews = 1024
)

// heldPart is what this host knows of shared parts at an engine.
type heldPart struct {
	first time.Time // when they were first sent there
	last  time.Time // when they were last asked for
	read  bool      // they were read, as this host or another one saw
}

// fresh reports whether the parts are counted on.
func (h heldPart) fresh(now time.Time) bool { return !h.last.IsZero() && now.Sub(h.last) <= heldFor }

// movable reports whether another engine can fetch the parts. While they are still
// being read there, a fetch brings nothing and they are read twice.
func (h heldPart) movable(now time.Time) bool { return h.fresh(now) && h.read }

// CacheUpdate tells what a host learned of an engine. Keys stand for the shared parts up to
// each of them.
type CacheUpdate struct {
	Instance   string     `json:"instance"`
	PrefixKeys PrefixKeys `json:"keys,omitempty"` // sent there: it holds them soon
	Prefilled  PrefixKeys `json:"read,omitempty"` // read there: others can fetch them
	// PrefillRate is at which it was seen to read, in tokens in a millisecond; 0 when it was not.
	PrefillRate float64 `json:"rate,omitempty"`
}

// PrefixKeys are sent between hosts as base64 of eight bytes each: there are thousands a
// second, and numbers in decimal digits take twice the bytes and several times the work.
type PrefixKeys []uint64

// keyBytes is the length of a key in binary form.
const keyBytes = 8

// MarshalText implements encoding.TextMarshaler.
func (k PrefixKeys) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, keyBytes*len(k))
	for _, key := range k {
		raw = binary.BigEndian.AppendUint64(raw, key)
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *PrefixKeys) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("keys of prompt parts: %w", err)
	}
	if len(raw)%keyBytes != 0 {
		return fmt.Errorf("keys of prompt parts: %d bytes are no multiple of %d", len(raw), keyBytes)
	}
	*k = make(PrefixKeys, 0, len(raw)/keyBytes)
	for ; len(raw) > 0; raw = raw[keyBytes:] {
		*k = append(*k, binary.BigEndian.Uint64(raw))
	}
	return nil
}

// hold notes that an engine is sent parts. The caller holds f.mu.
func (f *Fleet) hold(in *instance, keys []uint64, now time.Time) {
	for _, key := range keys {
		if before := in.held[key]; now.Sub(before.last) > newsAfter {
			h := f.newsOf(in.ID)
			if before.movable(now) {
				h.Prefilled = append(h.Prefilled, key)
			} else {
				h.PrefixKeys = append(h.PrefixKeys, key)
			}
			f.newsCount++
			in.note(key, now)
		}
	}
	f.boundNews()
}

// boundNews drops the news when nobody takes them. The caller holds f.mu.
func (f *Fleet) boundNews() {
	if f.newsCount > maxNews {
		clear(f.news)
		f.newsCount = 0
	}
}

// newsOf returns the news of an instance that wait to be told. The caller holds f.mu.
func (f *Fleet) newsOf(id string) *CacheUpdate {
	h := f.news[id]
	if h == nil {
		h = &CacheUpdate{Instance: id}
		f.news[id] = h
	}
	return h
}

// note notes that parts were asked for at an engine.
func (in *instance) note(key uint64, now time.Time) {
	if len(in.held) >= maxHeld {
		clear(in.held)
	}
	part := in.held[key]
	if !part.fresh(now) {
		part = heldPart{first: now}
	}
	part.last = now
	in.held[key] = part
}

// noteRead notes that parts that are known at an engine were read there.
func (in *instance) noteRead(key uint64) {
	part := in.held[key]
	part.read = true
	in.held[key] = part
}

// partsRead notes that the shared parts of a prompt were read at an engine. The caller
// holds f.mu.
func (f *Fleet) partsRead(in *instance, keys []uint64) {
	for _, key := range keys {
		if part, ok := in.held[key]; ok && !part.read {
			in.noteRead(key)
			f.newsOf(in.ID).Prefilled = append(f.newsOf(in.ID).Prefilled, key)
			f.newsCount++
		}
	}
}

// partsLost forgets parts that came to an engine with a prompt that it did not read.
func (in *instance) partsLost(keys []uint64, sent time.Time) {
	for _, key := range keys {
		if part := in.held[key]; !part.read && part.first.Equal(sent) {
			delete(in.held, key)
		}
	}
}

// TakeUpdates returns what engines hold as far as it was not told yet, and forgets it.
func (f *Fleet) TakeUpdates() []CacheUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]CacheUpdate, 0, len(f.news))
	for _, h := range f.news {
		out = append(out, *h)
	}
	clear(f.news)
	f.newsCount = 0
	return out
}

// RequeueUpdates takes back news that could not be told.
func (f *Fleet) RequeueUpdates(news []CacheUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range news {
		h := f.newsOf(n.Instance)
		h.PrefixKeys = append(h.PrefixKeys, n.PrefixKeys...)
		h.Prefilled = append(h.Prefilled, n.Prefilled...)
		f.newsCount += len(n.PrefixKeys) + len(n.Prefilled)
	}
	f.boundNews()
}

// ApplyUpdates takes the news of other hosts.
func (f *Fleet) ApplyUpdates(news []CacheUpdate, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range news {
		if in := f.known[n.Instance]; in != nil {
			for _, key := range n.PrefixKeys {
				in.note(key, now)
			}
			for _, key := range n.Prefilled {
				in.note(key, now)
				in.noteRead(key)
			}
			if n.PrefillRate > 0 {
				in.rates.add(n.PrefillRate)
			}
		}
	}
}
