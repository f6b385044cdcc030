package instances

import (
	"sync"
	"time"
)

// entry is the record of one instance in a Registry.
type entry struct {
	Change
	position      uint64    // of its last change
	lastHeartbeat time.Time // time of the last heartbeat or of the deregistration
}

// Registry records the instances that send their heartbeats to this control host.
// Positions number its changes; readers ask for the changes after a position.
type Registry struct {
	interval time.Duration // interval of heartbeats

	mu       sync.Mutex
	position uint64
	entries  map[string]*entry // by id
	changed  chan struct{}     // closed at the next change
}

// NewRegistry returns an empty Registry for instances that send a heartbeat each
// interval.
func NewRegistry(interval time.Duration) *Registry {
	return &Registry{interval: interval, entries: map[string]*entry{}, changed: make(chan struct{})}
}

// Observe records a heartbeat. It returns the newest position, which includes the
// heartbeat, and whether anything changed. A heartbeat changes nothing if a newer one of
// the instance is recorded, if an instance that started later has its address, or if it
// reports a leaving instance as ready again.
func (r *Registry) Observe(in Instance, now time.Time) (position uint64, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[in.ID]
	if known && !in.supersedes(&e.Instance) || r.replacedAt(in) {
		return r.position, false
	}
	if known && e.Born == in.Born && e.State != Ready && in.State == Ready {
		return r.position, false // a leaving instance does not become ready again
	}
	if !known {
		e = &entry{}
		r.entries[in.ID] = e
	}
	changed = !known || e.Silent || !e.sameAs(&in)
	e.Instance, e.Silent, e.lastHeartbeat = in, false, now
	if changed {
		r.markChanged(e)
	}
	return r.position, changed
}

// replacedAt reports whether an instance with a later start has the address of in.
func (r *Registry) replacedAt(in Instance) bool {
	for _, e := range r.entries {
		if e.Address == in.Address && e.ID != in.ID && e.Born > in.Born {
			return true
		}
	}
	return false
}

// Leave marks an instance as gone. It records an unknown instance as well, so that a
// late heartbeat of that start does not register it. A born of 0 means the known start.
func (r *Registry) Leave(id string, born int64, now time.Time) (position uint64, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[id]
	if known && (e.State == Gone && born <= e.Born || born != 0 && born < e.Born) {
		return r.position, false // already deregistered, or an older start
	}
	if !known {
		e = &entry{Change: Change{Instance: Instance{ID: id, Born: born}}}
		r.entries[id] = e
	}
	if born > e.Born {
		e.Born = born
	}
	e.State, e.Silent, e.lastHeartbeat = Gone, false, now
	r.markChanged(e)
	return r.position, true
}

// Expire marks instances without a recent heartbeat as silent and deletes entries
// after goneRetention. It returns the ids that became silent.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []string
	for id, e := range r.entries {
		sinceHeartbeat := now.Sub(e.lastHeartbeat)
		if sinceHeartbeat > goneRetention {
			delete(r.entries, id)
		} else if !e.Silent && e.State != Gone && sinceHeartbeat > silentAfterIntervals*r.interval {
			e.Silent = true
			silent = append(silent, id)
			r.markChanged(e)
		}
	}
	return silent
}

// markChanged assigns the next position to an entry and wakes the readers. The caller
// holds r.mu.
func (r *Registry) markChanged(e *entry) {
	r.position++
	e.position = r.position
	close(r.changed)
	r.changed = make(chan struct{})
}

// Since returns the changes after a position, the position reached, and a channel
// that is closed at the next change.
func (r *Registry) Since(position uint64) ([]Change, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Change
	for _, e := range r.entries {
		if e.position > position {
			out = append(out, e.Change)
		}
	}
	return out, r.position, r.changed
}
