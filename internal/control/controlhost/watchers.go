package controlhost

import (
	"context"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/pause"
)

// watcherTTL is how long an entry host counts as watching after its last request:
// longer than one delayed answer and a reconnect after it.
const watcherTTL = 2500 * time.Millisecond

// serveWatch answers a watch call, packed if the calling host reads that.
func (h *Host) serveWatch(ctx context.Context, from string, req controlapi.WatchRequest) (controlapi.WatchResponse, error) {
	answer := h.watch(ctx, from, req)
	if !req.Packed {
		return answer, nil
	}
	err := answer.Pack()
	return answer, err
}

// watcher is an entry host that follows this control host.
type watcher struct {
	position    uint64 // the host has received all changes up to here
	requestedAt time.Time
}

// watchers tracks how far each entry host has read the changes of instances.
type watchers struct {
	startedAt time.Time // of this process

	mu      sync.Mutex
	hosts   map[string]watcher
	changed chan struct{} // closed when a host's position changes
}

func newWatchers(now time.Time) *watchers {
	return &watchers{startedAt: now, hosts: map[string]watcher{}, changed: make(chan struct{})}
}

// recordRequest records a host's watch request, drops hosts that no longer watch, and
// returns how many do. It returns 0 while this process has just started, since not all
// hosts have found it yet.
func (w *watchers) recordRequest(host string, position uint64, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.hosts[host]
	w.hosts[host] = watcher{position: position, requestedAt: now}
	if position != previous.position {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	for name, o := range w.hosts {
		if now.Sub(o.requestedAt) > watcherTTL {
			delete(w.hosts, name)
		}
	}
	if now.Sub(w.startedAt) < watcherTTL {
		return 0
	}
	return len(w.hosts)
}

// few reports whether so few hosts watch that all exchange their load through the leader.
// It is false while this process has just started and does not know.
func (w *watchers) few(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.hosts) <= controlapi.MaxHostsPerExchange && now.Sub(w.startedAt) >= watcherTTL
}

// behind returns the watching hosts that have not read up to position, and a channel
// that is closed when a host's position changes.
func (w *watchers) behind(position uint64, now time.Time) ([]string, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for name, o := range w.hosts {
		if o.position < position && now.Sub(o.requestedAt) <= watcherTTL {
			out = append(out, name)
		}
	}
	return out, w.changed
}

// await waits until every watching host has read up to position. If ctx ends first, it
// returns the hosts that have not.
func (w *watchers) await(ctx context.Context, position uint64) []string {
	for {
		lagging, changed := w.behind(position, time.Now())
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return lagging
		}
	}
}

// expireInstances marks instances whose heartbeats have stopped as silent.
func (h *Host) expireInstances(ctx context.Context) {
	for pause.For(ctx, expireInterval) {
		for _, id := range h.registry.Expire(time.Now()) {
			h.logger.Info("instance silent", "instance", id, "reason", "no heartbeat here")
		}
	}
}

// awaitDelivery waits until the entry hosts know that an instance leaves, so that they
// know it even if this process ends.
func (h *Host) awaitDelivery(ctx context.Context, id string, position uint64) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	if lagging := h.watchers.await(ctx, position); len(lagging) > 0 {
		h.logger.Warn("instance leaves before all entry hosts have received the change", "instance", id, "hosts", lagging)
	}
}
