package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"filberthook/internal/network/httpanswer"
	"filberthook/internal/network/netopt"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/membudget"
)

// Request is a request to an instance.
type Request struct {
	Method string
	Target string // path and query as the caller wrote them
	Host   string
	Header http.Header
	Body   []byte // nil for none
	// AtMostOnce is set if the request must not run twice. It then uses a new connection
	// or one within a stricter idle limit, as it cannot be retried if an idle connection
	// turns out to be closed.
	AtMostOnce bool
	// ID is what an answer to the request bears. No connection that has carried another
	// request with the same ID is used, as a late answer to that one could not be told apart.
	ID string
	// Alone is set if answers bear no ID and must be told apart: the request is the only one
	// that its connection carries.
	Alone bool
	// Accept reports whether an answer belongs to the request; others are skipped. If the
	// connection has carried other requests, it may be a late one to them. Nil accepts every
	// answer.
	Accept func(answer *http.Response, carried bool) bool
}

const (
	// inlineRequestBytes is the largest request that is written before reading the answer.
	// It fits the smallest send buffer; a larger one could block, and is written by a
	// goroutine of its own.
	inlineRequestBytes = 2 << 10
	// maxSkipped limits the skipped answers that belong to other requests.
	maxSkipped = 2
	// maxInformational limits the informational answers (1xx) of an exchange.
	maxInformational = 8
	// maxBufferedBytes limits the bodies that ReadAll holds at once, of all exchanges, in a process
	// without a budget for them.
	maxBufferedBytes = 48 << 20
	// maxSkippedBytes limits the body of a skipped answer.
	maxSkippedBytes = 1 << 20
)

// Answer is the answer of an instance. The caller must call Close.
type Answer struct {
	*http.Response
	pool           *Pool
	conn           *conn
	ctx            context.Context
	stop           func() bool     // detaches the connection from ctx
	written        chan struct{}   // closed when the request is written or writing has failed
	writeErr       error           // of writing the request; set before written is closed
	bodyRead       bool            // the body was read to its end
	alone          bool            // the connection carries no other request
	carried        bool            // the connection has carried other requests
	memory         *membudget.Hold // of a large head and of the body, nil before it is needed
	tainted        bool            // the connection carried another request's answer
	unacknowledged atomic.Int64    // bytes of the request, when ctx ended
}

// Send sends a request and returns the answer when its header has arrived. The body must
// be read before ctx ends, which closes the connection. Errors are NotSentError, if the
// request did not reach the instance, or LostError.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Answer, error) {
	if err := caller.Check(ctx); err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	c, err := p.get(ctx, address, r)
	if err != nil {
		return nil, &NotSentError{Address: address, Err: err}
	}
	if err := c.mayBegin(ctx); err != nil {
		p.put(c)
		return nil, &NotSentError{Address: address, Err: err}
	}
	a := &Answer{pool: p, conn: c, ctx: ctx, written: make(chan struct{}), alone: r.Alone, carried: c.used}
	c.carry(r.ID)
	a.stop = context.AfterFunc(ctx, func() {
		a.unacknowledged.Store(int64(netopt.Unacknowledged(c.Conn)))
		p.unacknowledged.Update(float64(a.unacknowledged.Load()))
		_ = netopt.CloseNow(c.Conn) // fails only if the connection has ended
	})
	head := r.head()
	if len(head)+len(r.Body) <= inlineRequestBytes {
		_, a.writeErr = c.Write(append(head, r.Body...))
		close(a.written)
	} else {
		go a.write(head, r.Body)
	}
	if err := a.readHeader(r); err != nil {
		if c.reused && errors.Is(err, syscall.ECONNRESET) {
			p.learnIdleLimit(c)
		}
		a.abandon()
		return nil, a.lost(err)
	}
	return a, nil
}

// mayBegin returns why no request may be sent any more, nil if one may. A process that was frozen
// may run before the timer of a deadline that has passed meanwhile.
func (c *conn) mayBegin(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok && ctx.Err() == nil && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	if c.reused {
		return ctx.Err()
	}
	return caller.Check(ctx) // opening the connection took time
}

// head returns the encoded request line and header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	if r.Body != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func (a *Answer) write(head, body []byte) {
	defer close(a.written)
	if _, a.writeErr = a.conn.Write(head); a.writeErr == nil {
		_, a.writeErr = a.conn.Write(body)
	}
}

