package prefix

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
)

// Slot is the index that an engine instance has in dense slices. It stays the same
// until Forget and may be reused afterwards.
type Slot uint32

// Config limits the size of the index and sets how fast unconfirmed entries lose weight.
type Config struct {
	MaxPerEngine    int               `toml:"max_prefixes_per_engine"`  // entries for one engine
	HalfLife        tomltime.Duration `toml:"unconfirmed_half_life"`    // time in which Confidence halves while events of the engine are missing
	ExpectationLife tomltime.Duration `toml:"expected_prefix_lifetime"` // how long the prefixes of a request sent from here count without an event
}

// DefaultConfig returns the settings used when the settings file sets none.
func DefaultConfig() Config {
	return Config{MaxPerEngine: 4096, HalfLife: tomltime.Of(5 * time.Second), ExpectationLife: tomltime.Of(10 * time.Second)}
}

const shardCount = 64

// forever is the expiry of an entry that an event has confirmed.
const forever = time.Duration(math.MaxInt64)

// holder is an engine that has a prefix cached.
type holder struct {
	slot  Slot
	until time.Duration // expiry; forever if confirmed
}

type shard struct {
	mu      sync.RWMutex
	holders map[uint64][]holder // by prefix hash; guarded by mu
}

// engine is the state of one engine in the index.
//
// Lock order: Index.mu, then engine.mu, then shard.mu.
type engine struct {
	slot        Slot
	mu          sync.Mutex
	incarnation uint64
	next        uint64                   // last sequence applied; the next page is requested after it
	newest      uint64                   // newest sequence that the engine has reported
	gapped      bool                     // events were lost and no snapshot or full history has arrived since
	syncedAt    time.Duration            // last time at which no reported event was missing
	prefixes    map[uint64]time.Duration // expiry by hash; contains h exactly if shard(h) lists slot
}

// Index records which engines have which prefixes cached. It is safe for concurrent use.
type Index struct {
	cfg    Config
	shards [shardCount]shard

	mu      sync.RWMutex
	engines map[string]*engine // guarded by mu
	slots   []*engine          // by Slot, nil when free; guarded by mu

	table atomic.Pointer[[]*engine] // copy of slots for lock-free reads
}

// NewIndex returns an empty index.
func NewIndex(cfg Config) *Index {
	ix := &Index{cfg: cfg, engines: make(map[string]*engine)}
	ix.publish()
	for i := range ix.shards {
		ix.shards[i].holders = make(map[uint64][]holder)
	}
	return ix
}

// Slot returns the slot of an instance and assigns one if it has none.
func (ix *Index) Slot(instance string) Slot {
	return ix.engine(instance).slot
}

// Slots returns the size of the slot table; every Slot is below it.
func (ix *Index) Slots() int {
	return len(*ix.table.Load())
}

func (ix *Index) engine(instance string) *engine {
	ix.mu.RLock()
	e := ix.engines[instance]
	ix.mu.RUnlock()
	if e != nil {
		return e
	}
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if e := ix.engines[instance]; e != nil {
		return e
	}
	e = &engine{prefixes: make(map[uint64]time.Duration)}
	e.slot = ix.freeSlot()
	ix.slots[e.slot] = e
	ix.engines[instance] = e
	ix.publish()
	return e
}

// freeSlot returns an unused slot. The caller holds ix.mu.
func (ix *Index) freeSlot() Slot {
	for i, e := range ix.slots {
		if e == nil {
			return Slot(i)
		}
	}
	ix.slots = append(ix.slots, nil)
	return Slot(len(ix.slots) - 1)
}

// Forget removes an instance that has left and frees its slot.
func (ix *Index) Forget(instance string) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	e := ix.engines[instance]
	if e == nil {
		return
	}
	e.mu.Lock()
	ix.clear(e)
	e.mu.Unlock()
	delete(ix.engines, instance)
	ix.slots[e.slot] = nil
	ix.publish()
}

// publish stores a copy of the slots for lock-free readers. The caller holds ix.mu or
// is the only user of the index.
func (ix *Index) publish() {
	table := slices.Clone(ix.slots)
	ix.table.Store(&table)
}

