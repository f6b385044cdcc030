// Package authority gives a planner the authority over the engines of an
// availability zone: it holds the zone's lease and sends orders under its fencing
// number.
//
// Orders to one engine never overlap: at most one is outstanding, orders are sent
// only under a valid lease, and a new holder reads each engine's state before its
// first order.
package authority

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/lease"
	"filberthook/internal/process/invariant"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/saturate"
)

// Timing of leases and orders.
const (
	// DefaultTTL is the duration of a lease.
	DefaultTTL = 5 * time.Second
	// renewalsPerTTL is the number of renewals in the duration of a lease.
	renewalsPerTTL = 3
	// retryPause is the pause after a failed lease call.
	retryPause = 200 * time.Millisecond
	// SendTimeout bounds the sending of one order.
	SendTimeout = 2 * time.Second
	// StartDeadline bounds the time between the receipt of an order by the engine
	// and its start.
	StartDeadline = 2 * time.Second
	// FlightTime is the longest time between the sending of an order and its start.
	FlightTime = SendTimeout + StartDeadline
)

// driftMargin returns how much earlier than granted a holder considers its lease
// expired. It allows for clocks that differ in speed by up to 2%.
func driftMargin(ttl time.Duration) time.Duration { return ttl/50 + 20*time.Millisecond }

// Granter grants leases. The control group implements it.
type Granter interface {
	// Lease applies a command. After an error it may have been applied all the same.
	Lease(ctx context.Context, cmd lease.Command) (lease.Result, error)
}

// HolderSettings are the settings of a Holder.
type HolderSettings struct {
	Host    string
	Zone    string
	Session string        // unique for this run of the process
	TTL     time.Duration // 0 for DefaultTTL
	Clock   Clock
	Random  func() float64 // in [0,1), for jitter
	Logger  *slog.Logger
	Metrics *metrics.Set
}

// Grant is a lease as its holder sees it.
type Grant struct {
	Fence      uint64
	ValidUntil time.Duration // by the holder's clock
	SettledAt  time.Duration // by the holder's clock; from then on no order of a former holder is in flight
}

// validAt reports whether orders may be sent under the grant.
func (g Grant) validAt(now time.Duration) bool { return g.Fence != 0 && now < g.ValidUntil }

// Holder tries to hold the lease of one zone. It is safe for concurrent use.
type Holder struct {
	settings   HolderSettings
	granter    Granter
	acquired   *metrics.Counter
	lost       *metrics.Counter
	callErrors *metrics.Counter

	mu           sync.Mutex
	grant        Grant  // newest grant, even when it has expired; zero when there is none
	highestFence uint64 // highest fencing number ever granted to this process
}

// NewHolder returns a holder without a lease; Run acquires it.
func NewHolder(settings HolderSettings, granter Granter) *Holder {
	if settings.TTL == 0 {
		settings.TTL = DefaultTTL
	}
	set := settings.Metrics
	h := &Holder{
		settings:   settings,
		granter:    granter,
		acquired:   set.GetOrCreateCounter("filberthook_lease_acquired_total"),
		lost:       set.GetOrCreateCounter("filberthook_lease_lost_total"),
		callErrors: set.GetOrCreateCounter("filberthook_lease_call_errors_total"),
	}
	set.GetOrCreateGauge("filberthook_lease_fence", func() float64 {
		grant, _ := h.Grant()
		return float64(grant.Fence)
	})
	return h
}

// Grant returns the lease and whether it is valid now.
func (h *Holder) Grant() (Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.grant.validAt(h.settings.Clock()) {
		return Grant{}, false
	}
	return h.grant, true
}

// Check returns an error unless the lease with a fencing number is valid now. It is
// called right before an order is written.
func (h *Holder) Check(fence uint64) error {
	grant, ok := h.Grant()
	if !ok || grant.Fence != fence {
		return &NotHolderError{Zone: h.settings.Zone}
	}
	return nil
}

// Run acquires and renews the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, h.step(ctx))
	}
	return nil
}

// Release releases the lease, so that a successor can start at once. The caller
// must have no order in flight.
func (h *Holder) Release(ctx context.Context) error {
	grant, ok := h.Grant()
	if !ok {
		return nil
	}
	h.dropGrant()
	_, err := h.granter.Lease(ctx, h.command(lease.Release, grant.Fence))
	return err
}

// step makes one lease call and returns the pause before the next one.
func (h *Holder) step(ctx context.Context) time.Duration {
	requestedAt := h.settings.Clock()
	grant, holding := h.Grant()
	cmd := h.command(lease.Acquire, 0)
	if holding {
		cmd = h.command(lease.Renew, grant.Fence)
	}
	callCtx, cancel := context.WithTimeout(ctx, h.settings.TTL/2)
	defer cancel()
	result, err := h.granter.Lease(callCtx, cmd)
	switch {
	case err != nil:
		h.callErrors.Inc()
		return h.jittered(retryPause)
	case result.Err != nil:
		return h.handleRefusal(result.Err)
	}
	h.applyGrant(requestedAt, result, holding)
	return h.settings.TTL / renewalsPerTTL
}

func (h *Holder) command(kind lease.Kind, fence uint64) lease.Command {
	return lease.Command{
		Kind:   kind,
		Scope:  h.settings.Zone,
		Holder: lease.Holder{Host: h.settings.Host, Session: h.settings.Session},
		Fence:  fence,
		TTL:    h.settings.TTL,
	}
}

// applyGrant records a grant or a renewal. The lease runs from the time of the request,
// because it may have been granted right then.
func (h *Holder) applyGrant(requestedAt time.Duration, result lease.Result, renewed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	invariant.Check(result.Fence >= h.highestFence, "fence-grows",
		"zone %s was granted fence %d after %d", h.settings.Zone, result.Fence, h.highestFence)
	h.highestFence = result.Fence
	until := requestedAt + h.settings.TTL - driftMargin(h.settings.TTL)
	if renewed && result.Fence == h.grant.Fence {
		h.grant.ValidUntil = max(h.grant.ValidUntil, until)
		return
	}
	h.grant = Grant{Fence: result.Fence, ValidUntil: until}
	if result.Settle {
		h.grant.SettledAt = h.settings.Clock() + FlightTime
	}
	h.acquired.Inc()
	h.settings.Logger.Info("lease acquired", "zone", h.settings.Zone, "fence", result.Fence, "settle", result.Settle)
}

// handleRefusal handles a refused command and returns the pause before the next one.
func (h *Holder) handleRefusal(err *lease.Error) time.Duration {
	if err.Code == lease.CodeLost {
		h.dropGrant()
		return h.jittered(retryPause)
	}
	// The lease is held for at least Remaining, so an earlier call would be refused too.
	return max(err.Remaining, 0) + h.jittered(h.settings.TTL/renewalsPerTTL)
}

// dropGrant stops using the lease at once, without a call to the control group.
func (h *Holder) dropGrant() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.grant.Fence == 0 {
		return
	}
	h.lost.Inc()
	h.settings.Logger.Warn("lease dropped", "zone", h.settings.Zone, "fence", h.grant.Fence)
	h.grant = Grant{}
}

func (h *Holder) jittered(d time.Duration) time.Duration {
	return saturate.Nanoseconds((0.5 + 0.5*h.settings.Random()) * float64(d))
}