var (
	errOnlyOtherAnswers  = errors.New("only answers to other requests came")
	errManyInformational = fmt.Errorf("more than %d informational answers came", maxInformational)
)

// readHeader reads answers until one of them belongs to the request.
func (a *Answer) readHeader(r *Request) error {
	for range maxSkipped + 1 {
		response, err := a.finalHead(r.Method)
		if err != nil {
			return err
		}
		if r.Accept == nil || r.Accept(response, a.carried) {
			a.Response = response
			return nil
		}
		a.tainted = true
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		switch {
		case err != nil:
			return err
		case skipped > maxSkippedBytes:
			return &httpanswer.TooLargeError{Limit: maxSkippedBytes} // the rest of it must not be read as an answer
		}
	}
	return errOnlyOtherAnswers
}

// finalHead reads the head of the next answer. Informational ones are hop-by-hop.
func (a *Answer) finalHead(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		response, err := a.conn.reader.Next(method, a.Reserve)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, errManyInformational
}

// FullError reports that the answers that are being read hold all the memory for them.
type FullError struct{ Limit int64 }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the answers that are being read would hold more than %d bytes: send the request again later", e.Limit)
}

// ReadAll reads the whole body, at most limit bytes. What the bodies of all exchanges hold
// until they are closed, or their memory is released, is limited as well.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := httpanswer.ReadBody(a, a.ContentLength, limit, a.Reserve)
	var lost *LostError
	switch {
	case errors.As(err, &lost):
		return nil, err
	case err != nil:
		return nil, a.lost(err)
	}
	return body, nil
}

// Reserve reserves memory for n bytes of the answer until Close. It returns a *FullError if there is none.
func (a *Answer) Reserve(n int64) error {
	if a.memory == nil {
		a.memory = a.pool.budget.OpenAnswer()
	}
	var full *membudget.ExhaustedError
	if err := a.memory.Reserve(n); errors.As(err, &full) {
		return &FullError{full.Limit}
	}
	return nil
}

// TakeMemory returns the memory reserved for the body, which the caller must release in place of
// Close, once the body is not used any more.
func (a *Answer) TakeMemory() *membudget.Hold {
	hold := a.memory
	if hold == nil {
		hold = a.pool.budget.OpenAnswer()
	}
	a.memory = nil
	return hold
}

// Read reads from the body.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if errors.Is(err, io.EOF) {
		if err := a.end(); err != nil {
			return n, a.lost(err)
		}
		return n, io.EOF
	}
	if err != nil {
		return n, a.lost(err)
	}
	return n, nil
}

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

// end records that no more bytes of the body come, and returns an error unless it is complete.
//
// An answer that ends with its connection is complete only if its request was written; see
// httpanswer.UnknownEndError.
func (a *Answer) end() error {
	if httpanswer.EndsWithConnection(a.Response) {
		_ = a.conn.SetWriteDeadline(past) // fails only if the connection has ended
		<-a.written
		if a.writeErr != nil {
			return &httpanswer.UnknownEndError{Err: a.writeErr}
		}
	}
	a.bodyRead = true
	return nil
}

func (a *Answer) lost(err error) error {
	if a.ctx.Err() != nil {
		err = a.ctx.Err()
	}
	httpanswer.Count(a.pool.set, err)
	return &LostError{Address: a.conn.address, Unacknowledged: a.unacknowledged.Load(), Err: err}
}

// Close returns the connection to the pool if the exchange is complete and no further
// bytes arrived, and closes it otherwise.
func (a *Answer) Close() {
	a.releaseMemory()
	detached := a.stop()
	complete := false
	select {
	case <-a.written:
		complete = a.writeErr == nil
	default: // not written yet: an instance may answer before it has read the body
	}
	if !detached || !complete || !a.bodyRead || a.tainted || a.alone || a.Response.Close || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	a.conn.idleLimit = keepAliveTimeout(a.Header)
	a.pool.put(a.conn)
}

func (a *Answer) releaseMemory() {
	if a.memory != nil {
		a.memory.Release()
		a.memory = nil
	}
}

// abandon closes the connection of an exchange that failed.
func (a *Answer) abandon() {
	a.releaseMemory()
	a.stop()
	a.conn.Close()
}
