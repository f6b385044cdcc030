// Package controlapi defines the calls between control hosts, and from entry hosts
// to control hosts. They are carried by package peer.
package controlapi

import (
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/placement"
)

// Methods of control hosts.
const (
	MethodWatch    = "control.watch"    // WatchRequest to WatchResponse; at any control host
	MethodDocument = "control.document" // DocumentRequest to document.Packed; at any control host
	MethodPropose  = "control.propose"  // document.Document to ProposeResponse; at the leader
	MethodJoin     = "control.join"     // JoinRequest to JoinResponse; at any control host
	MethodLoad     = "control.load"     // LoadReport to LoadReport; at the leader, or the first control host that is reached
)

// MaxMessageBytes bounds a call: the largest configuration, which JSON carries in
// base64, and its envelope.
const MaxMessageBytes = 8 << 20

// WatchRequest asks for what changed at a control host since the last answer. The
// answer is held back until something has.
type WatchRequest struct {
	Epoch    string `json:"epoch"`    // of the control process that answered last
	Position uint64 `json:"position"` // of the last answer
	Version  uint64 `json:"version"`  // of the configuration in force at the asking host
	WaitMS   int64  `json:"wait_ms"`  // longest time to hold the answer back
	Observer bool   `json:"observer"` // a control host asks, which serves no callers
}

// WatchResponse lists what changed.
type WatchResponse struct {
	Epoch    string             `json:"epoch"` // differs in each control process
	Position uint64             `json:"position"`
	Changes  []instances.Change `json:"changes,omitempty"`
	Version  uint64             `json:"version"`          // of the configuration in force at the control host
	Peers    []string           `json:"peers,omitempty"`  // addresses of the control hosts of the group
	Hosts    int                `json:"hosts"`            // entry hosts that watch the control host
	Leader   string             `json:"leader,omitempty"` // address of the group's leader
}

// DocumentRequest asks for the configuration in force.
type DocumentRequest struct{}

// ProposeResponse tells the version in force after a proposal.
type ProposeResponse struct {
	Version uint64 `json:"version"`
}

// JoinRequest asks to become a member of the group.
type JoinRequest struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// JoinResponse tells that the request was taken.
type JoinResponse struct {
	Peers []string `json:"peers,omitempty"`
}

// LoadReport is the work that entry hosts have under way at engines: in a request
// that of the asking host, in the answer that of all others.
type LoadReport struct {
	// Tokens are the prompt tokens still to be read, by instance and priority from 0.
	Tokens map[string][]int64 `json:"tokens,omitempty"`
	// Demand is what callers ask, by endpoint; in requests only.
	Demand map[string]Demand `json:"demand,omitempty"`
	// Updates tell which prefixes engines have cached: in a request what the asking host
	// learned since its last report, in the answer what other hosts reported after
	// UpdatesPosition.
	Updates []placement.CacheUpdate `json:"held,omitempty"`
	// UpdatesEpoch and UpdatesPosition identify the last update sent in an answer: a
	// request repeats those of the last answer.
	UpdatesEpoch    string `json:"news_epoch,omitempty"`
	UpdatesPosition uint64 `json:"news_position,omitempty"`
}

// Demand is a rate of work.
type Demand struct {
	PromptTokens float64 `json:"prompt_tokens"` // to be read in a second
	OutputTokens float64 `json:"output_tokens"` // to be generated in a second
}
