package instances

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Snapshot is the merged, immutable list of instances.
type Snapshot struct {
	Number     uint64                // increases with each change
	At         time.Time             // time of its creation
	ByEndpoint map[string][]Instance // instances that may receive requests, sorted by id
}

// source is the list of instances received from one control host.
type source struct {
	epoch         string // differs in each control process
	position      uint64
	changes       map[string]Change // by id
	connected     bool
	lostAt        time.Time         // when the connection was lost
	previous      map[string]Change // list of the previous epoch
	previousUntil time.Time         // end of previous's grace period
}

// View merges the lists of all control hosts at one entry host.
//
// An instance may receive requests while a connected control host receives its
// heartbeats and none has reported that it leaves. The list of a disconnected control
// host stays valid for a grace period, and indefinitely while no control host is connected.
type View struct {
	grace time.Duration // how long the list of a disconnected or restarted control host stays valid

	mu       sync.Mutex
	sources  map[string]*source // by control host's address
	leaving  map[string]int64   // id to the newest start that is leaving or has left
	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{} // holds one value when the snapshot is new
}

// NewView returns an empty View of instances that send a heartbeat each interval.
func NewView(interval time.Duration) *View {
	v := &View{
		grace:   silentAfterIntervals * interval,
		sources: map[string]*source{},
		leaving: map[string]int64{},
		changed: make(chan struct{}, 1),
	}
	v.snapshot.Store(&Snapshot{ByEndpoint: map[string][]Instance{}})
	return v
}

// Snapshot returns the newest merged list.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

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
	reconnected := !s.connected
	s.connected = true
	if s.epoch != epoch {
		s.previous, s.previousUntil = s.changes, now.Add(v.grace)
		s.epoch, s.changes = epoch, map[string]Change{}
	}
	s.position = position
	for _, c := range changes {
		s.changes[c.ID] = c
		if c.State != Ready {
			v.leaving[c.ID] = max(v.leaving[c.ID], v.startOf(c))
		}
	}
	if reconnected || len(changes) > 0 || s.previous != nil {
		v.merge(now)
	}
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
	if s, ok := v.sources[address]; ok && s.connected {
		s.connected, s.lostAt = false, now
		v.merge(now)
	}
}

// Tick updates the snapshot for grace periods that have ended.
func (v *View) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(now)
}

// merge stores a new snapshot if the merged list differs from the last one. The
// caller holds v.mu.
func (v *View) merge(now time.Time) {
	best := map[string]Instance{}
	for _, s := range v.sources {
		if s.previous != nil && now.After(s.previousUntil) {
			s.previous = nil
		}
	}
	anyConnected := v.anyConnected()
	for _, s := range v.sources {
		if s.connected || !anyConnected || now.Sub(s.lostAt) < v.grace {
			v.collect(best, s.changes)
		}
		v.collect(best, s.previous)
	}
	dropReplaced(best)
	byEndpoint := map[string][]Instance{}
	for _, in := range best {
		byEndpoint[in.Endpoint] = append(byEndpoint[in.Endpoint], in)
	}
	for _, list := range byEndpoint {
		slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	}
	last := v.snapshot.Load()
	if sameLists(last.ByEndpoint, byEndpoint) {
		return
	}
	v.snapshot.Store(&Snapshot{Number: last.Number + 1, At: now, ByEndpoint: byEndpoint})
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

// collect adds the usable instances of one list to best, which keeps the newest report
// of each.
func (v *View) collect(best map[string]Instance, changes map[string]Change) {
	for id, c := range changes {
		left, leaves := v.leaving[id]
		if c.Silent || c.State != Ready || leaves && left >= c.Born {
			continue
		}
		if known, ok := best[id]; !ok || c.supersedes(&known) {
			best[id] = c.Instance
		}
	}
}

// dropReplaced removes instances whose address is used by one with a later start.
func dropReplaced(best map[string]Instance) {
	newest := map[string]Instance{} // by address
	for _, in := range best {
		if known, ok := newest[in.Address]; !ok || in.Born > known.Born {
			newest[in.Address] = in
		}
	}
	for id, in := range best {
		if newest[in.Address].ID != id {
			delete(best, id)
		}
	}
}

func sameLists(a, b map[string][]Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for name, list := range a {
		other := b[name]
		if len(list) != len(other) {
			return false
		}
		for i := range list {
			if list[i].ID != other[i].ID || !list[i].sameAs(&other[i]) {
				return false
			}
		}
	}
	return true
}
