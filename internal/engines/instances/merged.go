package instances

import (
	"slices"
	"strings"
	"time"
)

// merged holds the newest valid report of each instance, and the lists of those that may
// receive requests. An instance whose address is used by one with a later start may not.
type merged struct {
	byID      map[string]Instance
	byAddress map[string][]string // ids, in no order
	lists     map[string]*sharedList
	changedAt time.Time
}

// sharedList is a list of instances, sorted by id, that is copied before it changes if a
// snapshot has it.
type sharedList struct {
	items  []Instance
	shared bool
}

func newMerged() merged {
	return merged{byID: map[string]Instance{}, byAddress: map[string][]string{}, lists: map[string]*sharedList{}}
}

// set replaces the report of an instance; nil removes it. It reports whether any list has
// changed.
func (m *merged) set(id string, in *Instance, now time.Time) bool {
	old, known := m.byID[id]
	if !known && in == nil {
		return false
	}
	before := m.winner(old.Address)
	if known {
		delete(m.byID, id)
		m.byAddress[old.Address] = slices.DeleteFunc(m.byAddress[old.Address], func(other string) bool { return other == id })
		if len(m.byAddress[old.Address]) == 0 {
			delete(m.byAddress, old.Address)
		}
	}
	var replaced *Instance // at the new address, if that is another one
	if in != nil {
		if in.Address != old.Address || !known {
			replaced = m.winner(in.Address)
		}
		m.byID[id] = *in
		m.byAddress[in.Address] = append(m.byAddress[in.Address], id)
	}
	changed := m.relist(before, m.winner(old.Address))
	if in != nil && (in.Address != old.Address || !known) {
		changed = m.relist(replaced, m.winner(in.Address)) || changed
	}
	if changed {
		m.changedAt = now
	}
	return changed
}

// winner returns the instance that may receive requests at an address, nil if there is
// none: the one with the latest start, of several the one with the lowest id.
func (m *merged) winner(address string) *Instance {
	var best *Instance
	for _, id := range m.byAddress[address] {
		in := m.byID[id]
		if best == nil || in.Born > best.Born || in.Born == best.Born && in.ID < best.ID {
			best = &in
		}
	}
	return best
}

// relist replaces an instance in the lists by another one, either of which may be nil. It
// reports whether they differ in anything that routing uses.
func (m *merged) relist(old, in *Instance) bool {
	switch {
	case old == nil && in == nil:
		return false
	case old != nil && in != nil && old.ID == in.ID && old.sameAs(in):
		return false
	}
	if old != nil {
		m.remove(old)
	}
	if in != nil {
		m.insert(*in)
	}
	return true
}

func (m *merged) remove(in *Instance) {
	l := m.lists[in.Endpoint]
	if at, ok := l.find(in.ID); ok {
		l.own()
		l.items = slices.Delete(l.items, at, at+1)
	}
	if len(l.items) == 0 {
		delete(m.lists, in.Endpoint)
	}
}

func (m *merged) insert(in Instance) {
	l := m.lists[in.Endpoint]
	if l == nil {
		l = &sharedList{}
		m.lists[in.Endpoint] = l
	}
	at, ok := l.find(in.ID)
	l.own()
	if ok {
		l.items[at] = in
	} else {
		l.items = slices.Insert(l.items, at, in)
	}
}

func (l *sharedList) find(id string) (at int, ok bool) {
	return slices.BinarySearchFunc(l.items, id, func(in Instance, id string) int { return strings.Compare(in.ID, id) })
}

// own copies the list if a snapshot has it.
func (l *sharedList) own() {
	if l.shared {
		l.items, l.shared = slices.Clone(l.items), false
	}
}

// share returns the lists for a snapshot. They are not changed afterwards.
func (m *merged) share() map[string][]Instance {
	out := make(map[string][]Instance, len(m.lists))
	for endpoint, l := range m.lists {
		l.shared = true
		out[endpoint] = l.items
	}
	return out
}
