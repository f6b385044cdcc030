// Package routing picks the engine for a request: it filters the candidates,
// scores a sample of them and picks the best. It does no I/O and has no clock;
// the caller passes the time. Router is safe for concurrent use.
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
// immutable once Prepare has been called on the snapshot that holds them.
type Candidate struct {
	Instance    string
	Incarnation uint64
	Endpoint    string
	Kind        engineapi.Kind
	Zone        string
	Address     string // host:port
	Role        engineapi.Role
	Models      []engineapi.Model
	KVBlocks    int // engine memory, in blocks of engineapi.KVBlockTokens tokens
	Draining    bool
	Changing    bool // an order is being carried out or about to be sent
	Fenced      bool // the lease of the instance has expired
	Load        engineapi.LoadReport
	ReportedAt  time.Duration // when Load was measured, on the clock of Pick's now

	own          *ownLoad    // set by Prepare
	slot         prefix.Slot // set by Prepare
	nonPreferred bool        // preferred by another entry host of the zone, set by Prepare
	senders      float64     // entry hosts assumed to send it as much as this one, set by Prepare
	unseenShare  float64     // share of its capacity assumed used by other hosts since Load, set by Prepare
	zoneIndex    int         // number of Zone, set by Prepare
	// Ranks among the zone's mixed engines, from 0 (preferred) to 1, set by
	// Prepare. Prefill and decode prefer opposite ends, to stay on separate engines.
	prefillRank, decodeRank float64
}

// Request holds the properties of a request that routing uses.
type Request struct {
	ID             string
	Model          string
	Adapter        string
	Version        string // empty accepts every version
	Endpoint       string // set for plain services, and for engines that serve one endpoint only
	Kind           engineapi.Kind
	Class          class.Class
	Prefixes       []uint64 // chained hashes of the prompt's full prefix blocks
	PromptTokens   int
	ExpectedOutput int           // tokens
	Deadline       time.Duration // time left for the whole answer; 0 means no deadline
	Exclude        []string      // instances that have failed this request
	Explain        bool          // fill Decision.Steps
}

// KVBlocks returns the KV blocks needed for the prompt and the expected output.
func (r *Request) KVBlocks() int { return KVBlocksFor(r.PromptTokens + r.ExpectedOutput) }

// KVBlocksFor returns the number of KV blocks that hold the given tokens.
func KVBlocksFor(tokens int) int {
	return (tokens + engineapi.KVBlockTokens - 1) / engineapi.KVBlockTokens
}

// Step is one line of a decision's explanation.
type Step struct {
	Instance string  `json:"instance"`
	Stage    string  `json:"stage"` // "filter", "score" or "choice"
	Reason   string  `json:"reason"`
	Score    float64 `json:"score,omitempty"` // lower is better
}

// Decision is the placement of a request.
type Decision struct {
	Instance           string        `json:"instance"`
	Address            string        `json:"address"`
	Incarnation        uint64        `json:"incarnation"`
	Prefill            string        `json:"prefill,omitempty"` // prefill instance; empty when one instance runs the whole request
	PrefillAddress     string        `json:"prefill_address,omitempty"`
	PrefillIncarnation uint64        `json:"prefill_incarnation,omitempty"`
	CachedTokens       int           `json:"cached_tokens"` // expected prefix cache hit at the prefill engine
	FirstToken         time.Duration `json:"first_token"`   // predicted, with an allowance for prompts from other entry hosts
	Gap                time.Duration `json:"gap"`           // predicted time between tokens
	Score              float64       `json:"score"`
	Steps              []Step        `json:"steps,omitempty"`

	decode  *ownLoad
	prefill *ownLoad
}

// Reason is the reason why a candidate was rejected.
type Reason uint8

// Reasons for rejecting a candidate, ordered by how close it came to admission;
// Admitted means that it was not rejected.
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

// reasonRemedies holds the advice that NoCandidateError gives for its MainReason.
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

// NoCandidateError reports that no instance can take a request now. Nothing has
// been sent, so the request has not run.
type NoCandidateError struct {
	Model    string
	Endpoint string
	Counts   [numReasons]int // rejected candidates, by Reason
}

// MainReason returns the reason of the candidates that came closest to admission.
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
