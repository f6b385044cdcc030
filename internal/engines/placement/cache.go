package placement

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"
)

const (
	// maxCachedPrefixes bounds the prefixes tracked for one engine.
	maxCachedPrefixes = 8192
	// reannounceInterval is the time after which a cached prefix is announced again.
	reannounceInterval = 3 * time.Second
	// maxPendingUpdates bounds the unsent updates to what a busy host collects in some
	// seconds. They are hints, so all of them are dropped beyond the limit.
	maxPendingUpdates = 1024
)

// cacheEntry is what this host knows about a shared prefix in an engine's cache.
type cacheEntry struct {
	addedAt   time.Time // first prompt with this prefix sent to the engine
	usedAt    time.Time // last recorded use; uses within reannounceInterval of it are not recorded
	prefilled bool      // prefill was seen to finish, by this host or another one
}

// fresh reports whether the prefix is assumed to be in the engine's cache at t.
func (e cacheEntry) fresh(t time.Time) bool { return !e.usedAt.IsZero() && t.Sub(e.usedAt) <= cacheTTL }

// transferable reports whether another engine can fetch the prefix. Before its prefill
// has finished a fetch returns nothing, and the prefix is computed twice.
func (e cacheEntry) transferable(now time.Time) bool { return e.fresh(now) && e.prefilled }

// CacheUpdate is what a host has learned about one engine since its last report. Each
// key identifies a prefix: a block and all blocks before it.
type CacheUpdate struct {
	Instance   string     `json:"instance"`
	PrefixKeys PrefixKeys `json:"keys,omitempty"` // sent to the engine, which will have them cached soon
	Prefilled  PrefixKeys `json:"read,omitempty"` // prefill finished: other engines can fetch them
	// PrefillRate is the engine's observed prefill rate in tokens per millisecond; 0 if none.
	PrefillRate float64 `json:"rate,omitempty"`
}

// PrefixKeys are encoded as base64 of eight bytes each: hosts exchange thousands a second,
// and decimal numbers would take twice the bytes and several times the CPU.
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

// recordSent records that an engine is sent a prompt with these prefixes, and queues
// updates for the other hosts. It skips prefixes that it recorded within the last
// reannounceInterval. The caller holds f.mu.
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

// boundUpdates drops all pending updates if there are too many, as when none can be sent.
// The caller holds f.mu.
func (f *Fleet) boundUpdates() {
	if f.updateCount > maxPendingUpdates {
		clear(f.updates)
		f.updateCount = 0
	}
}

// updateFor returns the pending update of an instance. The caller holds f.mu.
func (f *Fleet) updateFor(id string) *CacheUpdate {
	u := f.updates[id]
	if u == nil {
		u = &CacheUpdate{Instance: id}
		f.updates[id] = u
	}
	return u
}

// addCached records that a prompt with the prefix was sent to the engine.
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

// setPrefilled records that the engine has finished the prefill of a tracked prefix.
func (in *instance) setPrefilled(key uint64) {
	entry := in.cached[key]
	entry.prefilled = true
	in.cached[key] = entry
}

// markPrefilled records that an engine has finished the prefill of a prompt's shared
// prefixes, and queues updates for the other hosts. The caller holds f.mu.
func (f *Fleet) markPrefilled(in *instance, keys []uint64) {
	for _, key := range keys {
		if entry, ok := in.cached[key]; ok && !entry.prefilled {
			in.setPrefilled(key)
			f.updateFor(in.ID).Prefilled = append(f.updateFor(in.ID).Prefilled, key)
			f.updateCount++
		}
	}
}

// dropUnfinished removes prefixes first sent with a prompt whose prefill did not finish.
func (in *instance) dropUnfinished(keys []uint64, sentAt time.Time) {
	for _, key := range keys {
		if entry := in.cached[key]; !entry.prefilled && entry.addedAt.Equal(sentAt) {
			delete(in.cached, key)
		}
	}
}

// TakeUpdates returns and clears the pending updates for the other hosts.
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

// RequeueUpdates puts back updates that could not be sent.
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

// ApplyUpdates applies the updates of other hosts.
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
			if u.PrefillRate > 0 && u.PrefillRate <= maxRateFactor*f.settings.PrefillRate {
				f.addRate(in, u.PrefillRate)
				in.prefillRates.addedAt = now
			}
		}
	}
}
