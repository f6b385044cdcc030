package placement

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"
)

const (
	// maxCachedPrefixes bounds the parts remembered of one engine.
	maxCachedPrefixes = 8192
	// reannounceInterval is how long after it was last told that a part is held it is told again.
	reannounceInterval = 3 * time.Second
	// maxPendingUpdates bounds the news that wait to be told: some seconds of a busy host. They are
	// hints, so all are dropped beyond.
	maxPendingUpdates = 1024
)

// cacheEntry is what this host knows of shared parts at an engine.
type cacheEntry struct {
	addedAt   time.Time // when they were first sent there
	usedAt    time.Time // when they were last asked for
	prefilled bool      // they were read, as this host or another one saw
}

// fresh reports whether the parts are counted on.
func (e cacheEntry) fresh(t time.Time) bool { return !e.usedAt.IsZero() && t.Sub(e.usedAt) <= cacheTTL }

// transferable reports whether another engine can fetch the parts. While they are still
// being read there, a fetch brings nothing and they are read twice.
func (e cacheEntry) transferable(now time.Time) bool { return e.fresh(now) && e.prefilled }

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

// recordSent notes that an engine is sent parts. The caller holds f.mu.
func (f *Fleet) recordSent(in *instance, keys []uint64, now time.Time) {
	for _, key := range keys {
		if previous := in.cached[key]; now.Sub(previous.usedAt) > reannounceInterval {
			u := f.updateFor(in.ID)
			if previous.transferable(now) {
				u.Prefilled = append(u.Prefilled, key)
			} else {
				u.PrefixKeys = append(u.PrefixKeys, key)
			}
			f.updateCount++
			in.addCached(key, now)
		}
	}
	f.boundUpdates()
}

// boundUpdates drops the news when nobody takes them. The caller holds f.mu.
func (f *Fleet) boundUpdates() {
	if f.updateCount > maxPendingUpdates {
		clear(f.updates)
		f.updateCount = 0
	}
}

// updateFor returns the news of an instance that wait to be told. The caller holds f.mu.
func (f *Fleet) updateFor(id string) *CacheUpdate {
	u := f.updates[id]
	if u == nil {
		u = &CacheUpdate{Instance: id}
		f.updates[id] = u
	}
	return u
}

// addCached notes that parts were asked for at an engine.
func (in *instance) addCached(key uint64, now time.Time) {
	if len(in.cached) >= maxCachedPrefixes {
		clear(in.cached)
	}
	entry := in.cached[key]
	if !entry.fresh(now) {
		entry = cacheEntry{addedAt: now}
	}
	entry.usedAt = now
	in.cached[key] = entry
}

// setPrefilled notes that parts that are known at an engine were read there.
func (in *instance) setPrefilled(key uint64) {
	entry := in.cached[key]
	entry.prefilled = true
	in.cached[key] = entry
}

// markPrefilled notes that the shared parts of a prompt were read at an engine. The caller
// holds f.mu.
func (f *Fleet) markPrefilled(in *instance, keys []uint64) {
	for _, key := range keys {
		if entry, ok := in.cached[key]; ok && !entry.prefilled {
			in.setPrefilled(key)
			f.updateFor(in.ID).Prefilled = append(f.updateFor(in.ID).Prefilled, key)
			f.updateCount++
		}
	}
}

// dropUnfinished forgets parts that came to an engine with a prompt that it did not read.
func (in *instance) dropUnfinished(keys []uint64, sentAt time.Time) {
	for _, key := range keys {
		if entry := in.cached[key]; !entry.prefilled && entry.addedAt.Equal(sentAt) {
			delete(in.cached, key)
		}
	}
}

// TakeUpdates returns what engines hold as far as it was not told yet, and forgets it.
func (f *Fleet) TakeUpdates() []CacheUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]CacheUpdate, 0, len(f.updates))
	for _, u := range f.updates {
		out = append(out, *u)
	}
	clear(f.updates)
	f.updateCount = 0
	return out
}

// RequeueUpdates takes back news that could not be told.
func (f *Fleet) RequeueUpdates(updates []CacheUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range updates {
		pending := f.updateFor(u.Instance)
		pending.PrefixKeys = append(pending.PrefixKeys, u.PrefixKeys...)
		pending.Prefilled = append(pending.Prefilled, u.Prefilled...)
		f.updateCount += len(u.PrefixKeys) + len(u.Prefilled)
	}
	f.boundUpdates()
}

// ApplyUpdates takes the news of other hosts.
func (f *Fleet) ApplyUpdates(updates []CacheUpdate, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range updates {
		if in := f.byID[u.Instance]; in != nil {
			for _, key := range u.PrefixKeys {
				in.addCached(key, now)
			}
			for _, key := range u.Prefilled {
				in.addCached(key, now)
				in.setPrefilled(key)
			}
			if u.PrefillRate > 0 {
				in.prefillRates.add(u.PrefillRate)
			}
		}
	}
}
