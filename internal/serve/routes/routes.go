// Package routes holds the configuration that tells an entry host which requests
// it serves: routes by host and path prefix, the endpoints behind them, and the
// limits of callers. A Config is complete and immutable; a new one replaces it.
package routes

import "time"

// Kind tells how often a request may run.
type Kind uint8

const (
	Unsafe Kind = iota // at most once for each attempt of a caller
	Safe               // may run more than once
	Stream             // a series of events; at most once unless the route is resumable
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Config is one whole configuration.
type Config struct {
	Version   uint64 // a higher one replaces a lower one
	Routes    []Route
	Endpoints map[string]Endpoint // by name
	Limits    Limits
}

// Route sends the requests of a host and path prefix to endpoints.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind

	Timeout  time.Duration // longest time without a final answer
	Goal     time.Duration // time to the answer, or to the first event, that earns full credit
	GapGoal  time.Duration // longest pause between two events that is still on time
	Priority int           // 0 is the most urgent

	Shares         []Share // at least one
	MaxAttempts    int     // endpoint instances that one attempt of a caller may run on
	PromptMetadata bool    // requests carry model, token counts and prompt parts
	Resumable      bool    // a broken stream may go on at another instance
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that an endpoint gets.
type Share struct {
	Endpoint string
	Weight   float64
}

// Endpoint is a service that instances announce themselves for.
type Endpoint struct {
	Name           string
	MaxConnections int     // that one instance accepts from all callers together; 0 when not given
	Engine         *Engine // nil for a plain service
}

// Engine describes the model engines of an endpoint.
type Engine struct {
	Slots           int           // requests that run at once
	KVTokens        int           // tokens that running requests and cached prompt parts share
	TokenBytes      int64         // bytes of KV cache for each token
	LinkMbps        float64       // link between engines, in Mbit/s
	HandleTTL       time.Duration // time for which a prefilled KV cache is kept for its taker
	StageChangeTime time.Duration // time without service when an engine changes its stage
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for a caller to send a header
	IdleTimeout   time.Duration // of a caller's connection between requests
}
