// Package distribution distributes the committed configuration to all hosts. Each
// host watches one replica of the control group with long polls that carry its own
// revision; responses carry the newer deltas or the whole configuration. A host never
// returns to an older revision.
package distribution

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/engineapi"
)

// MethodWatch is the peer call of watchers. It takes a WatchRequest and returns a
// WatchResponse.
const MethodWatch = "distribution.watch"

// Timing of watches.
const (
	// WatchWait is how long a replica holds a watch without a change.
	WatchWait = time.Second
	// WatchGrace is how much longer a watcher waits before it tries another
	// replica.
	WatchGrace = 500 * time.Millisecond
	// StaleAfter is the time without a confirmation by the leader after which a
	// replica reports to its watchers that it is stale.
	StaleAfter = 1500 * time.Millisecond
	// EngineReportInterval is the shortest time between reports of engines.
	EngineReportInterval = 2 * time.Second
	// LiveFor is how long a host counts as live after its last report.
	LiveFor = 5 * time.Second
	// ForgetAfter is how long a host without reports stays in the status.
	ForgetAfter = 24 * time.Hour
)

// WatchRequest requests everything newer than a revision. It also reports the
// revision in force at the host.
type WatchRequest struct {
	Have       uint64         `json:"have"`              // revision in force
	Full       bool           `json:"full,omitempty"`    // send the whole configuration
	Confirm    bool           `json:"confirm,omitempty"` // confirm with the leader before answering
	WaitMillis int64          `json:"wait_ms"`
	Replicas   uint64         `json:"replicas,omitempty"` // hash of the replica addresses that the host has; 0 requests none
	Engines    []EngineReport `json:"engines,omitempty"`  // from the planner that holds the zone's lease
}

// WatchResponse brings a watcher up to Revision.
type WatchResponse struct {
	Revision      uint64            `json:"revision"`
	Configuration json.RawMessage   `json:"configuration,omitempty"` // fleet.Configuration without operators
	Deltas        []json.RawMessage `json:"deltas,omitempty"`        // fleet.Delta, contiguous from Have+1
	Behind        bool              `json:"behind,omitempty"`        // the replica is older than the watcher
	Stale         bool              `json:"stale,omitempty"`         // the replica cannot confirm that nothing newer is committed
	Replicas      []string          `json:"replicas,omitempty"`      // addresses of the control group, when they differ from the host's
}

// hashAddresses returns a hash of a list of addresses that ignores their order.
func hashAddresses(addresses []string) uint64 {
	var sum uint64
	for _, address := range addresses {
		sum += xxhash.Sum64String(address)
	}
	return sum
}

// EngineReport is a planner's report of one engine.
type EngineReport struct {
	Instance    string                `json:"instance"`
	Zone        string                `json:"zone"`
	ChecksFence bool                  `json:"checks_fence"`
	Draining    bool                  `json:"draining,omitempty"`
	State       engineapi.EngineState `json:"state"`
}
