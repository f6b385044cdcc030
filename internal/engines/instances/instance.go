// Package instances tracks the endpoint instances of a deployment. A Registry at
// each control host receives their heartbeats and lists the changes; a View at each
// entry host merges the lists of all control hosts.
//
// An instance is identified by its id and the time of its start. A report about an
// older start, or with a lower sequence number of the same start, has no effect once
// a newer one was received, unless that was the word of another writer: it is silent, while
// the older reports go on.
package instances

import "time"

// State of an instance.
type State uint8

const (
	Ready    State = iota
	Draining       // finishes its requests and takes no new ones
	Gone           // has deregistered
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Stage is the part of a generation that a model engine serves.
type Stage uint8

const (
	AnyStage Stage = iota // plain service
	Prefill
	Decode
)

// String returns the stage's name in logs.
func (s Stage) String() string { return [...]string{"any", "prefill", "decode"}[s] }

// Model is a model that an engine has loaded.
type Model struct {
	Name    string `json:"name"`
	Version int64  `json:"version"` // of the weights
}

// Instance is an endpoint instance as its own heartbeat describes it.
type Instance struct {
	ID       string  `json:"id"`
	Born     int64   `json:"born"`     // Unix ms of its start
	Sequence uint64  `json:"sequence"` // increases with each heartbeat since its start
	Endpoint string  `json:"endpoint"`
	Address  string  `json:"address"` // IP:port
	Zone     string  `json:"zone"`
	Slots    int     `json:"slots"`
	State    State   `json:"state"`
	Stage    Stage   `json:"stage"`
	Models   []Model `json:"models,omitempty"`
	// Preemptible is set if the platform may reclaim the instance at any time.
	Preemptible bool `json:"preemptible,omitempty"`
	// LeavesIn is the time left under a notice of reclaim, 0 without one. Only whether there is
	// one is compared, so that the countdown is no change.
	LeavesIn time.Duration `json:"leaves_in,omitempty"`
}

// Change is the latest state of an instance at one control host.
type Change struct {
	Instance
	Silent bool `json:"silent,omitempty"` // no heartbeat within silentAfterIntervals
}

// Sizes of encoded changes: fixedBytes of names of fields and numbers in each change and each
// model, up to escapedBytes for a byte of text, and orderedBytes of an instance that the platform
// may reclaim.
const (
	fixedBytes   = 200
	escapedBytes = 6
	orderedBytes = 60
)

// EncodedBytes returns how many bytes the change takes at most as JSON.
func (c *Change) EncodedBytes() int {
	text, models := len(c.ID)+len(c.Endpoint)+len(c.Address)+len(c.Zone), len(c.Models)
	for _, m := range c.Models {
		text += len(m.Name)
	}
	size := fixedBytes*(1+models) + escapedBytes*text
	if c.Preemptible || c.LeavesIn > 0 {
		size += orderedBytes
	}
	return size
}

// silentAfterIntervals is the number of intervals without a heartbeat after which an
// instance counts as silent: heartbeats may be late by more than one interval.
const silentAfterIntervals = 3

// goneRetention is how long an entry is kept after the last heartbeat or the
// deregistration, so that a late heartbeat cannot bring a deregistered instance back.
const goneRetention = 5 * time.Minute

// supersedes reports whether a is newer than b. Both have the same id.
func (a *Instance) supersedes(b *Instance) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.Sequence > b.Sequence
}

// sameAs reports whether a and b agree in everything that routing and planning use.
func (a *Instance) sameAs(b *Instance) bool {
	if a.Born != b.Born || a.Endpoint != b.Endpoint || a.Address != b.Address || a.Zone != b.Zone ||
		a.Slots != b.Slots || a.State != b.State || a.Stage != b.Stage || len(a.Models) != len(b.Models) ||
		a.Preemptible != b.Preemptible || (a.LeavesIn > 0) != (b.LeavesIn > 0) {
		return false
	}
	for i := range a.Models {
		if a.Models[i] != b.Models[i] {
			return false
		}
	}
	return true
}
