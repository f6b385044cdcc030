package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"

	"filberthook/internal/process/invariant"
	"filberthook/internal/process/loglimit"
	"filberthook/internal/process/pause"
)

// Server accepts connections from other processes and serves the calls of a Mux.
type Server struct {
	opts  Options
	mux   *Mux
	lines loglimit.Limiter

	refusedPlaintext  *metrics.Counter
	refusedTLS        *metrics.Counter
	refusedFull       *metrics.Counter
	refusedHello      *metrics.Counter
	refusedBusy       *metrics.Counter
	connectionsServed *metrics.Counter
}

// NewServer returns a Server; Serve starts it.
func NewServer(opts Options, mux *Mux) *Server {
	opts = opts.withDefaults()
	refused := func(reason string) *metrics.Counter {
		return opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`filberthook_peer_refused_total{reason=%q}`, reason))
	}
	return &Server{
		opts:              opts,
		mux:               mux,
		refusedPlaintext:  refused("plaintext"),
		refusedTLS:        refused("tls"),
		refusedFull:       refused("connections_full"),
		refusedHello:      refused("hello"),
		refusedBusy:       refused("calls_full"),
		connectionsServed: opts.Metrics.GetOrCreateCounter("filberthook_peer_connections_total"),
	}
}

// Pauses after a failed accept, which doubles. Accepting fails for a while when there are no
// free file descriptors, for example.
const (
	firstAcceptPause = 5 * time.Millisecond
	maxAcceptPause   = time.Second
)

// Serve accepts connections until ctx is done, then closes them and the listener and returns
// nil. It returns an error if the listener is closed before.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var conns sync.WaitGroup
	defer conns.Wait()
	closed := make(chan struct{})
	defer func() { <-closed }()
	defer cancel()
	context.AfterFunc(ctx, func() {
		defer close(closed)
		ln.Close()
	})

	slots := make(chan struct{}, s.opts.MaxConnections)
	delay := firstAcceptPause
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept on %s: %w", ln.Addr(), err)
		case err != nil:
			s.opts.Logger.Warn("peer connection not accepted", "listener", ln.Addr().String(), "pause", delay, "err", err)
			pause.For(ctx, delay)
			delay = min(2*delay, maxAcceptPause)
			continue
		}
		delay = firstAcceptPause
		select {
		case slots <- struct{}{}:
		default:
			s.refusedFull.Inc()
			conn.Close()
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			s.serveConn(ctx, conn)
		})
	}
}

// serveConn serves a connection until it is closed.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	secured, cert, err := s.secure(conn)
	if err != nil {
		s.opts.Logger.Warn("peer connection refused", "remote", conn.RemoteAddr().String(), "err", err)
		conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sess := &session{
		srv:   s,
		cert:  cert,
		slots: make(chan struct{}, s.opts.MaxCalls),
	}
	wrapped := &deadlineConn{Conn: secured, writeTimeout: s.opts.WriteTimeout}
	stream := jsonrpc2.NewBufferedStream(wrapped, codec{maxBytes: s.opts.MaxMessageBytes})
	rpc := jsonrpc2.NewConn(ctx, stream, sess, jsonrpc2.SetLogger(discardLogger{}))
	s.connectionsServed.Inc()
	helloTimer := time.AfterFunc(DefaultHandshakeTimeout, func() {
		if !sess.handshakeDone() {
			s.refusedHello.Inc()
			rpc.Close()
		}
	})
	defer helloTimer.Stop()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	rpc.Close()
	cancel()
	sess.end()
}

// secure performs the TLS handshake, or checks that plaintext is allowed. It returns the
// identity in the client's certificate, an empty one for plaintext.
func (s *Server) secure(conn net.Conn) (net.Conn, Identity, error) {
	if s.opts.TLS == nil {
		if err := s.opts.allowPlaintext(conn.RemoteAddr()); err != nil {
			s.refusedPlaintext.Inc()
			return nil, Identity{}, err
		}
		return conn, Identity{}, nil
	}
	tc := tls.Server(conn, s.opts.TLS)
	ctx, cancel := context.WithTimeout(context.Background(), DefaultHandshakeTimeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		s.refusedTLS.Inc()
		return nil, Identity{}, err
	}
	certs := tc.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		s.refusedTLS.Inc()
		return nil, Identity{}, errors.New("no client certificate: set tls.certificate and tls.key at the peer")
	}
	return tc, certIdentity(certs[0]), nil
}

