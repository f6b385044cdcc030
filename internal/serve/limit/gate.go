// Package limit bounds the work that one entry host accepts: request slots with
// bounded queues per class that serve teams round-robin, concurrency and token
// rates per team, memory for request bodies, and open connections.
package limit

import (
	"context"
	"sync"
	"time"

	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/request"
)

// GateSettings are the limits of a Gate.
type GateSettings struct {
	Slots     int                  `toml:"slots"`      // concurrent requests
	Shares    [class.Count]float64 `toml:"shares"`     // a class takes a slot only while less than this share of all slots is in use
	Queue     [class.Count]int     `toml:"queue"`      // waiting requests per class, the most urgent first
	Weights   [class.Count]int     `toml:"weights"`    // relative share of freed slots per class
	TeamShare float64              `toml:"team_share"` // share of a class's queue that one team may fill
}

// DefaultGate returns limits for a small entry host.
func DefaultGate() GateSettings {
	return GateSettings{
		Slots:     1024,
		Shares:    [class.Count]float64{1, 0.9, 0.75, 0.5},
		Queue:     [class.Count]int{256, 512, 1024, 4096},
		Weights:   [class.Count]int{16, 8, 4, 1},
		TeamShare: 0.5,
	}
}

// intervalSmoothing is the weight of a new sample in the moving average of the
// time between slots granted to waiters.
const intervalSmoothing = 0.1

// minRetryAfter is the shortest delay that a refused caller is advised to wait.
const minRetryAfter = time.Second

// Gate limits concurrent requests to a number of slots. It is safe for
// concurrent use.
type Gate struct {
	settings GateSettings
	now      func() time.Time

	mu        sync.Mutex
	used      int           // guarded by mu; 0 to settings.Slots
	waiting   *queue        // guarded by mu; a class waits only while hasFreeSlot is false for it
	lastGrant time.Time     // guarded by mu; when a slot was last granted to a waiter, or the queue became non-empty
	interval  time.Duration // guarded by mu; moving average of the time between grants to waiters
}

// NewGate returns a Gate with all slots free. now is used only to estimate
// waiting times.
func NewGate(settings GateSettings, now func() time.Time) *Gate {
	return &Gate{settings: settings, now: now, waiting: newQueue(settings.Weights)}
}

// Acquire waits for a slot until ctx ends. When refusal is nil, the caller must
// call release. A refusal's disposition is NotRun.
func (g *Gate) Acquire(ctx context.Context, team string, class class.Class) (release func(), refusal *request.Refusal) {
	w, refusal := g.enter(ctx, team, class)
	if refusal != nil {
		return nil, refusal
	}
	if w != nil {
		select {
		case <-w.granted:
		case <-ctx.Done():
			if g.withdraw(w) {
				return nil, request.Refuse(request.DeadlinePassed, "no slot came free in class %s", class).WithCause(ctx.Err())
			}
		}
	}
	var once sync.Once
	return func() { once.Do(g.release) }, nil
}

// enter takes a free slot and returns nil, or queues the request and returns its
// waiter.
func (g *Gate) enter(ctx context.Context, team string, class class.Class) (*waiter, *request.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hasFreeSlot(class) {
		g.used++
		return nil, nil
	}
	if refusal := g.refuse(ctx, team, class); refusal != nil {
		return nil, refusal
	}
	if g.waiting.length() == 0 {
		g.lastGrant = g.now()
	}
	w := &waiter{team: team, class: class, granted: make(chan struct{})}
	g.waiting.classes[class].push(w)
	return w, nil
}

// hasFreeSlot reports whether a request of the class may take a slot. Shares keep
// the last slots for the more urgent classes. The caller holds g.mu.
func (g *Gate) hasFreeSlot(class class.Class) bool {
	return float64(g.used) < g.settings.Shares[class]*float64(g.settings.Slots)
}

// refuse returns the refusal of a request that may not wait, or nil when it may.
// The caller holds g.mu.
func (g *Gate) refuse(ctx context.Context, team string, class class.Class) *request.Refusal {
	q := &g.waiting.classes[class]
	limit := g.settings.Queue[class]
	wait := g.expectedWait(class)
	if q.length >= limit {
		return request.Refuse(request.QueueFull, "%d requests of class %s wait already", q.length, class).WithRetryAfter(retryAfter(wait))
	}
	if t := q.teams[team]; t != nil && float64(len(t.waiters)) >= g.settings.TeamShare*float64(limit) {
		return request.Refuse(request.TeamConcurrency, "%d requests of the team wait already in class %s", len(t.waiters), class).WithRetryAfter(retryAfter(wait))
	}
	if deadline, ok := ctx.Deadline(); ok && wait > deadline.Sub(g.now()) {
		return request.Refuse(request.DeadlineUnreachable, "the expected wait of %v exceeds the deadline", wait.Round(time.Millisecond)).WithRetryAfter(retryAfter(wait))
	}
	return nil
}

func retryAfter(wait time.Duration) time.Duration { return max(wait, minRetryAfter) }

// expectedWait returns the time until the class's share of freed slots has served
// the requests queued before a new one. The caller holds g.mu.
func (g *Gate) expectedWait(class class.Class) time.Duration {
	total := 0
	for i := range g.waiting.classes {
		if g.waiting.classes[i].length > 0 || i == int(class) {
			total += g.settings.Weights[i]
		}
	}
	ahead := g.waiting.classes[class].length
	share := float64(g.settings.Weights[class]) / float64(total)
	return saturate.Nanoseconds(float64(ahead) / share * float64(g.interval))
}

// withdraw removes a waiter from its queue. It returns false when a slot has
// already been granted; the caller then holds that slot.
func (g *Gate) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.queued {
		return false
	}
	g.waiting.classes[w.class].remove(w)
	return true
}

// release frees a slot and grants free slots to the waiters that may take them.
func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used--
	for w := g.waiting.pop(g.hasFreeSlot); w != nil; w = g.waiting.pop(g.hasFreeSlot) {
		g.used++
		g.observeInterval()
		close(w.granted)
	}
}

// observeInterval adds the time since the last grant to the moving average. The
// caller holds g.mu.
func (g *Gate) observeInterval() {
	now := g.now()
	sample := now.Sub(g.lastGrant)
	g.lastGrant = now
	if g.interval == 0 {
		g.interval = sample
		return
	}
	g.interval += saturate.Nanoseconds(intervalSmoothing * float64(sample-g.interval))
}

// Load returns the number of slots in use and of waiting requests.
func (g *Gate) Load() (used, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used, g.waiting.length()
}
