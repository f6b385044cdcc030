// Package routing picks the engine for a request: it filters the candidates,
// scores a sample of them and picks the best. It does no I/O and has no clock;
// the caller passes the time. All methods of Router may be called by many
// goroutines at once.
package routing

import (
	"fmt"
	"strings"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/prefix"
)

// Candidate is one endpoint instance as an entry host knows it. Candidates are
// immutable once they are part of a snapshot that Prepare has seen.
type Candidate struct {
	Instance    string
	Incarnation uint64
	Endpoint    string
	Kind        engineapi.Kind
	Zone        string
	Address     string // host:port
	Role        engineapi.Role
	Models      []engineapi.Model
	KVBlocks    int // engine memory, in pieces of engineapi.PieceTokens tokens
	Draining    bool
	Changing    bool // an order is under way or about to be sent
	Fenced      bool // the lease of the instance has run out
	Load        engineapi.LoadReport
	ReportedAt  time.Duration // on the clock of Pick's now: when the figures in Load were true

	own          *ownLoad    // set by Prepare
	slot         prefix.Slot // set by Prepare
	nonPreferred bool        // another entry host of the zone is its home, set by Prepare
	senders      float64     // entry hosts that send to it as much as this one, set by Prepare
	unseenShare  float64     // share of its capacity that others are taken to use unseen, set by Prepare
	zoneIndex    int         // number of Zone, set by Prepare
	// Places among the zone's mixed engines, from 0, which is preferred, to 1,
	// set by Prepare: prompts and answers fill them from opposite ends.
	prefillRank, decodeRank float64
}

// Request is what routing needs to know about a request.
type Request struct {
	ID             string
	Model          string
	Adapter        string
	Version        string // empty accepts every version
	Endpoint       string // set for plain services, and for engines that serve one endpoint only
	Kind           engineapi.Kind
	Class          class.Class
	Prefixes       []uint64 // chained hashes of the prompt's whole pieces
	PromptTokens   int
	ExpectedOutput int           // tokens
	Deadline       time.Duration // time left for the whole answer; 0 is none
	Exclude        []string      // instances that have failed this request
	Explain        bool          // fill Decision.Steps
}

// KVBlocks returns the memory that the whole request needs.
func (r *Request) KVBlocks() int { return KVBlocksFor(r.PromptTokens + r.ExpectedOutput) }

// KVBlocksFor returns the number of memory pieces that hold the given tokens.
func KVBlocksFor(tokens int) int {
	return (tokens + engineapi.PieceTokens - 1) / engineapi.PieceTokens
}

// Step is one line of a decision's explanation.
type Step struct {
	Instance string  `json:"instance"`
	Stage    string  `json:"stage"` // "filter", "score" or "choice"
	Reason   string  `json:"reason"`
	Score    float64 `json:"score,omitempty"` // lower is better
}

// Decision is where a request runs.
type Decision struct {
	Instance           string        `json:"instance"`
	Address            string        `json:"address"`
	Incarnation        uint64        `json:"incarnation"`
	Prefill            string        `json:"prefill,omitempty"` // instance that computes the prompt; empty when the request runs whole
	PrefillAddress     string        `json:"prefill_address,omitempty"`
	PrefillIncarnation uint64        `json:"prefill_incarnation,omitempty"`
	CachedTokens       int           `json:"cached_tokens"` // expected prefix cache hit, at the engine that computes the prompt
	FirstToken         time.Duration `json:"first_token"`   // predicted, with an allowance for prompts not seen yet
	Gap                time.Duration `json:"gap"`           // predicted time between tokens
	Score              float64       `json:"score"`
	Steps              []Step        `json:"steps,omitempty"`

	decode  *ownLoad
	prefill *ownLoad
}

// Reason tells why a candidate was passed over.
type Reason uint8

// Reasons of filters.
const (
	Admitted Reason = iota
	ReasonKind
	ReasonModel
	ReasonTooLarge
	ReasonRole
	ReasonExcluded
	ReasonLease
	ReasonDraining
	ReasonChanging
	ReasonMemory
	ReasonDeadline
	numReasons
)

var reasonNames = [numReasons]string{"admitted", "other_kind", "model_not_loaded", "exceeds_memory", "no_pair_of_roles", "failed_this_request", "lease_expired", "draining", "changing", "memory_full", "deadline"}

// String returns the reason's name, as used for metric labels.
func (r Reason) String() string { return reasonNames[r] }

// Remedies for the reason that passed over the most useful candidates.
var reasonRemedies = [numReasons]string{
	ReasonKind:     "check that instances of the endpoint announce themselves",
	ReasonModel:    "declare the model, adapter and version for this availability zone or check the load orders",
	ReasonTooLarge: "send a shorter prompt or ask for a shorter answer",
	ReasonRole:     "have the planner keep a mixed engine, or a prefill and a decode engine, in each availability zone",
	ReasonExcluded: "retry after the failing instances have recovered",
	ReasonLease:    "check that the instances renew their leases",
	ReasonDraining: "retry after the drain or undrain an instance",
	ReasonChanging: "retry after the change in progress",
	ReasonMemory:   "retry after running requests have finished",
	ReasonDeadline: "send the request earlier, with a later deadline or a shorter answer",
}

// NoCandidateError tells that no instance can take a request now. Nothing has
// been sent, so the request has not run.
type NoCandidateError struct {
	Model    string
	Endpoint string
	Counts   [numReasons]int // candidates passed over, by Reason
}

// MainReason returns the reason of the candidates that came nearest to admission.
func (e *NoCandidateError) MainReason() Reason {
	for reason := numReasons - 1; reason > Admitted; reason-- {
		if e.Counts[reason] > 0 {
			return reason
		}
	}
	return ReasonKind
}

// Temporary reports whether waiting a short time can help.
func (e *NoCandidateError) Temporary() bool {
	switch e.MainReason() {
	case ReasonKind, ReasonModel, ReasonTooLarge, ReasonDeadline:
		return false
	default:
		return true
	}
}

// Error implements error.
func (e *NoCandidateError) Error() string {
	var counts strings.Builder
	for reason, n := range e.Counts {
		if n > 0 && Reason(reason) != Admitted {
			fmt.Fprintf(&counts, " %s=%d", Reason(reason), n)
		}
	}
	return fmt.Sprintf("no instance for model %q endpoint %q:%s; %s", e.Model, e.Endpoint, counts.String(), reasonRemedies[e.MainReason()])
}
