package enginemodel

import (
	"container/list"
	"time"

	"filberthook/internal/engines/engineapi"
)

// cacheKey identifies one prefix block.
type cacheKey struct {
	model string
	hash  uint64
}

// cacheEntry is one prefix block in memory. It is in the LRU list exactly when
// no request pins it.
type cacheEntry struct {
	key  cacheKey
	pins int
	lru  *list.Element
}

// memory counts the KV blocks of one engine. Invariant: private blocks plus cache
// entries never exceed totalBlocks.
type memory struct {
	totalBlocks   int
	privateBlocks int
	pinned        int // entries with at least one pin
	entries       map[cacheKey]*cacheEntry
	lru           *list.List // unpinned entries, least recently used first
	log           eventLog
}

func newMemory(cfg Config) *memory {
	return &memory{
		totalBlocks: cfg.KVBlocks,
		entries:     make(map[cacheKey]*cacheEntry),
		lru:         list.New(),
		log:         eventLog{lag: cfg.CacheEventLag, lossEvery: cfg.CacheEventLossEvery},
	}
}

// used returns the number of blocks in use by running requests.
func (m *memory) used() int { return m.privateBlocks + m.pinned }

// available returns the number of blocks that can be allocated, including those
// that evicting unpinned entries would free.
func (m *memory) available() int { return m.totalBlocks - m.used() }

// allocate reserves n private blocks, evicting unpinned entries as needed. It
// returns false and reserves nothing when too few are available.
func (m *memory) allocate(now time.Duration, n int) bool {
	if n > m.available() {
		return false
	}
	for m.totalBlocks-m.privateBlocks-len(m.entries) < n {
		m.evictOldest(now)
	}
	m.privateBlocks += n
	return true
}

func (m *memory) release(n int) { m.privateBlocks -= n }

func (m *memory) evictOldest(now time.Duration) {
	e := m.lru.Remove(m.lru.Front()).(*cacheEntry)
	delete(m.entries, e.key)
	m.log.add(now, engineapi.CacheRemoved, e.key)
}

// match returns how many leading blocks of the prompt are in the cache.
func (m *memory) match(model string, prefixes []uint64) int {
	for i, h := range prefixes {
		if _, ok := m.entries[cacheKey{model, h}]; !ok {
			return i
		}
	}
	return len(prefixes)
}

// pin marks an entry as used by one more request.
func (m *memory) pin(k cacheKey) {
	e := m.entries[k]
	if e.pins == 0 {
		m.lru.Remove(e.lru)
		e.lru = nil
		m.pinned++
	}
	e.pins++
}

func (m *memory) unpin(k cacheKey) {
	e, ok := m.entries[k]
	if !ok {
		return
	}
	e.pins--
	if e.pins == 0 {
		e.lru = m.lru.PushBack(e)
		m.pinned--
	}
}

// store turns one private block of a request into a pinned cache entry. When
// the prefix is already stored, the private block is freed instead.
func (m *memory) store(now time.Duration, k cacheKey) {
	m.privateBlocks--
	if _, ok := m.entries[k]; ok {
		m.pin(k)
		return
	}
	m.entries[k] = &cacheEntry{key: k, pins: 1}
	m.pinned++
	m.log.add(now, engineapi.CacheStored, k)
}

// clear drops all entries. None may be pinned.
func (m *memory) clear(now time.Duration) {
	m.entries = make(map[cacheKey]*cacheEntry)
	m.lru.Init()
	m.log.add(now, engineapi.CacheCleared, cacheKey{})
}

// dropModel drops the unpinned entries of one model.
func (m *memory) dropModel(now time.Duration, model string) {
	for el := m.lru.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*cacheEntry)
		if e.key.model == model {
			m.lru.Remove(el)
			delete(m.entries, e.key)
			m.log.add(now, engineapi.CacheRemoved, e.key)
		}
		el = next
	}
}
