package instances

import (
	"sync"
	"time"
)

// Snapshot is the merged, immutable list of instances.
type Snapshot struct {
	Number     uint64                // increases with each change
	At         time.Time             // time of the change
	ByEndpoint map[string][]Instance // instances that may receive requests, sorted by id
}

// source is the list of instances received from one control host.
type source struct {
	epoch         string // differs in each control process
	position      uint64
	changes       map[string]Change // by id
	connected     bool
	lostAt        time.Time         // when the connection was lost
	expired       bool              // disconnected for longer than the grace period
	previous      map[string]Change // list of the previous epoch; nil after its grace period
	previousUntil time.Time         // end of previous's grace period
}

// View merges the lists of all control hosts at one entry host.
//
// An instance may receive requests while a connected control host receives its
// heartbeats and none has reported that it leaves. The list of a disconnected control
// host stays valid for a grace period, and indefinitely while no control host is connected.
//
// A change is merged by itself; everything is merged again only when a list becomes valid
// or invalid. Readers that wait for changes should pause between two snapshots, as each
// one copies the lists that have changed since.
type View struct {
	grace time.Duration // how long the list of a disconnected or restarted control host stays valid

	mu       sync.Mutex
	sources  map[string]*source   // by control host's address
	leaving  map[string]int64     // id to the newest start that is leaving or has left
	heardAt  map[string]time.Time // when any control host last listed a change, by id
	prunedAt time.Time
	merged   merged
	snapshot *Snapshot
	stale    bool          // merged has changed since the snapshot
	changed  chan struct{} // holds one value when the snapshot is new
}

// NewView returns an empty View of instances that send a heartbeat each interval.
func NewView(interval time.Duration) *View {
	return &View{
		grace:    silentAfterIntervals * interval,
		sources:  map[string]*source{},
		leaving:  map[string]int64{},
		heardAt:  map[string]time.Time{},
		merged:   newMerged(),
		snapshot: &Snapshot{ByEndpoint: map[string][]Instance{}},
		changed:  make(chan struct{}, 1),
	}
}

// Snapshot returns the newest merged list.
func (v *View) Snapshot() *Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stale {
		v.stale = false
		v.snapshot = &Snapshot{Number: v.snapshot.Number + 1, At: v.merged.changedAt, ByEndpoint: v.merged.share()}
	}
	return v.snapshot
}

// Changed returns a channel that holds a value when there is a new snapshot.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Position returns the epoch and the position reached in a control host's list.
func (v *View) Position(address string) (epoch string, position uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.sources[address]; ok {
		return s.epoch, s.position
	}
	return "", 0
}

// Update applies changes that a control host listed. A new epoch, that of a restarted
// control process, begins a new list; the previous one stays valid for the grace period.
func (v *View) Update(address, epoch string, position uint64, changes []Change, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.sources[address]
	if !ok {
		s = &source{changes: map[string]Change{}}
		v.sources[address] = s
	}
	if !s.connected {
		s.connected, s.expired = true, false
		defer v.mergeAll(now)
	}
	if s.epoch != epoch {
		dropped := s.previous
		s.previous, s.previousUntil = s.changes, now.Add(v.grace)
		s.epoch, s.changes = epoch, map[string]Change{}
		v.mergeEach(dropped, now)
	}
	s.position = position
	for _, c := range changes {
		s.changes[c.ID] = c
		v.heardAt[c.ID] = now
		if c.State != Ready {
			v.leaving[c.ID] = max(v.leaving[c.ID], v.startOf(c))
		}
		v.merge(c.ID, now)
	}
	v.expire(now)
}

// startOf returns the start of a leaving instance. A control host that never received
// its heartbeats may not know it; the newest start known to any control host is taken
// then. The caller holds v.mu.
func (v *View) startOf(c Change) int64 {
	born := c.Born
	if born != 0 {
		return born
	}
	for _, s := range v.sources {
		born = max(born, s.changes[c.ID].Born)
	}
	return born
}

// Disconnected records that a control host is no longer reachable.
func (v *View) Disconnected(address string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.sources[address]
	if !ok || !s.connected {
		return
	}
	s.connected, s.lostAt = false, now
	if !v.anyConnected() {
		v.mergeAll(now) // lists that had expired are valid again
	}
	v.expire(now)
}

// Tick updates the merged list for grace periods that have ended.
func (v *View) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(now)
}

// Control hosts do not list what they forget, so a View forgets by itself: after
// forgetAfter, in which each of them has forgotten it too, or at once beyond maxForgettable.
const (
	forgetAfter    = 2 * goneRetention
	pruneInterval  = goneRetention / 10
	maxForgettable = 4 * MaxEntries
)

// prune forgets what no list names as ready. The caller holds v.mu.
func (v *View) prune(now time.Time) {
	wait, age := pruneInterval, forgetAfter
	if len(v.heardAt) > maxForgettable {
		wait, age = v.grace, v.grace
	}
	if now.Sub(v.prunedAt) < wait {
		return
	}
	v.prunedAt = now
	for id, at := range v.heardAt {
		if now.Sub(at) <= age || v.namedReady(id) {
			continue
		}
		for _, s := range v.sources {
			delete(s.changes, id)
			delete(s.previous, id)
		}
		delete(v.leaving, id)
		delete(v.heardAt, id)
	}
}

// namedReady reports whether any list, valid or not, names an instance as ready. The caller
// holds v.mu.
func (v *View) namedReady(id string) bool {
	for _, s := range v.sources {
		for _, list := range []map[string]Change{s.changes, s.previous} {
			if c, ok := list[id]; ok && !c.Silent && c.State == Ready {
				return true
			}
		}
	}
	return false
}

// expire merges again what grace periods that have ended leave invalid. The caller holds
// v.mu.
func (v *View) expire(now time.Time) {
	for _, s := range v.sources {
		if s.previous != nil && now.After(s.previousUntil) {
			dropped := s.previous
			s.previous = nil
			v.mergeEach(dropped, now)
		}
		if !s.connected && !s.expired && now.Sub(s.lostAt) >= v.grace {
			s.expired = true
			v.mergeEach(s.changes, now)
		}
	}
	v.prune(now)
}

// mergeAll merges every instance of any list. The caller holds v.mu.
func (v *View) mergeAll(now time.Time) {
	for _, s := range v.sources {
		v.mergeEach(s.changes, now)
		v.mergeEach(s.previous, now)
	}
}

// mergeEach merges the instances of a list. The caller holds v.mu.
func (v *View) mergeEach(list map[string]Change, now time.Time) {
	for id := range list {
		v.merge(id, now)
	}
}

// merge finds the newest valid report of an instance. The caller holds v.mu.
func (v *View) merge(id string, now time.Time) {
	var best *Instance
	anyConnected := v.anyConnected()
	consider := func(list map[string]Change) {
		c, ok := list[id]
		left, leaves := v.leaving[id]
		if !ok || c.Silent || c.State != Ready || leaves && left >= c.Born {
			return
		}
		if best == nil || c.supersedes(best) {
			best = &c.Instance
		}
	}
	for _, s := range v.sources {
		if s.connected || !s.expired || !anyConnected {
			consider(s.changes)
		}
		consider(s.previous)
	}
	if !v.merged.set(id, best, now) {
		return
	}
	v.stale = true
	select {
	case v.changed <- struct{}{}:
	default: // the previous value was not received yet
	}
}

func (v *View) anyConnected() bool {
	for _, s := range v.sources {
		if s.connected {
			return true
		}
	}
	return false
}
