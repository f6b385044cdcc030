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

// Slot is the dense number that the index gives to an engine instance. It
// stays the same until Forget and is reused afterwards.
type Slot uint32

// Config bounds the index and sets how fast unconfirmed knowledge decays.
type Config struct {
	MaxPerEngine    int               `toml:"max_prefixes_per_engine"`  // prefixes kept for one engine
	HalfLife        tomltime.Duration `toml:"unconfirmed_half_life"`    // of confidence in an engine that is behind or has a gap
	ExpectationLife tomltime.Duration `toml:"expected_prefix_lifetime"` // how long a prefix of an own request counts before its event arrives
}

// DefaultConfig returns the settings used when a file names none.
func DefaultConfig() Config {
	return Config{MaxPerEngine: 4096, HalfLife: tomltime.Of(5 * time.Second), ExpectationLife: tomltime.Of(10 * time.Second)}
}

const shardCount = 64

// forever marks a holder that an event has confirmed.
const forever = time.Duration(math.MaxInt64)

type holder struct {
	slot  Slot
	until time.Duration // an unconfirmed holder counts until then
}

type shard struct {
	mu      sync.RWMutex
	holders map[uint64][]holder // by prefix hash; guarded by mu
}

// engine is what the index knows about one engine.
//
// Lock order: Index.mu, then engine.mu, then shard.mu.
type engine struct {
	slot        Slot
	mu          sync.Mutex
	incarnation uint64
	next        uint64                   // sequence to ask for next
	newest      uint64                   // newest sequence that the engine has reported
	gapped      bool                     // events were lost and no snapshot has come since
	syncedAt    time.Duration            // last time that the index held every known event
	prefixes    map[uint64]time.Duration // invariant: holds h exactly when shard(h) lists slot
}

// Index knows which engines hold which prefixes. All methods may be called by
// many goroutines at once.
type Index struct {
	cfg    Config
	shards [shardCount]shard

	mu      sync.RWMutex
	engines map[string]*engine // guarded by mu
	slots   []*engine          // by Slot, nil when free; guarded by mu

	table atomic.Pointer[[]*engine] // copy of slots for readers without a lock
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

// Slot returns the slot of an instance and assigns one when it has none.
func (ix *Index) Slot(instance string) Slot {
	return ix.engine(instance).slot
}

// Slots returns the number of slots ever assigned; every Slot is below it.
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

// Forget drops everything known about an instance that has left.
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

// publish shows a copy of the slots to readers. The caller holds ix.mu or owns
// the index alone.
func (ix *Index) publish() {
	table := slices.Clone(ix.slots)
	ix.table.Store(&table)
}

// Next returns the incarnation last heard of and the sequence to ask for next.
func (ix *Index) Next(instance string) (incarnation, after uint64) {
	e := ix.engine(instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation, e.next
}

// NeedsPage reports whether the engine has told of events that the index lacks.
func (ix *Index) NeedsPage(instance string) bool {
	e := ix.engine(instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gapped || e.newest > e.next
}

// Observe notes the newest event sequence of a load report. Confidence in the
// engine's prefixes decays from now until a page brings those events.
func (ix *Index) Observe(now time.Duration, instance string, incarnation, newest uint64) {
	e := ix.engine(instance)
	e.mu.Lock()
	defer e.mu.Unlock()
	ix.startIncarnation(now, e, incarnation)
	e.newest = max(e.newest, newest)
	if !e.gapped && e.newest <= e.next {
		e.syncedAt = now
	}
}

// startIncarnation clears an engine that has restarted. The caller holds e.mu.
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

// Page is the part of an event page that Apply needs, and its origin.
type Page struct {
	Instance string
	After    uint64 // sequence that the page was asked for
	engineapi.CacheEventPage
}

// Apply takes in a page of events. It reports whether events are missing; the
// next page must then be asked for from sequence 0, which Next returns. Pages
// of an earlier incarnation and pages already taken in have no effect.
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

// applyPage takes in a page that continues what the index holds. The caller
// holds e.mu.
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
	e.next = max(e.next, page.Next)
	e.newest = max(e.newest, e.next)
}

// markGap notes that events were lost. The caller holds e.mu.
func (e *engine) markGap() {
	e.gapped = true
	e.next = 0
}

// applyEvent takes in one event. The caller holds e.mu.
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

// Expect notes that an own request will leave its prefixes at an engine. They
// count for ExpectationLife unless an event confirms them.
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

// store adds a prefix to an engine that holds fewer than MaxPerEngine. The caller holds e.mu.
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

// remove drops one prefix of an engine. The caller holds e.mu.
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

// clear drops all prefixes of an engine. The caller holds e.mu.
func (ix *Index) clear(e *engine) {
	for h := range e.prefixes {
		ix.remove(e, h)
	}
}
