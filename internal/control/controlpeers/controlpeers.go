// Package controlpeers holds an entry host's connections to the control replicas and
// redirects them without a restart when the replicas' addresses change.
package controlpeers

import (
	"context"
	"slices"
	"sync"

	"filberthook/internal/network/peer"
)

// Set holds one Slot per configured replica. Its methods may be called by many
// goroutines at once.
type Set struct {
	opts peer.Options

	mu    sync.Mutex // held during Update; ordered before the slots' locks
	slots []*Slot
}

// Slot is a connection to one replica, which Set.Update may exchange for another one.
type Slot struct {
	mu     sync.RWMutex // guards client
	client *peer.Client
}

// New returns a Set of the replicas' addresses.
func New(addresses []string, opts peer.Options) *Set {
	s := &Set{opts: opts}
	for _, address := range addresses {
		s.slots = append(s.slots, &Slot{client: peer.NewClient(address, opts)})
	}
	return s
}

// Slots returns the slots; their number never changes.
func (s *Set) Slots() []*Slot { return s.slots }

// Update assigns the addresses of the current replicas to the slots. A slot whose replica
// is still among them keeps it; the other slots get the addresses that no slot has. If
// there are fewer of these than slots, the slots left over keep their old address.
func (s *Set) Update(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var free []*Slot
	missing := slices.Clone(addresses)
	for _, slot := range s.slots {
		at := slices.Index(missing, slot.Address())
		if at < 0 {
			free = append(free, slot)
			continue
		}
		missing = slices.Delete(missing, at, at+1)
	}
	for i, address := range missing {
		if i == len(free) {
			return
		}
		free[i].replace(peer.NewClient(address, s.opts))
	}
}

// Close closes all connections.
func (s *Set) Close() {
	for _, slot := range s.slots {
		slot.current().Close()
	}
}

// Call calls the slot's replica; see peer.Client.Call.
func (s *Slot) Call(ctx context.Context, method string, params, result any) error {
	return s.current().Call(ctx, method, params, result)
}

// Address returns the address of the slot's replica.
func (s *Slot) Address() string { return s.current().Address() }

func (s *Slot) current() *peer.Client {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.client
}

func (s *Slot) replace(client *peer.Client) {
	s.mu.Lock()
	old := s.client
	s.client = client
	s.mu.Unlock()
	old.Close()
}