// session is the server's side of one connection.
type session struct {
	srv   *Server
	cert  Identity // of the client's certificate; not verified without TLS
	slots chan struct{}
	calls sync.WaitGroup
	ended bool // guarded by mu; no new calls are accepted

	mu   sync.Mutex
	from *Identity // guarded by mu; nil until the handshake
}

func (s *session) handshakeDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.from != nil
}

// Handle implements jsonrpc2.Handler. Notifications run in order on the
// reading goroutine; calls run on goroutines of their own, up to MaxCalls.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Method == methodHello {
		s.reply(ctx, conn, req, func() (any, error) { return s.hello(params) })
		return
	}
	s.mu.Lock()
	from := s.from
	s.mu.Unlock()
	if from == nil {
		s.srv.refusedHello.Inc()
		s.reply(ctx, conn, req, func() (any, error) {
			return nil, &jsonrpc2.Error{Code: CodeNoHello, Message: "handshake missing: call " + methodHello + " first"}
		})
		return
	}
	serve := func() (any, error) { return s.srv.mux.serve(ctx, *from, req.Method, params) }
	if req.Notif {
		s.reply(ctx, conn, req, serve)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		s.srv.refusedBusy.Inc()
		s.reply(ctx, conn, req, func() (any, error) {
			return nil, &jsonrpc2.Error{Code: CodeBusy, Message: "too many calls at once, not run: try again later"}
		})
		return
	}
	if !s.beginCall() {
		<-s.slots
		return // the connection is closed, so there is nobody to reply to
	}
	go func() {
		defer s.calls.Done()
		defer func() { <-s.slots }()
		s.reply(ctx, conn, req, serve)
	}()
}

// beginCall registers a call, or returns false if the session has ended: the reader may
// still deliver a call that it read before the connection was closed.
func (s *session) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.calls.Add(1)
	return true
}

// end refuses further calls and waits for those in progress.
func (s *session) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.calls.Wait()
}

func (s *session) hello(params json.RawMessage) (any, error) {
	var h hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, &jsonrpc2.Error{Code: CodeBadParams, Message: err.Error()}
	}
	version, err := negotiate(h)
	if err != nil {
		s.srv.refusedHello.Inc()
		return nil, &jsonrpc2.Error{Code: CodeVersion, Message: err.Error()}
	}
	id := h.Identity
	if s.cert.Verified {
		if h.Host != s.cert.Host || h.Zone != s.cert.Zone {
			s.srv.refusedHello.Inc()
			return nil, &jsonrpc2.Error{Code: CodeIdentity, Message: fmt.Sprintf(
				"host %q of zone %q does not match its certificate, which is for %q of zone %q: issue a certificate for this host",
				h.Host, h.Zone, s.cert.Host, s.cert.Zone)}
		}
		id = s.cert
	}
	s.mu.Lock()
	s.from = &id
	s.mu.Unlock()
	return welcome{Identity: s.srv.opts.Self, Protocol: version}, nil
}

func (s *session) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, serve func() (any, error)) {
	result, err := s.recovering(req.Method, serve)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, wireError(err))
		return
	}
	replyErr := conn.Reply(ctx, req.ID, result)
	switch {
	case replyErr == nil:
	case unsendable(replyErr):
		if omitted, ok := s.srv.lines.Allow("unsendable", time.Now()); ok {
			s.srv.opts.Logger.Warn("result of a call cannot be sent", "method", req.Method, "err", replyErr, "omitted", omitted)
		}
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: CodeApp, Message: fmt.Sprintf("the result of %s cannot be sent: %v", req.Method, replyErr)})
	default:
		s.srv.opts.Logger.Debug("reply not sent", "method", req.Method, "err", replyErr)
	}
}

// unsendable reports whether a reply failed for what it holds, before anything was written.
func unsendable(err error) bool {
	var size *MessageSizeError
	var value *json.UnsupportedValueError
	var marshaler *json.MarshalerError
	return errors.As(err, &size) || errors.As(err, &value) || errors.As(err, &marshaler)
}

// recovering serves a call and turns a panic into its error, as one call that nobody has
// foreseen must not end the process. Broken invariants do end it.
func (s *session) recovering(method string, serve func() (any, error)) (result any, err error) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case *invariant.Violation:
			panic(v)
		default:
			s.srv.opts.Logger.Error("call failed with a panic", "method", method, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			result, err = nil, &jsonrpc2.Error{Code: CodeApp, Message: fmt.Sprintf("%s failed with a panic at the other host, see its log: %v", method, v)}
		}
	}()
	return serve()
}

// discardLogger drops the log lines of package jsonrpc2; errors are returned to callers.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
