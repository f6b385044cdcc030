// Package connguard bounds what the clients of an HTTP port may hold of a process: descriptors, bytes
// in sockets, and memory for heads and bodies of requests. A process has one membudget.Budget
// for all its ports.
package connguard

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/process/loglimit"
	"filberthook/internal/serve/membudget"
)

const (
	// socketBytes is the size of the buffers of a connection in each direction on a host with a
	// memory limit. It is the size with which connections begin, and more than what is under way on
	// 10 Mbit/s and 40 ms; larger ones would hold what slow clients do not read.
	socketBytes = 64 << 10
	// minIdle is how long a connection waits for a request before it may be closed for another one.
	minIdle = time.Second
	// overshootShare is the part of the connections by which those that are still being closed may
	// exceed the limit.
	overshootShare = 16
)

// Limits of the head of a request.
type Limits struct {
	Bytes int           // of the head
	Time  time.Duration // from its first byte to its end
}

// Settings of a Guard.
type Settings struct {
	Port           string // name in logs and metrics
	MaxConnections int
	Budget         *membudget.Budget
	Limits         func() Limits // in force; may change
}

// Guard bounds the connections of a port.
type Guard struct {
	settings Settings
	logger   *slog.Logger
	lines    loglimit.Limiter
	count    func(action string)

	mu   sync.Mutex
	open map[*Conn]struct{}
	idle list.List // of *Conn that wait for a request, the longest first
}

// New returns a Guard.
func New(s Settings, logger *slog.Logger, set *metrics.Set) *Guard {
	g := &Guard{settings: s, logger: logger, open: map[*Conn]struct{}{}}
	g.count = func(action string) {
		set.GetOrCreateCounter(`filberthook_connections_limited_total{port="` + s.Port + `",action="` + action + `"}`).Inc()
	}
	set.GetOrCreateGauge(`filberthook_connections_guarded{port="`+s.Port+`"}`, func() float64 { return float64(g.Open()) })
	return g
}

// MaxConnections returns how many connections a port may have that gets the given part of the
// descriptors of the process, such as 2 for half of them.
func MaxConnections(part int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return (1 << 20) / part // the system has no limit that matters
	}
	return max(1, int(limit.Cur)/part)
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// Listen returns a listener whose connections the guard bounds. Track must be its server's hook.
func (g *Guard) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.Admit(c); guarded != nil {
			return guarded, nil
		}
	}
}

// Admit returns an accepted connection whose reads are bounded. If there are too many connections, it
// closes the one that has been idle or stalled for the longest time, or else this one, and
// then returns nil. A connection that is not TCP is returned as it is.
func (g *Guard) Admit(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	if !g.makeRoom() {
		g.note("refused")
		tcp.Close()
		return nil
	}
	if g.settings.Budget.Limited() {
		// Ignore the errors: the connection has ended.
		_ = tcp.SetReadBuffer(socketBytes)
		_ = tcp.SetWriteBuffer(socketBytes)
	}
	guarded := &Conn{TCPConn: tcp, guard: g, inHead: true}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[guarded] = struct{}{}
	guarded.wait(time.Now())
	return guarded
}

// makeRoom reports whether one more connection may be opened.
func (g *Guard) makeRoom() bool {
	now := time.Now()
	g.mu.Lock()
	limit := g.settings.MaxConnections
	if len(g.open) < limit {
		g.mu.Unlock()
		return true
	}
	full := len(g.open) > limit+limit/overshootShare
	var victim *Conn
	if front := g.idle.Front(); front != nil {
		if c := front.Value.(*Conn); now.Sub(c.idleSince) >= minIdle {
			victim = c
			c.leaveIdle()
		}
	}
	g.mu.Unlock()
	switch {
	case victim != nil:
		g.note("closed_idle")
		victim.closeIdle()
	case g.settings.Budget.EvictStalled(now):
		g.note("closed_stalled")
	default:
		return false
	}
	return !full
}

// note counts and logs a decision of the guard.
func (g *Guard) note(action string) {
	g.count(action)
	if omitted, ok := g.lines.Allow(action, time.Now()); ok {
		s := g.settings.Budget.Stats()
		g.logger.Warn("connection limited", "port", g.settings.Port, "action", action, "open", g.Open(),
			"max", g.settings.MaxConnections, "memory_used", s.Used, "memory_budget", s.Total, "omitted", omitted)
	}
}

// Track is the ConnState hook of http.Server.
func (g *Guard) Track(conn net.Conn, state http.ConnState) {
	c := guardedConn(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.headRead()
	case http.StateIdle:
		c.expectHead()
		g.mu.Lock()
		defer g.mu.Unlock()
		if _, open := g.open[c]; open {
			c.wait(time.Now())
		}
	case http.StateClosed, http.StateHijacked:
		c.forget()
	}
}

// Answering records that a request of a connection is being answered, so that the connection does not count as
// idle. Its head may have been read together with the request before it.
func (g *Guard) Answering(conn net.Conn) {
	if c := guardedConn(conn); c != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.leaveIdle()
	}
}

// guardedConn returns the Conn below wrappers, nil if there is none.
func guardedConn(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}
