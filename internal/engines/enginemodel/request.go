package enginemodel

import (
	"fmt"
	"time"
)

// Request is one request to an engine.
type Request struct {
	ID             string // unique among the requests that the engine holds
	Model          string
	Adapter        string   // empty for none
	Prefixes       []uint64 // chained hash of the prompt up to the end of each whole KV block
	PromptTokens   int
	OutputTokens   int  // whole length of the answer, including the part before ResumeFrom
	Priority       int  // 0 is the most urgent
	PrefillOnly    bool // computes the prompt and generates nothing
	ImportedTokens int  // tokens covered by an imported KV cache
	ResumeFrom     int  // output tokens that the caller already has; they are not generated again
}

// EventKind tells what happened to a request.
type EventKind uint8

// Kinds of events.
const (
	EventToken       EventKind = iota + 1 // output token number Token was generated
	EventPrefillDone                      // the whole prompt is computed
	EventFinished                         // the last token was generated, or the prompt of a PrefillOnly request computed
	EventPaused                           // memory ran out; the request waits and resumes by itself
	EventResumed                          // a paused request runs again
	EventAborted                          // an order aborted the request after it began to run
	EventNotRun                           // an order removed the request before it began to run
)

// String implements fmt.Stringer.
func (k EventKind) String() string {
	names := [...]string{"none", "token", "prefill_done", "finished", "paused", "resumed", "aborted", "not_run"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("event(%d)", uint8(k))
}

// Event is one change of one request.
type Event struct {
	Kind         EventKind
	Request      string
	Token        int // index of the output token, for EventToken
	CachedTokens int // prompt tokens found in the prefix cache, for EventPrefillDone
	At           time.Duration
}

// RefusalReason tells why an engine did not take a request.
type RefusalReason string

// Reasons for refusals. None of them leaves any work behind.
const (
	RefusedDraining  RefusalReason = "draining"
	RefusedChanging  RefusalReason = "changing"
	RefusedModel     RefusalReason = "model_not_loaded"
	RefusedAdapter   RefusalReason = "adapter_not_loaded"
	RefusedRole      RefusalReason = "wrong_role"
	RefusedTooLarge  RefusalReason = "exceeds_memory"
	RefusedDuplicate RefusalReason = "duplicate_id"
)

// RefusedError reports that an engine did not take a request and did no work
// for it.
type RefusedError struct {
	Request string
	Reason  RefusalReason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused request %s (%s), not run: %s", e.Request, e.Reason, e.Reason.remedy())
}

func (r RefusalReason) remedy() string {
	switch r {
	case RefusedDraining, RefusedChanging:
		return "send it to another engine"
	case RefusedModel, RefusedAdapter:
		return "send it to an engine that carries the model and adapter"
	case RefusedRole:
		return "send it to an engine whose role fits, or export the prompt's KV cache first"
	case RefusedTooLarge:
		return "shorten the prompt or the answer, or use an engine with more memory"
	default:
		return "use a new attempt identifier"
	}
}

// sequenceState is the stage that a request has reached in the engine.
type sequenceState uint8

const (
	stateQueued  sequenceState = iota // waits for memory and a place in the batch
	statePrefill                      // runs, its prompt is being computed
	stateDecode                       // runs, generates one token per step
)

// sequence is one request that the engine holds.
type sequence struct {
	req     Request
	arrival uint64        // order of arrival, breaks ties between equal priorities
	readyAt time.Duration // when its imported KV cache has arrived
	state   sequenceState
	started bool // true once it was admitted; from then on it cannot be reported as not run
	paused  bool

	computed      int        // context tokens whose KV cache the engine holds
	target        int        // context tokens to compute before the next token can be generated
	generated     int        // output tokens generated, including those before ResumeFrom
	cachedHit     int        // prompt tokens found in the prefix cache at the last admission
	privateBlocks int        // KV blocks that only this request uses
	pinned        []cacheKey // cache entries of its prompt; their blocks count as used
}

// moreUrgent reports whether a is admitted before b.
func (a *sequence) moreUrgent(b *sequence) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority < b.req.Priority
	}
	return a.arrival < b.arrival
}

// kvBlocks returns the number of KV blocks that the request uses.
func (s *sequence) kvBlocks() int { return s.privateBlocks + len(s.pinned) }
