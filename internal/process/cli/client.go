package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"

	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/control/operator"
	"filberthook/internal/network/httpanswer"
	"filberthook/internal/process/pause"
)

// Timing of calls to control hosts.
const (
	attemptTimeout = 12 * time.Second
	retryPause     = 200 * time.Millisecond
)

// control calls the control hosts in turn.
type control struct {
	hosts []filberthookv1connect.OperatorServiceClient
	names []string
}

// connect returns clients of the control hosts named by --address.
func (a *app) connect() (*control, error) {
	key, err := a.key()
	if err != nil {
		return nil, err
	}
	transport, err := a.transport()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: httpanswer.NewTransport(transport)}
	c := &control{}
	for _, address := range a.options.addresses {
		for _, one := range strings.Split(address, ",") {
			url := a.url(one)
			c.names = append(c.names, url)
			c.hosts = append(c.hosts, filberthookv1connect.NewOperatorServiceClient(client, url, bearer(key), connect.WithReadMaxBytes(maxControlAnswerBytes)))
		}
	}
	return c, nil
}

func (a *app) url(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	if a.options.caFile != "" {
		return "https://" + address
	}
	return "http://" + address
}

// key reads the operator's key from a file or the environment, never from arguments.
func (a *app) key() (string, error) {
	if a.options.keyFile == "" {
		key := os.Getenv("FILBERTHOOK_KEY")
		if key == "" {
			return "", usage("no operator key is set; name a file with --key-file or set FILBERTHOOK_KEY")
		}
		return key, nil
	}
	data, err := os.ReadFile(a.options.keyFile)
	if err != nil {
		return "", usage("read the operator key: %w; correct --key-file", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (a *app) transport() (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if a.options.caFile == "" {
		return transport, nil
	}
	data, err := os.ReadFile(a.options.caFile)
	if err != nil {
		return nil, usage("read the CA: %w; correct --ca", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, usage("%s holds no certificate; name the ca.pem of `filberthook keys ca`", a.options.caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	return transport, nil
}

// bearer adds the operator's key to every call.
func bearer(key string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, req)
		}
	}))
}

// noAnswerError reports that none of the called hosts answered.
type noAnswerError struct {
	names []string
	err   error
	sent  bool // a host may have executed the call
}

// Error implements error.
func (e *noAnswerError) Error() string {
	if e.sent {
		return fmt.Sprintf("no answer from %s: %v; send the same change again with the same --change-id", strings.Join(e.names, ", "), e.err)
	}
	return fmt.Sprintf("no control host at %s answered: %v; check --address and the hosts, nothing was changed", strings.Join(e.names, ", "), e.err)
}

// Unwrap returns the cause.
func (e *noAnswerError) Unwrap() error { return e.err }

// call tries the hosts in turn until one answers or ctx ends. Calls must be safe to
// repeat: changes carry a change id.
func call[Req, Resp any](ctx context.Context, c *control, req *Req,
	method func(filberthookv1connect.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	var last error
	sent := false
	for {
		for _, host := range c.hosts {
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
			resp, err := method(host, attempt, connect.NewRequest(req))
			cancel()
			if err == nil {
				return resp.Msg, nil
			}
			if final(err) {
				return nil, err
			}
			last = err
			sent = sent || maybeApplied(err)
		}
		if !pause.For(ctx, retryPause) {
			return nil, &noAnswerError{names: c.names, err: last, sent: sent}
		}
	}
}

// final reports whether another host would give the same answer.
func final(err error) bool {
	d := operator.DetailOf(err)
	if d == nil {
		switch connect.CodeOf(err) {
		case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown:
			return false
		}
		return true
	}
	return d.Reason != operator.ReasonUnavailable && d.Reason != operator.ReasonOutcomeUnknown
}

// maybeApplied reports whether a failed call may have taken effect.
func maybeApplied(err error) bool {
	if d := operator.DetailOf(err); d != nil {
		return d.Reason == operator.ReasonOutcomeUnknown
	}
	return !refusedConnection(err)
}

// refusedConnection reports whether no connection was made, so that the host
// cannot have received the call.
func refusedConnection(err error) bool {
	var op interface{ Timeout() bool }
	return strings.Contains(err.Error(), "connect: connection refused") && !(errors.As(err, &op) && op.Timeout())
}
