package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"filberthook/internal/network/httpanswer"
	"filberthook/internal/network/netopt"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/caller"
)

// TransportSettings are the limits of connections to endpoint instances.
type TransportSettings struct {
	DialTimeout  tomltime.Duration `toml:"dial_timeout"`
	IdlePerHost  int               `toml:"idle_per_host"` // idle connections to one instance
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

// newPooledTransport returns a transport with a connection pool, for repeatable requests.
func newPooledTransport(s TransportSettings) http.RoundTripper { return newTransport(s, true) }

// newTransport returns a transport that neither follows redirects nor decompresses answers.
func newTransport(s TransportSettings, keepAlives bool) http.RoundTripper {
	return httpanswer.NewTransport(&http.Transport{
		DisableKeepAlives:      !keepAlives,
		DialContext:            dialInstance(&net.Dialer{Timeout: s.DialTimeout.Duration}),
		MaxIdleConnsPerHost:    s.IdlePerHost,
		IdleConnTimeout:        s.IdleTimeout.Duration,
		MaxResponseHeaderBytes: s.MaxHeaderLen,
		DisableCompression:     true,
	})
}

// newSingleUseTransport returns a transport for non-repeatable requests. It opens
// a connection for each request: an instance may close an idle connection just when it is
// reused, and then it is unknown whether the request arrived. Also, net/http retries a
// request with an idempotency key by itself on a reused connection, never on a new one.
func newSingleUseTransport(s TransportSettings) http.RoundTripper { return newTransport(s, false) }

// dialInstance returns a function that dials with d.
func dialInstance(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return instanceConn{c}, nil
	}
}

// instanceConn is a connection to an instance. Closing it discards what has not been sent: the
// transport closes a connection that it still writes to only if the request is abandoned.
type instanceConn struct{ net.Conn }

// NetConn returns the connection below, as *tls.Conn does.
func (c instanceConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c instanceConn) Close() error { return netopt.CloseNow(c.Conn) }

// callerCheck sends requests only for callers that are still connected.
type callerCheck struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t callerCheck) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := caller.Check(r.Context()); err != nil {
		if r.Body != nil {
			r.Body.Close()
		}
		return nil, err
	}
	return t.RoundTripper.RoundTrip(r)
}
