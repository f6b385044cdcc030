// Package placement decides which endpoint instance a request goes to, and when it
// is refused. It does no I/O and reads no clock: the caller tells what was sent,
// what came back and what time it is.
//
// The load it answers: prompts of which most is shared with other requests, on
// engines of which some only read prompts, with a mix of long prompts and short
// checks that turns around within seconds. A prompt goes where its shared parts are
// held, unless the engine is so busy that another one, which fetches or reads them,
// answers sooner. Turns of the mix are met by where prompts are read, since a change
// of an engine's stage takes longer than the turn lasts.
package placement

import (
	"fmt"
	"sync"
	"time"

	"filberthook/internal/engines/instances"
)

// Settings are the estimates that placement starts from.
type Settings struct {
	// PrefillRate is the prompt tokens that a prefill engine reads in a millisecond
	// before it was observed.
	PrefillRate float64
	// DecodeShare is the part of that rate at which a decode engine reads prompts.
	DecodeShare float64
}

// DefaultSettings start from the rates of the engines described in the brief.
func DefaultSettings() Settings { return Settings{PrefillRate: 55, DecodeShare: 0.37} }

// instance is what this host knows of one endpoint instance beside its announcement.
type instance struct {
	instances.Instance
	outstanding     int                   // requests of this host under way
	ownBacklog      Backlog               // prompt tokens of this host that wait to be read there
	peerBacklog     Backlog               // the same of the other hosts, as last told
	peerBacklogAt   time.Time             // when they were told
	prefillDelay    movingAverage         // time beyond the expected one until prompts were read
	latency         movingAverage         // time to the answer of a plain service
	failureRate     movingAverage         // part of the requests that failed, 0 to 1
	prefillRates    rateHistory           // at which it was seen to read
	transferDelay   movingAverage         // time beyond the expected one that KV cache read here took to arrive
	lastProgress    time.Time             // of the last byte that came from it
	ejectedUntil    time.Time             // gets no request before
	contactFailures int                   // ejections in a row
	fullResponses   int                   // for want of room, in a row
	cached          map[uint64]cacheEntry // shared parts, by key
}

// Fleet is what this host knows of the instances of all endpoints. It is safe for
// concurrent use.
type Fleet struct {
	settings Settings

	mu         sync.Mutex
	byID       map[string]*instance // by id
	byEndpoint map[string][]*instance
	random     func() float64 // random number from [0, 1)
	// connected reports whether a connection to an address is open and idle.
	connected func(address string) bool

	meters map[string]*demandMeter // by endpoint

	zones         map[string]*zoneHealth
	firstPromptAt time.Time // of the first prompt
	estimates     latencyEstimates
	updates       map[string]*CacheUpdate // by instance, not told yet
	updateCount   int
}

// New returns an empty Fleet; draw returns random numbers from [0, 1), and connected
// reports whether a connection to an address is open and idle.
func New(s Settings, draw func() float64, connected func(address string) bool) *Fleet {
	return &Fleet{settings: s, byID: map[string]*instance{}, byEndpoint: map[string][]*instance{}, random: draw, connected: connected, meters: map[string]*demandMeter{}, updates: map[string]*CacheUpdate{}, zones: map[string]*zoneHealth{}}
}

// Update takes a new list of instances. What was learned of an instance is kept
// while it is the same start.
func (f *Fleet) Update(s *instances.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]*instance, len(f.byID))
	lists := make(map[string][]*instance, len(s.ByEndpoint))
	for name, list := range s.ByEndpoint {
		for _, in := range list {
			state := f.byID[in.ID]
			if state == nil || state.Born != in.Born || state.Stage != in.Stage {
				state = &instance{cached: map[uint64]cacheEntry{}}
			}
			state.Instance = in
			known[in.ID] = state
			lists[name] = append(lists[name], state)
		}
	}
	f.byID, f.byEndpoint = known, lists
}

// Announced returns how many instances of an endpoint are announced.
func (f *Fleet) Announced(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byEndpoint[endpoint])
}

// Addresses returns the addresses of all instances.
func (f *Fleet) Addresses() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]bool, len(f.byID))
	for _, in := range f.byID {
		out[in.Address] = true
	}
	return out
}

// Target is an instance that a request is sent to.
type Target struct {
	ID      string
	Address string
	Zone    string
	Stage   instances.Stage
}

func (in *instance) target() Target {
	return Target{ID: in.ID, Address: in.Address, Zone: in.Zone, Stage: in.Stage}
}

// NoInstanceError tells that no instance can take a request.
type NoInstanceError struct {
	Endpoint string
	Known    int // instances that are announced
	Excluded int // of which were tried already
}

// Error implements error.
func (e *NoInstanceError) Error() string {
	return fmt.Sprintf("no instance of %q can take the request: %d announced, %d tried already", e.Endpoint, e.Known, e.Excluded)
}

// HopelessError tells that a request would wait too long to be answered in time.
type HopelessError struct {
	Wait    time.Duration // expected before its work begins
	MaxWait time.Duration // that it may wait
}

// Error implements error.
func (e *HopelessError) Error() string {
	return fmt.Sprintf("the request would wait %v and may wait %v: come back after the load has passed", e.Wait, e.MaxWait)
}

// RetryAfter returns when the work queued before the request has passed so far that
// it would be in time.
func (e *HopelessError) RetryAfter() time.Duration { return max(0, e.Wait-e.MaxWait) }
