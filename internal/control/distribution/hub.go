package distribution

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/invariant"
)

// maxDeltas is the number of deltas that a replica keeps for watchers. Watchers that
// are further behind get the whole configuration.
const maxDeltas = 256

// Confirmer ensures that a replica is up to date.
type Confirmer interface {
	// ReadBarrier returns once the replica has applied everything that was committed
	// before the call.
	ReadBarrier(ctx context.Context) error
}

// Clock returns the time since an arbitrary moment, by a monotonic clock.
type Clock func() time.Duration

// encodedDelta is a delta as watchers receive it.
type encodedDelta struct {
	revision uint64
	data     json.RawMessage
}

// Hub answers watchers at one replica. The replicated state machine passes it each
// new configuration.
type Hub struct {
	clock     Clock
	confirmer Confirmer
	logger    *slog.Logger

	mu          sync.Mutex
	config      fleet.Configuration // newest applied; only moves to higher revisions
	encoded     json.RawMessage     // config as watchers receive it; nil until needed
	deltas      []encodedDelta      // contiguous, newest last, ends at config.Revision
	changed     chan struct{}       // closed at the next change
	confirmedAt time.Duration       // nothing newer was committed at this time
	confirmed   bool                // confirmedAt is set
}

// NewHub returns a hub at revision 0. The confirmer serves watchers that request a
// confirmation.
func NewHub(clock Clock, confirmer Confirmer, logger *slog.Logger) *Hub {
	return &Hub{clock: clock, confirmer: confirmer, logger: logger, changed: make(chan struct{})}
}

// ConfigurationChanged sets the newest configuration. The delta leads to it from
// the previous revision; nil means that the state was replaced.
func (h *Hub) ConfigurationChanged(c fleet.Configuration, d *fleet.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	invariant.Check(c.Revision >= h.config.Revision, "revision-grows",
		"watchers would go from revision %d to %d", h.config.Revision, c.Revision)
	h.config = c
	h.encoded = nil
	h.appendDelta(d)
	close(h.changed)
	h.changed = make(chan struct{})
}

// appendDelta appends a delta, or drops all of them when the state was replaced.
// The caller holds h.mu.
func (h *Hub) appendDelta(d *fleet.Delta) {
	if d == nil {
		h.deltas = nil
		return
	}
	public := *d
	public.Operators = nil
	data, err := json.Marshal(public)
	if err != nil {
		h.logger.Error("encoding delta failed, watchers receive the whole configuration", "revision", d.Revision, "err", err)
		h.deltas = nil
		return
	}
	h.deltas = append(h.deltas, encodedDelta{revision: d.Revision, data: data})
	if len(h.deltas) > maxDeltas {
		h.deltas = append([]encodedDelta(nil), h.deltas[len(h.deltas)-maxDeltas:]...)
	}
}

// Confirm ensures that this replica is up to date. The replica counts as fresh from
// the time of the call.
func (h *Hub) Confirm(ctx context.Context) error {
	requestedAt := h.clock()
	if err := h.confirmer.ReadBarrier(ctx); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed || requestedAt > h.confirmedAt {
		h.confirmed = true
		h.confirmedAt = requestedAt
	}
	return nil
}

// Watch returns when this replica has something newer than the watcher, when it
// becomes stale, or after the wait time of the request.
func (h *Hub) Watch(ctx context.Context, req WatchRequest) (WatchResponse, error) {
	wait := min(time.Duration(req.WaitMillis)*time.Millisecond, WatchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if req.Confirm {
		// An error shows as Stale in the response.
		_ = h.Confirm(ctx)
	}
	wasStale := h.Stale()
	for {
		resp, changed, err := h.response(req)
		if err != nil || !resp.upToDate(req) || (resp.Stale && !wasStale) {
			return resp, err
		}
		if !h.await(ctx, changed) {
			resp, _, err := h.response(req)
			return resp, err
		}
	}
}

// await waits until the configuration changes or this replica would become stale.
// It returns false when ctx ends.
func (h *Hub) await(ctx context.Context, changed <-chan struct{}) bool {
	var stale <-chan time.Time
	if left := h.freshFor(); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		stale = timer.C
	}
	select {
	case <-changed:
		return true
	case <-stale:
		return true
	case <-ctx.Done():
		return false
	}
}

// upToDate reports whether the response has nothing new for the watcher.
func (r WatchResponse) upToDate(req WatchRequest) bool {
	return r.Revision == req.Have && !req.Full
}

// response returns the current response and a channel that closes at the next change.
func (h *Hub) response(req WatchRequest) (WatchResponse, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := WatchResponse{Revision: h.config.Revision, Stale: h.stale()}
	switch {
	case req.Have > h.config.Revision:
		resp.Behind = true
	case req.Full || !h.deltasReach(req.Have):
		data, err := h.encode()
		if err != nil {
			return resp, nil, err
		}
		resp.Configuration = data
	case req.Have < h.config.Revision:
		first := len(h.deltas) - int(h.config.Revision-req.Have)
		for _, d := range h.deltas[first:] {
			resp.Deltas = append(resp.Deltas, d.data)
		}
	}
	return resp, h.changed, nil
}

// deltasReach reports whether the stored deltas lead from a revision to the newest.
func (h *Hub) deltasReach(have uint64) bool {
	return h.config.Revision-have <= uint64(len(h.deltas))
}

// Stale reports whether this replica cannot confirm that it is up to date.
func (h *Hub) Stale() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stale()
}

// freshFor returns how long this replica stays fresh without a new confirmation,
// 0 when it is stale.
func (h *Hub) freshFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stale() {
		return 0
	}
	return h.confirmedAt + StaleAfter - h.clock() + time.Millisecond
}

// stale is Stale for callers that hold h.mu.
func (h *Hub) stale() bool {
	return !h.confirmed || h.clock()-h.confirmedAt > StaleAfter
}

// encode returns the configuration as watchers receive it.
func (h *Hub) encode() (json.RawMessage, error) {
	if h.encoded != nil {
		return h.encoded, nil
	}
	data, err := json.Marshal(fleet.NewSnapshot(h.config).Configuration())
	if err != nil {
		return nil, err
	}
	h.encoded = data
	return data, nil
}
