// Package engineapi defines the messages that endpoints publish and accept:
// announcements, load reports, cache events and orders. It holds types and
// constants only; it makes no calls and keeps no state.
//
// All messages travel as JSON over HTTP. Sizes of engine memory are counted in KV
// blocks of KVBlockTokens tokens.
package engineapi

import "time"

// KVBlockTokens is the number of tokens whose keys and values one KV block holds.
const KVBlockTokens = 2000

// Paths of the HTTP calls that an endpoint serves.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathLoad            = "/engine/load"         // GET, answers LoadReport
	PathCacheEvents     = "/engine/cache-events" // GET ?after=SEQ, answers CacheEventPage
	PathOrders          = "/engine/orders"       // POST Order, answers OrderStatus; GET /engine/orders/{id}
	PathState           = "/engine/state"        // GET, answers EngineState
	PathCancel          = "/engine/cancel"       // POST CancelRequest
	PathKVExport        = "/engine/kv/export"    // POST KVTransfer, answers KVHandle
	PathKVImport        = "/engine/kv/import"    // POST KVHandle, answers 204
)

// PathAnnounce is the HTTP call that an entry host serves for endpoints: POST
// Announcement, answers AnnounceReply.
const PathAnnounce = "/v1/announce"

// Headers on requests to endpoints and on their answers.
const (
	HeaderRequestID      = "X-Request-Id"      // caller-visible request identifier, echoed
	HeaderAttemptID      = "X-Attempt-Id"      // one per attempt, echoed on the answer
	HeaderIdempotencyKey = "Idempotency-Key"   // passed on to plain services
	HeaderPriority       = "X-Priority"        // integer, 0 is the most urgent
	HeaderDeadline       = "X-Deadline-Ms"     // milliseconds left when the attempt was sent
	HeaderResumeFrom     = "X-Resume-From"     // number of output tokens already delivered; they are not sent again
	HeaderKVHandle       = "X-KV-Handle"       // identifier of an imported KV cache to start from
	HeaderPrefillOnly    = "X-Prefill-Only"    // "1" computes the prompt's KV cache and answers a KVHandle
	HeaderEngineLoad     = "X-Engine-Load"     // LoadReport as compact JSON on every answer
	HeaderFencingNumber  = "X-Fencing-Number"  // fencing number of the lease under which the order was sent
	HeaderIncarnation    = "X-Incarnation"     // incarnation of the endpoint instance that answered
	HeaderTokensPrompt   = "X-Tokens-Prompt"   // prompt tokens counted by the engine
	HeaderTokensCached   = "X-Tokens-Cached"   // prompt tokens found in the prefix cache
	HeaderRunDisposition = "X-Run-Disposition" // "not_run" on a refusal before any work
)

// Kind tells what an endpoint instance runs.
type Kind string

// Kinds of endpoint instances.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Role is the part of a request that a model engine computes.
type Role string

// Roles of model engines.
const (
	RoleMixed   Role = "mixed"   // runs whole requests
	RolePrefill Role = "prefill" // computes prompts, exports their KV cache
	RoleDecode  Role = "decode"  // imports KV caches, generates output
)

// Announcement is the heartbeat of one endpoint instance. It renews the
// instance's lease at the entry hosts of its availability zone.
type Announcement struct {
	Instance     string        `json:"instance"`    // stable identifier of the instance
	Incarnation  uint64        `json:"incarnation"` // increases with every start of the instance
	Sequence     uint64        `json:"sequence"`    // increases with every announcement of an incarnation
	Endpoint     string        `json:"endpoint"`    // name of the endpoint that the instance belongs to; empty for model engines that serve declared models
	Kind         Kind          `json:"kind"`
	Zone         string        `json:"zone"`    // availability zone
	Address      string        `json:"address"` // host:port by IP number
	KVBlocks     int           `json:"pieces"`  // size of engine memory, in KV blocks
	ChecksFence  bool          `json:"checks_fence"`
	Draining     bool          `json:"draining"` // true once the instance starts to leave
	LeaseSeconds float64       `json:"lease_seconds"`
	State        EngineState   `json:"state"`
	Load         LoadReport    `json:"load"`
	SentAt       time.Duration `json:"sent_at"` // sender's monotonic clock; only differences have meaning
}

// AnnounceReply is an entry host's answer to an Announcement.
type AnnounceReply struct {
	Accepted bool     `json:"accepted"`
	Reason   string   `json:"reason,omitempty"`
	Peers    []string `json:"peers,omitempty"` // other entry hosts of the zone to announce to
}

// EngineState is the role, the loaded models and the current order of an engine.
type EngineState struct {
	Role        Role        `json:"role"`
	Models      []Model     `json:"models"`
	Fence       uint64      `json:"fence"`                 // highest fencing number accepted
	Outstanding OrderStatus `json:"outstanding,omitempty"` // order under way; ID is empty when there is none
	LastOrder   OrderStatus `json:"last_order,omitempty"`
	Drained     bool        `json:"drained,omitempty"` // an order told the engine to take no new work
}

