package connguard

import (
	"container/list"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"filberthook/internal/serve/membudget"
)

const (
	// headBlock is what net/http reads of a head at once.
	headBlock = 4 << 10
	// headSlack is what a head may exceed its limit by before reading ends: the server refuses such
	// a request by name, and its last read may take a block of the body.
	headSlack = 2 * headBlock
	// connBytes is reserved with the first block until the request ends: 16 KiB of buffers, stack and
	// fields of a usual head, and 32 KiB in sockets if the client does not read its answer.
	connBytes = 48 << 10
	// blockBytes is reserved for each further block of a head: a field of five bytes takes about
	// 80 bytes once it is parsed and copied.
	blockBytes = 64 << 10
)

// Conn is a client's connection whose heads are bounded. A head begins with its first byte and
// ends when the server reports the connection as active.
type Conn struct {
	*net.TCPConn
	guard *Guard

	element   *list.Element // in Guard.idle, nil if it is not there; guarded by Guard.mu
	idleSince time.Time     // guarded by Guard.mu

	// head and hold belong to the goroutine that reads.
	hold *membudget.Hold // nil while no request is read or answered
	left int             // bytes that may still be read of the head
	paid int             // bytes of the head for which memory is reserved

	mu       sync.Mutex
	inHead   bool      // no request is being answered
	evicted  bool      // reads fail until a head is complete
	close    func()    // closes the connection if it is idle, nil if its reader does
	deadline time.Time // of reads, as set by the server
	headEnd  time.Time // of the head, zero before its first byte
}

// NetConn returns the connection below, as *tls.Conn does.
func (c *Conn) NetConn() net.Conn { return c.TCPConn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.readsHead() {
		return c.TCPConn.Read(p)
	}
	if c.hold != nil && c.left == 0 {
		return 0, c.refuse("head_too_large", http.StatusRequestHeaderFieldsTooLarge)
	}
	if c.hold != nil && c.paid == 0 {
		if err := c.hold.Reserve(blockBytes); err != nil {
			return 0, c.refuse("no_memory", http.StatusServiceUnavailable)
		}
		c.paid = headBlock
	}
	n := min(len(p), headBlock)
	if c.hold != nil {
		n = min(n, c.left, c.paid)
	}
	n, err := c.TCPConn.Read(p[:n])
	if n > 0 && c.hold == nil {
		if err := c.begin(); err != nil {
			return 0, err
		}
	}
	if n > 0 {
		c.left -= n
		c.paid -= n
		c.hold.Progress(int64(n), time.Now())
	}
	return n, err
}

func (c *Conn) readsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inHead
}

// begin reserves memory for a head whose first bytes have arrived, and limits its time.
func (c *Conn) begin() error {
	now := time.Now()
	limits := c.guard.settings.Limits()
	c.hold = c.guard.settings.Budget.OpenRequest(now, c.wake)
	c.left, c.paid = limits.Bytes+headSlack, headBlock
	c.guard.mu.Lock()
	c.leaveIdle()
	c.guard.mu.Unlock()
	if err := c.hold.Reserve(connBytes); err != nil {
		return c.refuse("no_memory", http.StatusServiceUnavailable)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headEnd = now.Add(limits.Time)
	c.setDeadline()
	return nil
}

// refuse answers a request that has not been read, and ends the connection. No answer to an earlier
// request can be under way.
func (c *Conn) refuse(action string, status int) error {
	c.guard.note(action)
	text := http.StatusText(status)
	// Ignore the errors: the connection has ended.
	_ = c.SetWriteDeadline(time.Now().Add(minIdle))
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nConnection: close\r\nRetry-After: %.3f\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, text, 0.1+0.9*rand.Float64(), len(text), text)
	_ = c.CloseWrite()
	c.release()
	return io.EOF
}

// headRead records that the head is complete.
func (c *Conn) headRead() {
	if c.hold != nil {
		c.hold.Complete()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.evicted, c.headEnd = false, false, time.Time{}
	c.setDeadline()
}

// expectHead records that the next bytes are those of a head.
func (c *Conn) expectHead() {
	c.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = true
}

func (c *Conn) release() {
	if c.hold != nil {
		c.hold.Release()
		c.hold = nil
	}
}

// forget ends the accounting of the connection.
func (c *Conn) forget() {
	c.release()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.leaveIdle()
	delete(c.guard.open, c)
}

// SetReadDeadline implements net.Conn. The end of the head's time stays in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// setDeadline sets the earliest deadline of reads. The caller holds c.mu.
func (c *Conn) setDeadline() error {
	t := c.deadline
	if c.inHead && !c.headEnd.IsZero() && (t.IsZero() || c.headEnd.Before(t)) {
		t = c.headEnd
	}
	if c.inHead && c.evicted {
		t = longAgo
	}
	return c.TCPConn.SetReadDeadline(t)
}

// wake ends reads of a head, so that the server closes the connection. A head of which all bytes
// were read is served.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	// Ignore the error: the connection has ended.
	_ = c.setDeadline()
}

// SetIdleClose sets how the connection is closed when it is idle and others need its place. By
// default reads end, so that its server closes it.
func (c *Conn) SetIdleClose(closeIfIdle func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close = closeIfIdle
}

func (c *Conn) closeIdle() {
	c.mu.Lock()
	closeIfIdle := c.close
	c.mu.Unlock()
	if closeIfIdle == nil {
		closeIfIdle = c.wake
	}
	closeIfIdle()
}

// wait puts the connection among the idle ones. The caller holds Guard.mu.
func (c *Conn) wait(now time.Time) {
	c.leaveIdle()
	c.idleSince = now
	c.element = c.guard.idle.PushBack(c)
}

// leaveIdle removes the connection from the idle ones. The caller holds Guard.mu.
func (c *Conn) leaveIdle() {
	if c.element != nil {
		c.guard.idle.Remove(c.element)
		c.element = nil
	}
}
