package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Client calls one peer over a single connection, which it dials on demand.
type Client struct {
	addr string
	opts Options

	received atomic.Uint64 // bytes, on all connections

	mu         sync.Mutex     // guards the fields below
	conn       *jsonrpc2.Conn // nil when not connected
	dialing    chan struct{}  // closed when the dial in progress ends; nil if none
	nextDialAt time.Time      // earliest time of the next dial after a failed one
	lastErr    error
	closed     bool
}

// NewClient returns a Client of the process at addr (host:port by IP number).
func NewClient(addr string, opts Options) *Client {
	return &Client{addr: addr, opts: opts.withDefaults()}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.addr }

// Received returns how many bytes have come from the peer.
func (c *Client) Received() uint64 { return c.received.Load() }

// Call calls method and waits for its result. An UnreachableError means that the call
// was not sent, a RemoteError that the peer answered with an error. After any other error
// the call may have run.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
		defer cancel()
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Address: c.addr, Err: err}
	}
	err = conn.Call(ctx, method, params, result)
	// After a timeout the connection may be dead although it was not reset.
	timedOut := c.opts.DropOnTimeout && errors.Is(err, context.DeadlineExceeded)
	if errors.Is(err, jsonrpc2.ErrClosed) || timedOut {
		c.drop(conn)
	}
	return remoteError(err)
}

// Notify sends method without waiting for an answer; it may be lost.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Address: c.addr, Err: err}
	}
	err = conn.Notify(ctx, method, params)
	if err != nil {
		c.drop(conn)
	}
	return err
}

// Close ends the connection; later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn == nil {
		return nil
	}
	conn := c.conn
	c.conn = nil
	return conn.Close()
}

// Disconnect ends the connection and the calls on it; the next call dials a new one.
func (c *Client) Disconnect() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

// drop closes a failed connection, so that the next call dials a new one.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}

// connect returns the open connection or dials one. Only one goroutine dials;
// the others wait for it without holding the lock.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		c.mu.Lock()
		if conn, err, done := c.currentConn(); done {
			c.mu.Unlock()
			return conn, err
		}
		if c.dialing == nil {
			c.dialing = make(chan struct{})
			c.mu.Unlock()
			return c.dialAndStore()
		}
		wait := c.dialing
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// currentConn returns the open connection, or an error if the client is closed or must
// not dial yet. done is false if a dial is needed or in progress. The caller holds c.mu.
func (c *Client) currentConn() (conn *jsonrpc2.Conn, err error, done bool) {
	if c.closed {
		return nil, net.ErrClosed, true
	}
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			return c.conn, nil, true
		}
	}
	if c.dialing == nil && time.Now().Before(c.nextDialAt) {
		return nil, c.lastErr, true
	}
	return nil, nil, false
}

func (c *Client) dialAndStore() (*jsonrpc2.Conn, error) {
	conn, err := c.dial()
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	if err == nil && c.closed {
		conn.Close()
		return nil, net.ErrClosed
	}
	if err != nil {
		c.lastErr = err
		c.nextDialAt = time.Now().Add(c.opts.RedialDelay)
		return nil, err
	}
	c.conn = conn
	return conn, nil
}

// dial connects, sets up TLS and performs the handshake.
func (c *Client) dial() (*jsonrpc2.Conn, error) {
	raw, err := c.opts.Dial("tcp", c.addr, c.opts.DialTimeout)
	if err != nil {
		return nil, err
	}
	raw = &countedConn{raw, &c.received}
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.DialTimeout)
	defer cancel()
	secured, err := c.secure(ctx, raw)
	if err != nil {
		raw.Close()
		return nil, err
	}
	wrapped := &deadlineConn{Conn: secured, writeTimeout: c.opts.WriteTimeout}
	stream := jsonrpc2.NewBufferedStream(wrapped, codec{maxBytes: c.opts.MaxMessageBytes})
	conn := jsonrpc2.NewConn(context.Background(), stream, refuseCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	h := hello{Identity: c.opts.Self, ProtocolMin: ProtocolMin, ProtocolMax: ProtocolMax}
	var w welcome
	if err := conn.Call(ctx, methodHello, h, &w); err != nil {
		conn.Close()
		return nil, remoteError(err)
	}
	return conn, nil
}

func (c *Client) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if c.opts.TLS == nil {
		return raw, c.opts.allowPlaintext(raw.RemoteAddr())
	}
	cfg := c.opts.TLS.Clone()
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(c.addr)
		if err != nil {
			return nil, err
		}
		cfg.ServerName = host
	}
	tc := tls.Client(raw, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return tc, nil
}

// countedConn counts the bytes that it reads.
type countedConn struct {
	net.Conn
	received *atomic.Uint64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// refuseCalls refuses calls that the server makes to the client.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: CodeNoSuchCall, Message: "this end serves no calls"})
}
