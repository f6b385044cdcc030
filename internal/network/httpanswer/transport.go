package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Transport is an http.RoundTripper over net/http's transport that returns only answers that may be taken
// for one. The body of an answer that may be a part only ends with an *UnknownEndError.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport over base, which must not be used otherwise. Heads are
// limited to MaxHeadBytes unless base has another limit.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, readEnded: make(chan struct{})}, nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	return &Transport{base: base}
}

// NewClient returns a client that bounds a call, with its answer, by timeout. It does not
// follow redirects.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		Transport:     NewTransport(http.DefaultTransport.(*http.Transport).Clone()),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. It returns a *MalformedError for an answer that Check does not
// accept, and closes its connection.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	e := &exchange{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:        e.gotConn,
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return checkNames(fields) },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { e.written.Store(info.Err == nil) },
	})
	answer, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(answer); err != nil {
		e.close()
		answer.Body.Close()
		return nil, err
	}
	if EndsWithConnection(answer) {
		answer.Body = &body{ReadCloser: answer.Body, exchange: e}
	}
	return answer, nil
}

// exchange is one request and its answer.
type exchange struct {
	written atomic.Bool // all of the request but what a buffer holds

	mu   sync.Mutex
	conn *conn // guarded by mu; nil until there is one
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.written.Store(false) // the transport sends some requests once more
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = connBelow(info.Conn)
	if e.conn != nil {
		e.conn.beginHead()
	}
}

func (e *exchange) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}

var errNotWritten = errors.New("the request was not written")

// end returns why an answer that has ended with its connection may be a part only, nil if it is whole.
func (e *exchange) end() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		if err := e.conn.endWriting(); err != nil {
			return &UnknownEndError{err}
		}
	}
	if !e.written.Load() {
		return &UnknownEndError{errNotWritten}
	}
	return nil
}

// body is the body of an answer that ends with its connection.
type body struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if unknown := b.exchange.end(); unknown != nil {
			return n, unknown
		}
	}
	return n, err
}

// conn is a connection of a Transport.
type conn struct {
	net.Conn

	headMu sync.Mutex
	old    oldHead // of the latest exchange; guarded by headMu

	writeMu  sync.Mutex // held by a write
	writeErr error      // the first one; guarded by writeMu

	readEnd   sync.Once
	readEnded chan struct{} // closed when nothing more can be read
}

// NetConn returns the connection below, as *tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

// connBelow returns the conn below wrappers such as *tls.Conn, nil if there is none.
func connBelow(c net.Conn) *conn {
	for {
		if found, ok := c.(*conn); ok {
			return found
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

func (c *conn) beginHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.old.begin(nil)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endReading()
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.old.note(p[:n])
	if malformed := c.old.check(); malformed != nil {
		return 0, malformed
	}
	return n, err
}

func (c *conn) endReading() { c.readEnd.Do(func() { close(c.readEnded) }) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.endReading()
	return c.Conn.Close()
}

// Write implements net.Conn. An instance may answer before it has read the request, and close the
// connection. net/http closes it at an error of a write, also while an answer waits to be read, so a reset
// is returned once nothing more can be read, or after maxHold: the handshake of TLS reads and writes in
// turn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		timer := time.NewTimer(maxHold)
		defer timer.Stop()
		select {
		case <-c.readEnded:
		case <-timer.C:
		}
	}
	return n, err
}

// maxHold bounds the time to read an answer that was sent before a reset. Its bytes are in the socket.
const maxHold = time.Second

func (c *conn) write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

// endWriting ends a write that is under way and returns the first error of all writes.
func (c *conn) endWriting() error {
	_ = c.SetWriteDeadline(past) // fails only if the connection has ended
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}
