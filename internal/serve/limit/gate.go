// Package limit bounds the work that one entry host takes on: slots with
// bounded queues per priority class and turns between teams, concurrency and
// token rates per team, and memory for request bodies.
package limit

import (
	"context"
	"sync"
	"time"

	"filberthook/internal/serve/class"
	"filberthook/internal/serve/request"
)

// GateSettings bound a Gate.
type GateSettings struct {
	Slots     int                  `toml:"slots"`      // requests under way at once
	Shares    [class.Count]float64 `toml:"shares"`     // part of the slots that may be in use when a request of the class takes one
	Queue     [class.Count]int     `toml:"queue"`      // waiting requests per class, the most urgent first
	Weights   [class.Count]int     `toml:"weights"`    // share of freed slots per class
	TeamShare float64              `toml:"team_share"` // part of a class's queue that one team may fill
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

// intervalSmoothing is the part of a new sample in the mean time between freed slots.
const intervalSmoothing = 0.1

// minRetryAfter is the least time after which a refused caller is asked to
// come back.
const minRetryAfter = time.Second

// Gate admits requests to a number of slots. It is safe for concurrent use.
type Gate struct {
	settings GateSettings
	now      func() time.Time

	mu        sync.Mutex
	used      int           // guarded by mu; 0 to settings.Slots
	waiting   *queue        // guarded by mu; holds no class that is open
	lastGrant time.Time     // guarded by mu; when a slot last went to a waiter, zero when none waits
	interval  time.Duration // guarded by mu; mean time between slots that go to waiters
}

// NewGate returns a Gate with all slots free. now gives the time, for the
// estimate of waiting times only.
func NewGate(settings GateSettings, now func() time.Time) *Gate {
	return &Gate{settings: settings, now: now, waiting: newQueue(settings.Weights)}
}

// Acquire waits for a slot until ctx ends. The caller must call release once
// when the error is nil. A refusal's disposition is NotRun.
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
				return nil, request.Refuse(request.DeadlinePassed, "no slot came free in class %s", class).Because(ctx.Err())
			}
		}
	}
	var once sync.Once
	return func() { once.Do(g.release) }, nil
}

// enter takes a free slot, or returns a waiter in a queue.
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

// hasFreeSlot reports whether a request of the class may take a slot. The slots that
// less urgent classes leave are there for the more urgent ones. The caller
// holds g.mu.
func (g *Gate) hasFreeSlot(class class.Class) bool {
	return float64(g.used) < g.settings.Shares[class]*float64(g.settings.Slots)
}

// refuse tells why a request may not wait, nil when it may. The caller holds
// g.mu.
func (g *Gate) refuse(ctx context.Context, team string, class class.Class) *request.Refusal {
	q := &g.waiting.classes[class]
	limit := g.settings.Queue[class]
	wait := g.expectedWait(class)
	if q.length >= limit {
		return request.Refuse(request.QueueFull, "%d requests of class %s wait already", q.length, class).After(retryAfter(wait))
	}
	if t := q.teams[team]; t != nil && float64(len(t.waiters)) >= g.settings.TeamShare*float64(limit) {
		return request.Refuse(request.TeamConcurrency, "%d requests of the team wait already in class %s", len(t.waiters), class).After(retryAfter(wait))
	}
	if deadline, ok := ctx.Deadline(); ok && wait > deadline.Sub(g.now()) {
		return request.Refuse(request.DeadlineUnreachable, "the expected wait of %v exceeds the deadline", wait.Round(time.Millisecond)).After(retryAfter(wait))
	}
	return nil
}

func retryAfter(wait time.Duration) time.Duration { return max(wait, minRetryAfter) }

// expectedWait is the expected wait of a new request of the class: the time until
// its share of freed slots has served those before it. The caller holds g.mu.
func (g *Gate) expectedWait(class class.Class) time.Duration {
	total := 0
	for i := range g.waiting.classes {
		if g.waiting.classes[i].length > 0 || i == int(class) {
			total += g.settings.Weights[i]
		}
	}
	ahead := g.waiting.classes[class].length
	share := float64(g.settings.Weights[class]) / float64(total)
	return time.Duration(float64(ahead) / share * float64(g.interval))
}

// withdraw takes a waiter out of its queue. It returns false when the slot was
// granted before, so that the caller holds it.
func (g *Gate) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.queued {
		return false
	}
	g.waiting.classes[w.class].remove(w)
	return true
}

// release gives a slot back and lets in the waiters for whom there is room.
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

// observeInterval takes the time since the last slot that went to a waiter into
// the mean. The caller holds g.mu.
func (g *Gate) observeInterval() {
	now := g.now()
	sample := now.Sub(g.lastGrant)
	g.lastGrant = now
	if g.interval == 0 {
		g.interval = sample
		return
	}
	g.interval += time.Duration(intervalSmoothing * float64(sample-g.interval))
}

// Load returns the slots in use and the requests that wait.
func (g *Gate) Load() (used, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used, g.waiting.length()
}
