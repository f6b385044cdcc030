package instances

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// MaxEntries bounds the instances that a Registry records: several times those of a large
// deployment.
const MaxEntries = 8192

// FullError reports that a Registry has no room for another instance.
type FullError struct{ Entries int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("this control host lists %d live instances and takes no more: stop what announces so many", e.Entries)
}

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

	mu        sync.Mutex
	position  uint64
	entries   map[string]*entry   // by id
	byAddress map[string][]*entry // entries with a known address
	rivals    map[string]rival    // by id
	full      bool                // all entries were live when room was last looked for; until the next check for silent ones
	log       []logged            // changes in order of their positions
	changed   chan struct{}       // closed at the next change
}

// logged is a change in a Registry's log. It is superseded once its entry has changed
// again.
type logged struct {
	position uint64
	entry    *entry
}

func (l *logged) superseded() bool { return l.entry.position != l.position }

// NewRegistry returns an empty Registry for instances that send a heartbeat each
// interval.
func NewRegistry(interval time.Duration) *Registry {
	return &Registry{interval: interval, entries: map[string]*entry{}, byAddress: map[string][]*entry{}, rivals: map[string]rival{}, changed: make(chan struct{})}
}

// Observe records a heartbeat. It returns the newest position, which includes the
// heartbeat, and whether anything changed. A heartbeat changes nothing if a newer one of
// the instance is recorded, if its start was at another address, or if an instance that
// started later has its address, unless it outlives those, or if it reports a leaving instance
// as ready again.
func (r *Registry) Observe(in Instance, now time.Time) (position uint64, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[in.ID]
	if r.keptOut(in) && !r.outlives(in, now) {
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
	if e.Address != in.Address {
		r.removeAddress(e)
		r.byAddress[in.Address] = append(r.byAddress[in.Address], e)
	}
	e.Instance, e.Silent, e.lastHeartbeat = in, false, now
	if changed {
		r.markChanged(e)
	}
	return r.position, changed
}

// replacements returns the other instances with a later start that have the address of in. The
// caller holds r.mu.
func (r *Registry) replacements(in Instance) []*entry {
	var out []*entry
	for _, e := range r.byAddress[in.Address] {
		if e.ID != in.ID && e.Born > in.Born {
			out = append(out, e)
		}
	}
	return out
}

// removeAddress removes an entry from the index by address. The caller holds r.mu.
func (r *Registry) removeAddress(e *entry) {
	left := slices.DeleteFunc(r.byAddress[e.Address], func(other *entry) bool { return other == e })
	if len(left) == 0 {
		delete(r.byAddress, e.Address)
		return
	}
	r.byAddress[e.Address] = left
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

// roomShare is the share of the entries that MakeRoom drops at once, so that a flood of new
// ones does not look at all entries for each.
const roomShare = 8

// MakeRoom drops the entries that have gone or been silent for longest if another instance
// needs a place. It returns a *FullError if there are none.
func (r *Registry) MakeRoom(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.entries[id]; known || len(r.entries) < MaxEntries {
		return nil
	}
	if r.full {
		return &FullError{len(r.entries)}
	}
	var ended []*entry
	for _, e := range r.entries {
		if e.Silent || e.State == Gone {
			ended = append(ended, e)
		}
	}
	if len(ended) == 0 {
		r.full = true
		return &FullError{len(r.entries)}
	}
	slices.SortFunc(ended, func(a, b *entry) int { return a.lastHeartbeat.Compare(b.lastHeartbeat) })
	for _, e := range ended[:min(len(ended), MaxEntries/roomShare)] {
		r.drop(e)
	}
	return nil
}

// drop deletes an entry. The caller holds r.mu.
func (r *Registry) drop(e *entry) {
	r.removeAddress(e)
	delete(r.entries, e.ID)
	e.position = 0 // supersedes what the log has of it
}

// Expire marks instances without a recent heartbeat as silent and deletes entries
// after goneRetention. It returns the ids that became silent.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []string
	r.full = false
	r.expireRivals(now)
	for id, e := range r.entries {
		sinceHeartbeat := now.Sub(e.lastHeartbeat)
		if sinceHeartbeat > goneRetention {
			r.drop(e)
		} else if !e.Silent && e.State != Gone && r.quiet(e, now) {
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
	r.log = append(r.log, logged{r.position, e})
	if len(r.log) > 2*len(r.entries)+1 {
		r.log = slices.DeleteFunc(r.log, func(l logged) bool { return l.superseded() })
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// MaxPageBytes bounds the changes that Since returns at once. A link of 10 Mbit/s carries them in
// 0.4 s.
const MaxPageBytes = 512 << 10

// Since returns the changes after a position, the position reached, and a channel
// that is closed at the next change. A long list comes in several pages, of which the last
// reaches the newest position. A page has up to pageBytes but at least one change; 0 means
// MaxPageBytes.
func (r *Registry) Since(position uint64, pageBytes int) ([]Change, uint64, <-chan struct{}) {
	if pageBytes <= 0 || pageBytes > MaxPageBytes {
		pageBytes = MaxPageBytes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	from, _ := slices.BinarySearchFunc(r.log, position+1, func(l logged, at uint64) int { return cmp.Compare(l.position, at) })
	var out []Change
	reached, size := position, 0
	for _, l := range r.log[from:] {
		if l.superseded() {
			continue
		}
		if size += l.entry.EncodedBytes(); size > pageBytes && len(out) > 0 {
			return out, reached, r.changed
		}
		out, reached = append(out, l.entry.Change), l.position
	}
	return out, r.position, r.changed
}
