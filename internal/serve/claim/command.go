package claim

import (
	"fmt"
	"time"
)

// Kind is the operation of a Command.
type Kind string

// Kinds of commands.
const (
	KindClaim    Kind = "claim"    // take the key for an attempt
	KindComplete Kind = "complete" // store the answer of the attempt that holds the claim
	KindRelease  Kind = "release"  // drop the claim: its attempt was not and will not be dispatched
	KindAbandon  Kind = "abandon"  // mark the outcome unknown: the holder cannot learn it any more
	KindLookup   Kind = "lookup"   // read the claim of a key
)

// Key identifies one non-repeatable call.
type Key struct {
	Team        string `json:"team"`
	Endpoint    string `json:"endpoint"`
	Idempotency string `json:"key"`
}

// String formats the key for logs.
func (k Key) String() string { return fmt.Sprintf("%s/%s/%s", k.Team, k.Endpoint, k.Idempotency) }

// StoredAnswer is an endpoint's whole answer, stored so that a resend of the call
// gets it byte for byte.
type StoredAnswer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body"`
	Dropped bool     `json:"dropped,omitempty"` // headers and body were too large to store; only the fact that the call ran is known
}

// Header is one header field of a stored answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// size returns the bytes that the answer counts against MaxAnswerBytes and MaxStoredBytes.
func (a *StoredAnswer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Command is one operation on a Machine. All replicas apply commands in the same
// order.
type Command struct {
	Kind     Kind          `json:"kind"`
	Key      Key           `json:"key,omitzero"`
	Attempt  string        `json:"attempt,omitempty"`   // unique among all attempts of all entry hosts
	Entry    string        `json:"entry,omitempty"`     // entry host of the attempt
	BodyHash string        `json:"body_hash,omitempty"` // for KindClaim: hash of the whole request
	Hold     time.Duration `json:"hold,omitempty"`      // for KindClaim: time until its outcome counts as unknown
	Answer   *StoredAnswer `json:"answer,omitempty"`    // for KindComplete
}

// Status is the result of a Command.
type Status string

// Statuses. Only Granted allows the attempt of the command to be dispatched, once.
const (
	Granted    Status = "granted"     // the attempt holds the claim
	InProgress Status = "in_progress" // another attempt holds the claim
	Stored     Status = "stored"      // the call ran; Answer holds its answer
	Unknown    Status = "unknown"     // an attempt held the claim and its outcome is not known
	KeyReused  Status = "key_reused"  // the key was claimed for a different request
	Full       Status = "full"        // the limit MaxClaims is reached
	Withdrawn  Status = "withdrawn"   // the release of the attempt was applied before its claim
	Done       Status = "done"        // the complete, release or abandon took effect
	NotHeld    Status = "not_held"    // the attempt of a complete, release or abandon does not hold the claim
	NotFound   Status = "not_found"   // for KindLookup: there is no claim for the key
	Invalid    Status = "invalid"     // the command lacks a field or has an unknown kind
)

// Result is the outcome of a Command.
type Result struct {
	Status    Status        `json:"status"`
	Attempt   string        `json:"attempt,omitempty"` // attempt that holds or held the claim
	Entry     string        `json:"entry,omitempty"`   // entry host of that attempt
	Remaining time.Duration `json:"rest,omitempty"`    // for InProgress: time until the outcome counts as unknown
	Answer    *StoredAnswer `json:"answer,omitempty"`  // for Stored
}
