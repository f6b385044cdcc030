// Package dialect defines how an entry host reads callers' requests and speaks to
// endpoint instances, without the names that a platform uses on the wire.
package dialect

import (
	"net/http"
	"time"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Meta is what a caller says of a request.
type Meta struct {
	ID           string        // of this attempt of the caller
	Deadline     time.Duration // how long the caller waits, 0 when not said
	Model        string
	PromptTokens int
	OutputTokens int // most that may be generated
	LengthHint   int // tokens that the caller expects to be generated, 0 when not said
	Parts        []Part
	LastEventID  string // of a stream that the caller resumes
}

// Send is what the system adds to a request for one endpoint instance.
type Send struct {
	Instance    string        // the only instance that may run it
	Deadline    time.Duration // after which the instance stops
	Priority    int           // at the instance, 0 is the most urgent
	Model       bool          // the instance is a model engine
	Prefill     bool          // read the prompt only
	Source      string        // where the prompt's KV cache is, as Handle.Source
	Fetch       string        // address of an engine to fetch kept prompt parts from
	LastEventID string        // a resumed stream goes on after this event
}

// Answer is what the header of an answer says.
type Answer struct {
	RequestID string
	NotRun    bool // the instance has not run the request
	Signed    bool // bears an endpoint's signature
	Moved     bool // another instance answered than the one asked for
}

// Handle names a KV cache that a prefill left at its engine.
type Handle struct {
	ID     string
	Tokens int
}

// Dialect reads and writes the wire's names.
type Dialect interface {
	// Decode reads a caller's header. Values that cannot be read count as absent.
	Decode(h http.Header) Meta
	// Encode returns the header of a request to an instance. What only the system
	// may say is taken from s, never from the caller.
	Encode(caller http.Header, s Send) http.Header
	// Answer reads the header of an instance's answer.
	Answer(status int, h http.Header) Answer
	// Handle reads the body of the answer to a prefill.
	Handle(body []byte) (Handle, error)
	// Source names a handle at the engine of an address.
	Source(address string, h Handle) string
	// Free returns the call that frees a handle at its engine.
	Free(h Handle) (method, path string)
}
