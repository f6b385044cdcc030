// Package dialect defines the interface that maps requests and answers to a platform's
// header names and bodies, so that an entry host does not depend on them.
package dialect

import (
	"net/http"
	"time"

	"filberthook/internal/engines/notice"
)

// PrefixBlock is a part of a prompt. Prompts that start with the same blocks can share the KV
// cache of these blocks.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// Meta is what a caller's header says about a request.
type Meta struct {
	ID           string        // request ID, new for each attempt of the caller
	Deadline     time.Duration // how long the caller waits, 0 if unknown
	Caller       string        // the caller's credentials, empty if it sends none; never logged
	Key          string        // of a client account, empty if it sends none; never logged
	Model        string
	PromptTokens int
	OutputTokens int           // limit of generated tokens
	LengthHint   int           // generated tokens that the caller expects, 0 if unknown
	PrefixBlocks []PrefixBlock // of the whole prompt; the last one is the request's own
	LastEventID  string        // set if the caller resumes a stream
}

// SendOptions is what this system adds to a request to an endpoint instance.
type SendOptions struct {
	Instance    string        // ID of the only instance that may run the request
	Deadline    time.Duration // after this time the instance cancels the request
	Priority    int           // in the instance's queue, 0 is the most urgent
	ModelEngine bool          // the instance is a model engine
	PrefillOnly bool          // compute the prompt's KV cache and no output
	KVSource    string        // location of the prompt's KV cache, from Dialect.KVSource
	FetchFrom   string        // address of an engine to fetch cached prefix blocks from
	LastEventID string        // a resumed stream continues after this event
	// Keyed is set if the configuration lists client accounts: the caller's credentials are
	// removed, and the instance is told the account.
	Keyed   bool
	Account string // name of the client account, empty for none
}

// Answer is what the header of an instance's answer says.
type Answer struct {
	RequestID   string
	NotRun      bool          // the instance did not run the request
	Signed      bool          // carries an endpoint's signature
	Misdirected bool          // the instance that answered is not SendOptions.Instance
	Notice      notice.Notice // about the instance itself
}

// KVHandle identifies the KV cache that a prefill left at its engine.
type KVHandle struct {
	ID     string
	Tokens int
}

// Dialect decodes and encodes headers and bodies of a platform.
type Dialect interface {
	// DecodeRequest decodes a caller's header. Malformed values count as absent.
	DecodeRequest(h http.Header) Meta
	// EncodeRequest returns the header of a request to an instance. Fields reserved for this
	// system come from s, never from the caller.
	EncodeRequest(caller http.Header, s SendOptions) http.Header
	// DecodeAnswer decodes the status and header of an instance's answer.
	DecodeAnswer(status int, h http.Header) Answer
	// DecodeHandle decodes the body of the answer to a prefill.
	DecodeHandle(body []byte) (KVHandle, error)
	// KVSource returns the value of SendOptions.KVSource for a handle at an engine.
	KVSource(address string, h KVHandle) string
	// Free returns the request that frees a handle at its engine.
	Free(h KVHandle) (method, path string)
}
