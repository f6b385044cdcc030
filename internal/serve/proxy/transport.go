package proxy

import (
	"net"
	"net/http"
	"time"

	"filberthook/internal/process/tomltime"
)

// TransportSettings bound the connections to endpoints.
type TransportSettings struct {
	DialTimeout  tomltime.Duration `toml:"dial_timeout"`
	IdlePerHost  int               `toml:"idle_per_host"` // connections kept open to one instance
	IdleTimeout  tomltime.Duration `toml:"idle_timeout"`
	MaxHeaderLen int64             `toml:"max_header_bytes"` // of an answer
}

// DefaultTransport returns the settings used when none are set.
func DefaultTransport() TransportSettings {
	return TransportSettings{
		DialTimeout:  tomltime.Of(time.Second),
		IdlePerHost:  256,
		IdleTimeout:  tomltime.Of(30 * time.Second),
		MaxHeaderLen: 64 << 10,
	}
}

// newTransport returns a transport that keeps connections open, for repeatable
// requests. It follows no redirects and decompresses nothing.
func newTransport(s TransportSettings) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: s.DialTimeout.Duration}).DialContext,
		MaxIdleConnsPerHost:    s.IdlePerHost,
		IdleConnTimeout:        s.IdleTimeout.Duration,
		MaxResponseHeaderBytes: s.MaxHeaderLen,
		DisableCompression:     true,
	}
}

// newSingleUseTransport returns a transport for non-repeatable requests. Every
// request has a connection of its own: a kept one may be closed by the instance
// at the moment of its reuse, and it would then not be known whether the
// request arrived. The standard library also sends a request with an
// idempotency key again by itself on a kept connection, never on a new one.
func newSingleUseTransport(s TransportSettings) *http.Transport {
	t := newTransport(s)
	t.DisableKeepAlives = true
	return t
}
