// Package routes holds the routing configuration of an entry host: routes by host and
// path prefix, the endpoints behind them, and limits for callers. A Config is complete
// and immutable; a new one replaces it as a whole.
package routes

import "time"

// Kind is how often a request may run.
type Kind uint8

const (
	Unsafe Kind = iota // at most once for each request that the caller sends
	Safe               // may run more than once
	Stream             // streamed events; at most once unless the route is resumable
)

// String returns the name used in logs and metrics.
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

// Config is one complete configuration.
type Config struct {
	Version   uint64 // a higher version replaces a lower one
	Routes    []Route
	Endpoints map[string]Endpoint // by name
	Limits    Limits
	// Keyed is set if the configuration lists client accounts, perhaps none: requests then carry
	// the key of one, except on public routes.
	Keyed    bool
	Accounts []Account
}

// Route sends the requests of a host and path prefix to endpoints.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind

	Timeout  time.Duration // time limit for the whole answer
	Goal     time.Duration // latency of the answer, or of the first event, that still earns full credit
	GapGoal  time.Duration // longest gap between two events that is still on time
	Priority int           // 0 is the most urgent

	Shares         []Share // at least one
	MaxAttempts    int     // endpoint instances that one request of a caller may run on
	PromptMetadata bool    // requests carry model, token counts and prefix blocks
	Resumable      bool    // a broken stream may be resumed at another instance
	Public         bool    // needs no key if the configuration is keyed
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Share is an endpoint's share of a route's requests.
type Share struct {
	Endpoint string
	Weight   float64
}

// Endpoint is a back end that announced instances serve.
type Endpoint struct {
	Name           string
	MaxConnections int        // that one instance accepts in total; 0 if not set
	Engine         *Engine    // nil for a plain service
	Autoscale      *Autoscale // nil if instances are not ordered
}

// Autoscale tells within which bounds and at which prices instances of an endpoint are ordered.
type Autoscale struct {
	Min, Max int           // instances in each zone, regular and preemptible together
	Boot     time.Duration // from an order until the instances serve
	// PreemptiblePrice is the price of a preemptible instance as a share of that of a regular one
	// in the same zone; 0 if none can be ordered.
	PreemptiblePrice float64
	ZonePrices       map[string]float64 // of a regular instance for a second
}

// Engine describes the model engines of an endpoint.
type Engine struct {
	Slots           int           // concurrent requests
	KVTokens        int           // KV cache capacity in tokens, shared by running requests and cached prefix blocks
	TokenBytes      int64         // KV cache bytes per token
	LinkMbps        float64       // link between engines, in Mbit/s
	HandleTTL       time.Duration // time for which a prefilled KV cache is kept until the decode engine fetches it
	StageChangeTime time.Duration // time without service while an engine changes its stage
}

// Limits restrict what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for a caller to send the header of a request
	IdleTimeout   time.Duration // of a caller's connection between requests
}
