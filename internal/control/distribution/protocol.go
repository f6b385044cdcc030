// Package distribution brings the agreed configuration to every host. Hosts
// watch one replica of the control group with long polls that carry the
// revision they have; answers carry the newer deltas or the whole
// configuration. A host never goes back to an older revision.
package distribution

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/engineapi"
)

// MethodWatch is the peer call of watchers: WatchRequest to WatchResponse.
const MethodWatch = "distribution.watch"

// Timing of watches.
const (
	// WatchWait is how long a replica holds a watch without news.
	WatchWait = time.Second
	// WatchGrace is how much longer a watcher waits before it tries another
	// replica.
	WatchGrace = 500 * time.Millisecond
	// StaleAfter is the time after which a replica that could not confirm its
	// revision with the leader tells its watchers so.
	StaleAfter = 1500 * time.Millisecond
	// EngineReportInterval is the shortest time between reports of engines.
	EngineReportInterval = 2 * time.Second
	// LiveFor is how long a host counts as live after its last report.
	LiveFor = 5 * time.Second
	// ForgetAfter is how long a silent host stays in the status.
	ForgetAfter = 24 * time.Hour
)

// WatchRequest asks for everything newer than a revision. It also reports the
// revision that the host has in force.
type WatchRequest struct {
	Have       uint64         `json:"have"`              // revision in force
	Full       bool           `json:"full,omitempty"`    // send the whole configuration
	Confirm    bool           `json:"confirm,omitempty"` // confirm with the leader before answering
	WaitMillis int64          `json:"wait_ms"`
	Replicas   uint64         `json:"replicas,omitempty"` // sum of the addresses of the replicas that the host was told; 0 asks for none
	Engines    []EngineReport `json:"engines,omitempty"`  // from the planner that holds the zone's lease
}

// WatchResponse brings a watcher up to Revision.
type WatchResponse struct {
	Revision      uint64            `json:"revision"`
	Configuration json.RawMessage   `json:"configuration,omitempty"` // fleet.Configuration without operators
	Deltas        []json.RawMessage `json:"deltas,omitempty"`        // fleet.Delta, contiguous from Have+1
	Behind        bool              `json:"behind,omitempty"`        // the replica is older than the watcher
	Stale         bool              `json:"stale,omitempty"`         // the replica cannot confirm that nothing newer is agreed
	Replicas      []string          `json:"replicas,omitempty"`      // addresses of the control group, when they differ from the host's
}

// hashAddresses sums up a list of addresses, whatever their order.
func hashAddresses(addresses []string) uint64 {
	var sum uint64
	for _, address := range addresses {
		sum += xxhash.Sum64String(address)
	}
	return sum
}

// EngineReport is what a planner knows of one engine.
type EngineReport struct {
	Instance    string                `json:"instance"`
	Zone        string                `json:"zone"`
	ChecksFence bool                  `json:"checks_fence"`
	Draining    bool                  `json:"draining,omitempty"`
	State       engineapi.EngineState `json:"state"`
}