// Model is one model that an engine has loaded, with its adapters.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// LoadReport is the load of an engine. Entry hosts receive it with a delay.
type LoadReport struct {
	Sequence       uint64  `json:"seq"`             // increases with every report of an incarnation
	Running        int     `json:"running"`         // requests in the batch
	Queued         int     `json:"queued"`          // requests accepted and waiting
	QueuedPrefill  int     `json:"queued_prefill"`  // prompt tokens not yet computed
	UsedKVBlocks   int     `json:"used_pieces"`     // KV blocks in use by running requests
	CachedKVBlocks int     `json:"cached_pieces"`   // KV blocks that hold evictable prefixes
	StepMillis     float64 `json:"step_ms"`         // recent duration of one decode step
	PrefillPerSec  float64 `json:"prefill_per_sec"` // recent prompt tokens computed per second
	DecodePerSec   float64 `json:"decode_per_sec"`  // recent output tokens generated per second
	AgeMillis      int64   `json:"age_ms"`          // age of the figures when the report was sent
	CacheEventsSeq uint64  `json:"cache_seq"`       // sequence of the newest cache event
}

// CacheEventKind tells what happened to a cached prefix block or to the whole cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent reports that one prefix block was stored or removed, or that the whole
// cache was cleared; Model and Prefix are then empty. Prefix is the chained hash of
// the prompt up to the end of the block, see PrefixHashes in package prefix.
type CacheEvent struct {
	Sequence uint64         `json:"seq"`
	Kind     CacheEventKind `json:"kind"`
	Model    string         `json:"model"`
	Prefix   uint64         `json:"prefix"`
}

// CacheEventPage is a page of cache events. Complete is false when events
// between the requested sequence and the first one of the page were dropped;
// the reader has then lost events and must use Snapshot.
type CacheEventPage struct {
	Incarnation uint64       `json:"incarnation"`
	Complete    bool         `json:"complete"`
	Events      []CacheEvent `json:"events"`
	Snapshot    []CacheEvent `json:"snapshot,omitempty"` // all stored prefixes, when Complete is false
	Next        uint64       `json:"next"`               // value of after in the next request
}

// OrderKind tells what an order changes.
type OrderKind string

// Kinds of orders.
const (
	OrderSetRole     OrderKind = "set_role"
	OrderLoadModel   OrderKind = "load_model" // model, version and adapters
	OrderUnloadModel OrderKind = "unload_model"
	OrderDrain       OrderKind = "drain" // accept no new work
	OrderUndrain     OrderKind = "undrain"
)

// Order tells an engine to change. An engine runs one order at a time.
type Order struct {
	ID             string    `json:"id"`    // unique; a repeated ID runs nothing and returns the state of the first order
	Fence          uint64    `json:"fence"` // fencing number of the sender's lease
	Kind           OrderKind `json:"kind"`
	Role           Role      `json:"role,omitempty"`
	Model          Model     `json:"model,omitempty"`
	DeadlineMillis int64     `json:"deadline_ms"` // the engine refuses to start the order later than this after receipt
	Incarnation    uint64    `json:"incarnation"` // incarnation of the engine that the order is meant for; others reject it
}

// OrderPhase is the progress of an order.
type OrderPhase string

// Phases of an order.
const (
	OrderRunning  OrderPhase = "running"
	OrderDone     OrderPhase = "done"
	OrderFailed   OrderPhase = "failed"
	OrderRejected OrderPhase = "rejected"
)

// OrderStatus is the state of one order at an engine.
type OrderStatus struct {
	ID     string     `json:"id"`
	Fence  uint64     `json:"fence"`
	Kind   OrderKind  `json:"kind"`
	Phase  OrderPhase `json:"phase"`
	Reason string     `json:"reason,omitempty"` // for failed and rejected: the cause and the remedy
}

// CancelRequest ends one attempt at an engine.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// KVTransfer asks an engine to export the KV cache of an attempt.
type KVTransfer struct {
	AttemptID string `json:"attempt_id"`
}

// KVHandle names an exported KV cache. The importing engine fetches it directly
// from Source; the cache never passes through an entry host.
type KVHandle struct {
	ID     string `json:"id"`
	Source string `json:"source"` // host:port of the exporting engine
	Tokens int    `json:"tokens"` // prompt and output tokens covered
	Model  string `json:"model"`
}

// CompletionRequest is the part of an OpenAI-compatible completion request
// that the system reads. Either Prompt or Messages is set.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one choice of a completion answer or of a streamed chunk. Text is
// set for text completions, Message for whole chats, Delta for streamed chats.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a whole answer or one streamed chunk. A streamed chunk holds
// exactly one output token except the last one, which holds the finish reason.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}
