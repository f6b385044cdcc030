package entryhost

import (
	"net"
	"net/http"
	"sync"
	"time"

	"filberthook/internal/forward"
)

// defaultIdle holds while the configuration sets no limit.
const defaultIdle = time.Minute

// stopIdle is how long an idle connection is kept after the signal to stop: a
// request that is on its way is still served.
const stopIdle = 1500 * time.Millisecond

// idleConnections closes callers' connections that are idle for too long. The limit
// is that of the configuration in force, also for connections that are open already.
type idleConnections struct {
	server *forward.Server

	mu       sync.Mutex
	timers   map[net.Conn]*time.Timer
	stopping bool
}

func newIdleConnections(server *forward.Server) *idleConnections {
	return &idleConnections{server: server, timers: map[net.Conn]*time.Timer{}}
}

// track is the hook of http.Server for changes of a connection's state.
func (i *idleConnections) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[c]; ok {
		timer.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle || state == http.StateNew {
		i.timers[c] = time.AfterFunc(i.limit(), func() { c.Close() })
	}
}

// limit returns the idle time in force. The caller holds i.mu.
func (i *idleConnections) limit() time.Duration {
	if i.stopping {
		return stopIdle
	}
	if t := i.server.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdle
}

// stop shortens the time of the connections that are idle now.
func (i *idleConnections) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = true
	for _, timer := range i.timers {
		if timer.Stop() {
			timer.Reset(stopIdle)
		}
	}
}
