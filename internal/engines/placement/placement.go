// Package placement decides which endpoint instance a request goes to, and when it
// is refused. It does no I/O and reads no clock: the caller reports what was sent,
// what came back and what time it is.
//
// It is made for prompts that share most of their tokens with other requests, engines
// of which some run only prefill, and a mix of long prompts and short checks that
// shifts within seconds. A prompt goes to an engine that has its shared prefix cached,
// unless that engine is so busy that another one, which fetches or computes the prefix,
// answers sooner. Placement of prefills absorbs shifts of the mix, since changing an
// engine's stage takes longer than a shift lasts.
package placement

import (
	"fmt"
	"sync"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
)

// Settings are the initial estimates of engine performance.
type Settings struct {
	// PrefillRate is the rate of a prefill engine in prompt tokens per millisecond, used
	// until its rate has been observed.
	PrefillRate float64
	// DecodeShare is the prefill rate of a decode engine as a fraction of PrefillRate.
	DecodeShare float64
}

// DefaultSettings returns the rates of the engines that the system is built for.
func DefaultSettings() Settings { return Settings{PrefillRate: 55, DecodeShare: 0.37} }

// instance is this host's state for one endpoint instance, in addition to the announcement.
type instance struct {
	instances.Instance
	countedSlots    int                   // its slots, bounded by those of the others
	outstanding     int                   // requests from this host in flight
	ownBacklog      Backlog               // prompt tokens from this host queued for prefill
	peerBacklog     Backlog               // the same from the other hosts, as last reported
	peerBacklogAt   time.Time             // when peerBacklog was reported
	prefillDelay    movingAverage         // prefill latency beyond that of an idle engine, ms
	service         serviceLatency        // time to the answer of a plain service
	failureRate     movingAverage         // fraction of requests that failed
	prefillRates    rateHistory           // observed prefill rates
	transferDelay   movingAverage         // KV cache transfer latency from this engine beyond that of an idle one, ms
	lastProgress    time.Time             // arrival of the last data
	ejectedUntil    time.Time             // no requests before this time
	contactFailures int                   // consecutive failures to reach it
	fullResponses   int                   // consecutive refusals because it was full
	cached          map[uint64]cacheEntry // by prefix key
	notices         *notice.Record        // what it says about itself in its answers
}

// Fleet is this host's view of the instances of all endpoints. It is safe for
// concurrent use.
type Fleet struct {
	settings Settings

	mu         sync.Mutex
	byID       map[string]*instance
	byEndpoint map[string][]*instance
	notices    map[string]*notice.Record // by instance; kept while it is not announced
	random     func() float64            // random number from [0, 1)
	// connected reports whether a connection to an address is open and idle.
	connected func(address string) bool

	meters   map[string]*demandMeter // by endpoint
	requests map[string]*decaying    // callers' requests at this host, by endpoint

	hosts          int                // entry hosts, 0 if unknown
	peerRequests   map[string]float64 // requests per second at the other hosts, by endpoint
	peerRequestsAt time.Time          // when peerRequests was reported

	zones         map[string]*zoneHealth
	firstPromptAt time.Time // zero before the first prompt
	estimates     latencyEstimates
	typicalRates  map[string]*rateHistory // observed prefill rates of all engines, by endpoint
	updates       map[string]*CacheUpdate // by instance, not sent to the other hosts yet
	updateCount   int
	peaks         map[string]peak // by endpoint
}

// New returns an empty Fleet; random returns random numbers from [0, 1), and connected
// reports whether a connection to an address is open and idle.
func New(s Settings, random func() float64, connected func(address string) bool) *Fleet {
	return &Fleet{settings: s, byID: map[string]*instance{}, byEndpoint: map[string][]*instance{}, notices: map[string]*notice.Record{}, random: random, connected: connected, meters: map[string]*demandMeter{}, requests: map[string]*decaying{}, updates: map[string]*CacheUpdate{}, zones: map[string]*zoneHealth{}, typicalRates: map[string]*rateHistory{}, peaks: map[string]peak{}}
}

// Update takes a new list of instances. The state of an instance is kept unless it
// has restarted or changed its stage.
func (f *Fleet) Update(s *instances.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]*instance, len(f.byID))
	lists := make(map[string][]*instance, len(s.ByEndpoint))
	for name, list := range s.ByEndpoint {
		slotsLimit := instances.SlotsLimit(list)
		for _, in := range list {
			state := f.byID[in.ID]
			if state == nil || state.Born != in.Born || state.Stage != in.Stage {
				state = &instance{cached: map[uint64]cacheEntry{}}
			}
			state.Instance, state.countedSlots = in, min(in.Slots, slotsLimit)
			state.notices = f.recordOf(in.ID, in.Born)
			known[in.ID] = state
			lists[name] = append(lists[name], state)
		}
	}
	f.byID, f.byEndpoint = known, lists
	f.notePeaks(s.At)
	f.dropRecords(s.At)
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
	Born    int64 // Unix ms of its start
	Address string
	Zone    string
	Stage   instances.Stage
}

func (in *instance) target() Target {
	return Target{ID: in.ID, Born: in.Born, Address: in.Address, Zone: in.Zone, Stage: in.Stage}
}

// NoInstanceError reports that no instance can take a request.
type NoInstanceError struct {
	Endpoint string
	Known    int // announced instances
	Excluded int // instances already tried
	// Later counts the instances that take no request of this host now, as they have named a
	// limit or asked for a pause, but will after Wait at the earliest.
	Later int
	Wait  time.Duration
}

// Error implements error.
func (e *NoInstanceError) Error() string {
	text := fmt.Sprintf("no instance of %q can take the request: %d announced, %d tried already", e.Endpoint, e.Known, e.Excluded)
	if e.Later > 0 {
		text += fmt.Sprintf(", %d have named a limit or asked for a pause, the first of them for another %v: come back then", e.Later, e.Wait)
	}
	return text
}

// HopelessError reports that a request cannot meet its deadline or latency goal.
type HopelessError struct {
	Wait    time.Duration // expected queueing time
	MaxWait time.Duration // longest acceptable queueing time
}

// Error implements error.
func (e *HopelessError) Error() string {
	return fmt.Sprintf("the request would wait %v and may wait %v: come back after the load has passed", e.Wait, e.MaxWait)
}

// RetryAfter returns the time after which the queue has drained enough for the request
// to be in time.
func (e *HopelessError) RetryAfter() time.Duration { return max(0, e.Wait-e.MaxWait) }
