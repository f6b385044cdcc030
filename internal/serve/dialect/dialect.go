// Package dialect defines how an entry host reads callers' requests and speaks to
// endpoint instances, without the names that a platform uses on the wire.
package dialect

import (
	"net/http"
	"time"
)

// PrefixBlock is a piece of a prompt that other requests may share.
type PrefixBlock struct {
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
	PrefixBlocks []PrefixBlock
	LastEventID  string // of a stream that the caller resumes
}

// SendOptions is what the system adds to a request for one endpoint instance.
type SendOptions struct {
	Instance    string        // the only instance that may run it
	Deadline    time.Duration // after which the instance stops
	Priority    int           // at the instance, 0 is the most urgent
	ModelEngine bool          // the instance is a model engine
	PrefillOnly bool          // read the prompt only
	KVSource    string        // where the prompt's KV cache is, as Handle.Source
	FetchFrom   string        // address of an engine to fetch kept prompt parts from
	LastEventID string        // a resumed stream goes on after this event
}

// Answer is what the header of an answer says.
type Answer struct {
	RequestID   string
	NotRun      bool // the instance has not run the request
	Signed      bool // bears an endpoint's signature
	Misdirected bool // another instance answered than the one asked for
}

// KVHandle names a KV cache that a prefill left at its engine.
type KVHandle struct {
	ID     string
	Tokens int
}

// Dialect reads and writes the wire's names.
type Dialect interface {
	// DecodeRequest reads a caller's header. Values that cannot be read count as absent.
	DecodeRequest(h http.Header) Meta
	// EncodeRequest returns the header of a request to an instance. What only the system
	// may say is taken from s, never from the caller.
	EncodeRequest(caller http.Header, s SendOptions) http.Header
	// DecodeAnswer reads the header of an instance's answer.
	DecodeAnswer(status int, h http.Header) Answer
	// DecodeHandle reads the body of the answer to a prefill.
	DecodeHandle(body []byte) (KVHandle, error)
	// KVSource names a handle at the engine of an address.
	KVSource(address string, h KVHandle) string
	// Free returns the call that frees a handle at its engine.
	Free(h KVHandle) (method, path string)
}
