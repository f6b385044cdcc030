// Package upstream is an HTTP/1.1 client with a connection pool for endpoint instances.
// Unlike net/http's transport it never retries a request, and its errors distinguish
// requests that were not sent from those that may have run.
package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/netopt"
	"filberthook/internal/serve/membudget"
)

// Limits of the time that a connection may be idle before it is reused.
const (
	// defaultIdleLimit applies to instances that announce no limit.
	defaultIdleLimit = 4 * time.Second
	// defaultAtMostOnceIdleLimit applies to requests that must not run twice, if the
	// instance announces no limit.
	defaultAtMostOnceIdleLimit = 1500 * time.Millisecond
	// minLearnedIdleLimit is the lower bound of learned limits. A connection that is reused
	// sooner was not idle.
	minLearnedIdleLimit = 50 * time.Millisecond
	// idleLimitMargin is subtracted from an announced limit, as the instance starts to count
	// earlier than this host.
	idleLimitMargin = 700 * time.Millisecond
)

// dialTimeout limits connecting to an instance. It allows many round trips within a region and
// is short compared with the latency goals of plain services, so that another instance can
// be tried.
const dialTimeout = 200 * time.Millisecond

// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before the connection
// fails. It allows for a packet that is lost several times.
const unacknowledgedTimeout = 700 * time.Millisecond

// maxIdlePerInstance limits the idle connections to one instance.
const maxIdlePerInstance = 6

// NotSentError reports that a request did not reach the instance and has not run.
type NotSentError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports that a request was sent but has no complete answer. It may have run.
type LostError struct {
	Address string
	// Unacknowledged is how many bytes of the request the instance's host had not acknowledged
	// when the request was abandoned.
	Unacknowledged int64
	Err            error
}

// Error implements error.
func (e *LostError) Error() string {
	if e.Unacknowledged > 0 {
		return fmt.Sprintf("answer of %s lost, the request may have run, %d bytes were not acknowledged: %v", e.Address, e.Unacknowledged, e.Err)
	}
	return fmt.Sprintf("answer of %s lost, the request may have run: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Pool is a pool of connections to instances.
type Pool struct {
	dial           func(ctx context.Context, address string) (net.Conn, error)
	set            *metrics.Set
	dials          *metrics.Counter
	fails          *metrics.Counter
	reuses         *metrics.Counter
	unacknowledged *metrics.Histogram // bytes of exchanges that were abandoned
	budget         *membudget.Budget  // for bodies read by Answer.ReadAll

	mu            sync.Mutex
	idle          map[string][]*conn       // by address, most recently used last
	learnedLimits map[string]time.Duration // learned idle limits, by address
	closed        bool
}

// NewPool returns an empty Pool.
func NewPool(set *metrics.Set) *Pool {
	dialer := netopt.Dialer(dialTimeout, unacknowledgedTimeout)
	return &Pool{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		set:            set,
		dials:          set.GetOrCreateCounter(`filberthook_upstream_connections_total{result="open"}`),
		fails:          set.GetOrCreateCounter(`filberthook_upstream_connections_total{result="failed"}`),
		reuses:         set.GetOrCreateCounter(`filberthook_upstream_connections_total{result="reused"}`),
		unacknowledged: set.GetOrCreateHistogram("filberthook_upstream_abandoned_unacknowledged_bytes"),
		budget:         membudget.New(maxBufferedBytes),
		idle:           map[string][]*conn{},
		learnedLimits:  map[string]time.Duration{},
	}
}

// UseBudget has the pool reserve memory for bodies in the process's budget. It must be called before
// the pool is used.
func (p *Pool) UseBudget(b *membudget.Budget) { p.budget = b }

// get returns an idle connection that a request may reuse, or dials a new one.
func (p *Pool) get(ctx context.Context, address string, r *Request) (*conn, error) {
	for {
		c := p.pop(address, r)
		if c == nil {
			break
		}
		now := time.Now()
		learned, known := p.learnedLimit(address)
		if c.usable(r.AtMostOnce, now) && (!known || now.Sub(c.idleSince) < learned) {
			c.reused, c.idleBefore = true, now.Sub(c.idleSince)
			p.reuses.Inc()
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.fails.Inc()
		return nil, err
	}
	p.dials.Inc()
	return newConn(raw, address), nil
}

// learnedLimit returns the idle limit learned from broken connections to an address.
func (p *Pool) learnedLimit(address string) (limit time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, known = p.learnedLimits[address]
	return limit, known
}

// learnIdleLimit records that an instance dropped an idle connection without closing it:
// the next request on it was reset. From then on the limit is at most half of that idle
// time.
func (p *Pool) learnIdleLimit(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(c.idleBefore/2, minLearnedIdleLimit)
	if before, ok := p.learnedLimits[c.address]; !ok || limit < before {
		p.learnedLimits[c.address] = limit
	}
}

// Connected reports whether the next request to an address can reuse a connection.
func (p *Pool) Connected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	c := list[len(list)-1] // the next one that get returns
	limit := c.limit(false)
	if learned, known := p.learnedLimits[address]; known {
		limit = min(limit, learned)
	}
	return time.Since(c.idleSince) < limit
}

// limit returns how long a connection may be idle and still be reused.
func (c *conn) limit(atMostOnce bool) time.Duration {
	switch {
	case c.idleLimit > 0:
		return max(c.idleLimit-idleLimitMargin, c.idleLimit/4)
	case atMostOnce:
		return defaultAtMostOnceIdleLimit
	default:
		return defaultIdleLimit
	}
}

// usable reports whether the next request may reuse an idle connection.
func (c *conn) usable(atMostOnce bool, now time.Time) bool {
	return now.Sub(c.idleSince) < c.limit(atMostOnce) && c.healthy()
}

// pop takes the most recently used connection that may carry a request, nil if there is none.
func (p *Pool) pop(address string, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for n := len(list) - 1; n >= 0; n-- {
		if c := list[n]; c.mayCarry(r) {
			p.idle[address] = slices.Delete(list, n, n+1)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= maxIdlePerInstance {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Forget closes the idle connections to addresses for which keep is false.
func (p *Pool) Forget(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if keep(address) {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
		delete(p.learnedLimits, address)
	}
}

// Close closes the idle connections. Those in use are closed when they are returned.
func (p *Pool) Close() {
	p.Forget(func(string) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
