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
	At         time.Time             // when it was made
	ByEndpoint map[string][]Instance // those that may get requests, by id
}

// source is what one control host has said.
type source struct {
	epoch         string // of the control process
	position      uint64
	changes       map[string]Change // by id
	connected     bool
	lostAt        time.Time         // when the connection was lost
	previous      map[string]Change // of the epoch before
	previousUntil time.Time
}

// View merges the lists of all control hosts at one entry host.
//
// An instance may get requests while a control host that is connected hears it and
// none has said that it leaves. What a lost control host said counts for a while
// longer, and without end when no control host is connected.
type View struct {
	grace time.Duration // for what a lost or restarted control host said

	mu       sync.Mutex
	sources  map[string]*source // by control host's address
	leaving  map[string]int64   // id to the start that leaves or left
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

// Position returns the epoch and position up to which a control host was read.
func (v *View) Position(address string) (epoch string, position uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.sources[address]; ok {
		return s.epoch, s.position
	}
	return "", 0
}

// Update takes what a control host listed. A new epoch replaces all that the
// process before it had listed, which counts for a while longer.
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

// startOf returns the start that a leaving instance means: a control host that
// never heard its heartbeats may not know it, then it is the newest known one. The
// caller holds v.mu.
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

// Disconnected tells that a control host is not reached any more.
func (v *View) Disconnected(address string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.sources[address]; ok && s.connected {
		s.connected, s.lostAt = false, now
		v.merge(now)
	}
}

// Tick lets what lost control hosts said run out.
func (v *View) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(now)
}

// merge makes a new snapshot if it differs from the last. The caller holds v.mu.
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
	default: // the last one was not taken yet
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

// collect adds the usable instances of one list, the newest word on each.
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

// dropReplaced removes instances whose address a later start has taken.
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
