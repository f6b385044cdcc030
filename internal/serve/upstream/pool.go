// Package upstream sends requests to endpoint instances over connections that it
// keeps. It sends each request once: unlike net/http's transport it never repeats
// one by itself, and it tells which failures prove that the request did not run.
package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/netopt"
)

// Times that a kept connection may have been idle for.
const (
	// defaultIdleLimit holds for instances that announce no limit.
	defaultIdleLimit = 4 * time.Second
	// defaultAtMostOnceIdleLimit holds for requests that must not run twice when no limit is announced.
	defaultAtMostOnceIdleLimit = 1500 * time.Millisecond
	// minLearnedIdleLimit is the least limit that is learned: connections that are used again
	// at once are not idle.
	minLearnedIdleLimit = 50 * time.Millisecond
	// idleLimitMargin is left of an announced limit, which the instance counts from an
	// earlier moment.
	idleLimitMargin = 700 * time.Millisecond
)

// dialTimeout bounds the set-up of a connection to an instance: many round trips
// within a region, and short beside the goals of plain services, so that another
// instance can be tried.
const dialTimeout = 200 * time.Millisecond

// unacknowledgedTimeout is how long sent bytes may stay without acknowledgement before the
// instance counts as cut off: some repeated losses of a packet.
const unacknowledgedTimeout = 700 * time.Millisecond

// maxIdlePerInstance bounds the kept connections to one instance.
const maxIdlePerInstance = 6

// NotSentError tells that a request did not reach the instance.
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

// LostError tells that a request was sent and has no whole answer: it may have run.
type LostError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("answer of %s lost, the request may have run: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Pool keeps connections to instances.
type Pool struct {
	dial   func(ctx context.Context, address string) (net.Conn, error)
	dials  *metrics.Counter
	fails  *metrics.Counter
	reuses *metrics.Counter

	mu            sync.Mutex
	idle          map[string][]*conn       // by address, the last used at the end
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
		dials:         set.GetOrCreateCounter(`filberthook_upstream_connections_total{result="open"}`),
		fails:         set.GetOrCreateCounter(`filberthook_upstream_connections_total{result="failed"}`),
		reuses:        set.GetOrCreateCounter(`filberthook_upstream_connections_total{result="reused"}`),
		idle:          map[string][]*conn{},
		learnedLimits: map[string]time.Duration{},
	}
}

// get returns a kept connection or dials one. With once, a kept one must be proven.
func (p *Pool) get(ctx context.Context, address string, atMostOnce bool) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		now := time.Now()
		learned, known := p.learnedLimit(address)
		if c.usable(atMostOnce, now) && (!known || now.Sub(c.idleSince) < learned) {
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

// learnedLimit returns the idle limit that broken connections to an address have shown.
func (p *Pool) learnedLimit(address string) (limit time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, known = p.learnedLimits[address]
	return limit, known
}

// learnIdleLimit notes that an instance had learnIdleLimit a kept connection without notice: what
// was sent next was reset. Later ones are used after half of that time at most.
func (p *Pool) learnIdleLimit(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(c.idleBefore/2, minLearnedIdleLimit)
	if before, ok := p.learnedLimits[c.address]; !ok || limit < before {
		p.learnedLimits[c.address] = limit
	}
}

// Connected reports whether a connection to an address is kept that the next request
// can use.
func (p *Pool) Connected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	c := list[len(list)-1] // the one that is used next
	limit := c.limit(false)
	if learned, known := p.learnedLimits[address]; known {
		limit = min(limit, learned)
	}
	return time.Since(c.idleSince) < limit
}

// limit returns how long a connection may be idle before the next request.
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

// usable reports whether an idle connection may take the next request.
func (c *conn) usable(atMostOnce bool, now time.Time) bool {
	return now.Sub(c.idleSince) < c.limit(atMostOnce) && c.healthy()
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for the next request.
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

// Close closes the idle connections; those in use are closed when they come back.
func (p *Pool) Close() {
	p.Forget(func(string) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
