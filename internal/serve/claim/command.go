package claim

import (
	"fmt"
	"time"
)

// Kind tells what a Command does.
type Kind string

// Kinds of commands.
const (
	KindClaim    Kind = "claim"    // take the key for an attempt
	KindComplete Kind = "complete" // store the answer of the attempt that holds the key
	KindRelease  Kind = "release"  // give the key up; the attempt was not and will not be dispatched
	KindAbandon  Kind = "abandon"  // the attempt that holds the key cannot learn its outcome
	KindLookup   Kind = "lookup"   // read the claim of a key
)

// Key names one piece of non-repeatable work.
type Key struct {
	Team        string `json:"team"`
	Endpoint    string `json:"endpoint"`
	Idempotency string `json:"key"`
}

// String returns the key in a form for logs.
func (k Key) String() string { return fmt.Sprintf("%s/%s/%s", k.Team, k.Endpoint, k.Idempotency) }

// StoredAnswer is an endpoint's whole answer, kept for replay byte for byte.
type StoredAnswer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body"`
	Dropped bool     `json:"dropped,omitempty"` // the answer was not kept for its size; only the fact that the call ran is
}

// Header is one header field of a stored answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// size is the memory that the answer is charged for, in bytes.
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

// Command is one change of a Machine. Commands are applied in the same order
// on every replica.
type Command struct {
	Kind     Kind          `json:"kind"`
	Key      Key           `json:"key,omitzero"`
	Attempt  string        `json:"attempt,omitempty"`   // unique among all attempts of all entry hosts
	Entry    string        `json:"entry,omitempty"`     // entry host of the attempt
	BodyHash string        `json:"body_hash,omitempty"` // of a claim: hash of the whole request
	Hold     time.Duration `json:"hold,omitempty"`      // of a claim: time until its outcome counts as unknown
	Answer   *StoredAnswer `json:"answer,omitempty"`    // of a complete
}

// Status is the result of a Command.
type Status string

// Statuses. Only Granted allows a dispatch, once, by the attempt of the command.
const (
	Granted    Status = "granted"     // the attempt holds the key
	InProgress Status = "in_progress" // another attempt holds the key
	Stored     Status = "stored"      // the call ran; Answer holds its answer
	Unknown    Status = "unknown"     // an attempt held the key and its outcome is not known
	KeyReused  Status = "key_reused"  // the key was used with another body
	Full       Status = "full"        // the limit of claims is reached
	Withdrawn  Status = "withdrawn"   // the attempt was released before its claim arrived
	Done       Status = "done"        // the complete, release or abandon took effect
	NotHeld    Status = "not_held"    // the complete, release or abandon came from an attempt that does not hold the key
	NotFound   Status = "not_found"   // of a lookup: no claim is known
	Invalid    Status = "invalid"     // the command lacks a field or its kind is unknown
)

// Result is the outcome of a Command.
type Result struct {
	Status    Status        `json:"status"`
	Attempt   string        `json:"attempt,omitempty"` // attempt that holds or held the key
	Entry     string        `json:"entry,omitempty"`   // entry host of that attempt
	Remaining time.Duration `json:"rest,omitempty"`    // of InProgress: time until the outcome counts as unknown
	Answer    *StoredAnswer `json:"answer,omitempty"`  // of Stored
}