// Next returns the newest known incarnation and the sequence after which the next page
// is to be requested.
func (ix *Index) Next(instance string) (incarnation, after uint64) {
	e := ix.engine(instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation, e.next
}

// NeedsPage reports whether the engine has reported events that the index lacks.
func (ix *Index) NeedsPage(instance string) bool {
	e := ix.engine(instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gapped || e.newest > e.next
}

// Observe records the newest event sequence from a load report. If the index lacks
// events up to it, Confidence in the engine decays until a page brings them.
func (ix *Index) Observe(now time.Duration, instance string, incarnation, newest uint64) {
	e := ix.engine(instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	ix.startIncarnation(now, e, incarnation)
	e.newest = newest
	if newest < e.next && e.next-newest > maxLead {
		e.markGap()
	}
	if !e.gapped && e.newest <= e.next {
		e.syncedAt = now
	}
}

// startIncarnation resets an engine that has restarted. The caller holds e.mu.
func (ix *Index) startIncarnation(now time.Duration, e *engine, incarnation uint64) {
	if incarnation == e.incarnation {
		return
	}
	ix.clear(e)
	e.incarnation = incarnation
	e.next = 0
	e.newest = 0
	e.gapped = false
	e.syncedAt = now
}

// maxLead is how many events a page may be ahead of the engine's load report, which is some
// hundred ms old. A position beyond it is not the engine's.
const maxLead = 1 << 20

// Page is a page of cache events of one instance.
type Page struct {
	Instance string
	After    uint64 // sequence after which the page was requested
	engineapi.CacheEventPage
}

// Apply applies a page of events and reports whether events were lost. If so, the next
// page must be requested after sequence 0, which Next then returns. Pages of an earlier
// incarnation and pages that were already applied have no effect.
func (ix *Index) Apply(now time.Duration, page Page) (gap bool) {
	e := ix.engine(page.Instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	if page.Incarnation < e.incarnation {
		return e.gapped
	}
	ix.startIncarnation(now, e, page.Incarnation)
	whole := page.After == 0 || !page.Complete
	if !e.gapped && page.Next <= e.next {
		return false
	}
	if !whole && (e.gapped || page.After > e.next) {
		e.markGap()
		return true
	}
	if whole {
		ix.clear(e)
		e.gapped = false
		e.next = 0
	}
	ix.applyPage(e, page.CacheEventPage)
	if !e.gapped {
		e.syncedAt = now
	}
	return e.gapped
}

// applyPage applies a page that continues the events applied so far, or replaces them
// after a reset. The caller holds e.mu.
func (ix *Index) applyPage(e *engine, page engineapi.CacheEventPage) {
	for _, event := range page.Snapshot {
		ix.store(e, event.Prefix, forever)
	}
	last := e.next
	for _, event := range page.Events {
		if event.Sequence <= last && page.Complete {
			continue
		}
		if event.Sequence != last+1 && page.Complete {
			e.markGap()
			return
		}
		last = event.Sequence
		ix.applyEvent(e, event)
	}
	e.next = last
	if !page.Complete {
		e.next = max(last, page.Next) // what the snapshot includes
	}
	e.newest = max(e.newest, e.next)
}

// markGap records that events were lost. The caller holds e.mu.
func (e *engine) markGap() {
	e.gapped = true
	e.next = 0
}

// applyEvent applies one event. The caller holds e.mu.
func (ix *Index) applyEvent(e *engine, event engineapi.CacheEvent) {
	switch event.Kind {
	case engineapi.CacheStored:
		ix.store(e, event.Prefix, forever)
	case engineapi.CacheRemoved:
		ix.remove(e, event.Prefix)
	case engineapi.CacheCleared:
		ix.clear(e)
	}
}

// Expect records that a request sent from this host will leave its prefixes cached at
// an engine. They count for ExpectationLife unless an event confirms them.
func (ix *Index) Expect(now time.Duration, instance string, prefixes []uint64) {
	e := ix.engine(instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range prefixes {
		if until, cached := e.prefixes[h]; cached && until == forever {
			continue
		}
		ix.store(e, h, now+ix.cfg.ExpectationLife.Duration)
	}
}

// store adds a prefix of an engine or updates its expiry. It ignores new prefixes beyond
// MaxPerEngine. The caller holds e.mu.
func (ix *Index) store(e *engine, h uint64, until time.Duration) {
	_, cached := e.prefixes[h]
	if !cached && len(e.prefixes) >= ix.cfg.MaxPerEngine {
		return
	}
	e.prefixes[h] = until
	s := &ix.shards[h%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.holders[h]
	for i := range list {
		if list[i].slot == e.slot {
			list[i].until = until
			return
		}
	}
	s.holders[h] = append(list, holder{slot: e.slot, until: until})
}

// remove removes one prefix of an engine. The caller holds e.mu.
func (ix *Index) remove(e *engine, h uint64) {
	if _, cached := e.prefixes[h]; !cached {
		return
	}
	delete(e.prefixes, h)
	s := &ix.shards[h%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.holders[h]
	for i := range list {
		if list[i].slot != e.slot {
			continue
		}
		list[i] = list[len(list)-1]
		s.holders[h] = list[:len(list)-1]
		break
	}
	if len(s.holders[h]) == 0 {
		delete(s.holders, h)
	}
}

// clear removes all prefixes of an engine. The caller holds e.mu.
func (ix *Index) clear(e *engine) {
	for h := range e.prefixes {
		ix.remove(e, h)
	}
}
