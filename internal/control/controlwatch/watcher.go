// Package controlwatch lets an entry host follow the control hosts. It finds them from
// seeds, watches each of them for changes of instances, and fetches the configuration
// when one of them has a newer version. It also exchanges load with the other entry hosts.
package controlwatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/loglimit"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/raftnet"
)

const (
	// watchWait is how long a control host may delay an answer.
	watchWait = time.Second
	// watchTimeout is when a watch call fails: a second after its answer is due.
	watchTimeout = watchWait + time.Second
	// firstRetry and maxRetry bound the pause after a failed call, which doubles. It stays
	// short because hosts that lost power together return within a second or two, at
	// different times.
	firstRetry = 60 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// forgetAfter is when an unreachable control host that neither seeds nor other control
	// hosts name any more is forgotten.
	forgetAfter = 30 * time.Second
	// tickInterval is how often the seeds are read and the view drops what lost control
	// hosts reported too long ago.
	tickInterval = 500 * time.Millisecond
)

// Configuration receives the newest configuration.
type Configuration interface {
	// Version returns the version in force, 0 for none.
	Version() uint64
	// Offer puts a newer document into force.
	Offer(d document.Document, from string) error
}

// Watcher follows the control hosts.
type Watcher struct {
	clients  *raftnet.Pool
	view     *instances.View
	config   Configuration
	logger   *slog.Logger
	lines    loglimit.Limiter
	reached  func(address string)
	observer bool // set on a control host: it is not counted as an entry host
	// firstWait is how long the first configuration waits, from its first announcement.
	firstWait time.Duration

	exchanged atomic.Bool // load was exchanged at least once

	offering sync.Mutex // held while a document is offered

	mu      sync.Mutex
	watched map[string]*controlHost // by peer address
	leader  string                  // address of the group's leader, as last reported
	fetches fetches                 // of the configuration
	hosts   hostCount               // entry hosts that watch a control host
}

// controlHost is the state of one watched control host.
type controlHost struct {
	namedAt time.Time // when a seed or a control host last named it
	up      bool      // the last call succeeded
	heard   bool      // a call has succeeded or failed
	zone    string    // availability zone, as last reported
	version uint64    // of the configuration, as last reported
	page    pageSize  // used by follow only
}

// New returns a Watcher that keeps view and config up to date.
func New(clients *raftnet.Pool, view *instances.View, config Configuration, logger *slog.Logger) *Watcher {
	return &Watcher{clients: clients, view: view, config: config, logger: logger, watched: map[string]*controlHost{}, firstWait: firstWait}
}

// NewObserver returns a Watcher for a control host, which is not counted among the
// entry hosts.
func NewObserver(clients *raftnet.Pool, view *instances.View, config Configuration, logger *slog.Logger) *Watcher {
	w := New(clients, view, config, logger)
	w.observer = true
	return w
}

// OnReached sets a function that is called with the address of each control host that has
// answered. It must be set before Run.
func (w *Watcher) OnReached(reached func(address string)) { w.reached = reached }

// Run follows the control hosts until ctx ends. The function seeds returns the peer
// addresses of the seeds; it is called regularly, as the seeds may be replaced.
func (w *Watcher) Run(ctx context.Context, seeds func() []string) {
	var running sync.WaitGroup
	defer running.Wait()
	w.track(ctx, &running, seeds())
	for pause.For(ctx, tickInterval) {
		w.track(ctx, &running, seeds())
		w.view.Tick(time.Now())
	}
}

// Hosts returns how many entry hosts follow the control hosts, this one included. It is 0
// until a control host has told the number.
func (w *Watcher) Hosts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts.highest(time.Now())
}

// Exchanged reports whether this host has exchanged load, and with it what the other hosts
// know of blocks in quarantine, since its start.
func (w *Watcher) Exchanged() bool { return w.exchanged.Load() }

// Leader returns the address of the control group's leader as last reported, empty when
// none was.
func (w *Watcher) Leader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader
}

// Connected returns how many control hosts are reachable.
func (w *Watcher) Connected() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.watched {
		if t.up {
			n++
		}
	}
	return n
}

// Announced returns the highest version of the configuration that a reachable control host has
// announced, 0 for none.
func (w *Watcher) Announced() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	highest := uint64(0)
	for _, t := range w.watched {
		if t.up {
			highest = max(highest, t.version)
		}
	}
	return highest
}

// track records that the addresses were named as control hosts, and follows new ones.
func (w *Watcher) track(ctx context.Context, running *sync.WaitGroup, addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, address := range addresses {
		if t, ok := w.watched[address]; ok {
			t.namedAt = time.Now()
			continue
		}
		t := &controlHost{namedAt: time.Now(), page: firstPage}
		w.watched[address] = t
		running.Go(func() { w.follow(ctx, running, address, t) })
	}
}

// follow watches one control host until ctx ends or the host is forgotten.
func (w *Watcher) follow(ctx context.Context, running *sync.WaitGroup, address string, t *controlHost) {
	delay := firstRetry
	var retry refetch
	for ctx.Err() == nil {
		resp, err := w.poll(ctx, address, t, &retry)
		if err != nil {
			w.markLost(address, t, err)
			if w.forgetIfUnnamed(address, t) || !pause.For(ctx, delay) {
				return
			}
			delay = min(2*delay, maxRetry)
			continue
		}
		delay = firstRetry
		w.markReached(address, t, resp)
		w.track(ctx, running, resp.Peers)
		w.view.Update(address, resp.Epoch, resp.Position, w.valid(address, resp.Changes), time.Now())
		w.fetch(ctx, address, resp.Version, &retry)
	}
}

// valid returns the valid changes of a list. The others name no instance to use and change none.
func (w *Watcher) valid(address string, all controlapi.Changes) []instances.Change {
	valid, refused, err := all.Valid()
	if refused > 0 {
		if omitted, ok := w.lines.Allow("entries refused", time.Now()); ok {
			w.logger.Warn("entries of a control host refused", "control", address, "entries", refused, "err", err, "omitted", omitted)
		}
	}
	return valid
}

// poll makes one watch call, which returns after a change or after watchWait.
func (w *Watcher) poll(ctx context.Context, address string, t *controlHost, retry *refetch) (controlapi.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	epoch, position := w.view.Position(address)
	version, wait := w.awaited(retry)
	req := controlapi.WatchRequest{
		Epoch: epoch, Position: position,
		Version: version, WaitMS: wholeMilliseconds(wait), PageBytes: int(t.page), Packed: true, Observer: w.observer,
	}
	var resp controlapi.WatchResponse
	begin := time.Now()
	err := w.clients.Get(address).Call(ctx, controlapi.MethodWatch, req, &resp)
	if err == nil {
		err = resp.Unpack()
	}
	var unreachable *peer.UnreachableError
	switch {
	case err == nil:
		t.page.answered(resp.Changes, time.Since(begin))
	case errors.Is(err, context.DeadlineExceeded) && !errors.As(err, &unreachable) && t.page.timedOut():
		w.logger.Info("watch call timed out; smaller parts of the list asked for", "control", address, "position", position, "page_bytes", int(t.page))
	}
	return resp, err
}

// wholeMilliseconds rounds up: with a wait of 0 the calls would follow each other without a pause until
// the rest of a millisecond has passed.
func wholeMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

func (w *Watcher) markReached(address string, t *controlHost, resp controlapi.WatchResponse) {
	w.mu.Lock()
	before := t.up
	t.up, t.heard, t.namedAt, t.zone, t.version = true, true, time.Now(), resp.Zone, resp.Version
	w.hosts.report(resp.Hosts, time.Now())
	if resp.Leader != "" {
		w.leader = resp.Leader
	}
	w.mu.Unlock()
	if w.reached != nil {
		w.reached(address)
	}
	if !before {
		w.logger.Info("control host reached", "control", address, "epoch", resp.Epoch,
			"instances", len(resp.Changes), "config", resp.Version)
	}
}

func (w *Watcher) markLost(address string, t *controlHost, err error) {
	w.mu.Lock()
	before := t.up
	t.up, t.heard = false, true
	w.mu.Unlock()
	w.view.Disconnected(address, time.Now())
	if before {
		w.logger.Warn("control host lost", "control", address, "err", err)
	}
}

// forgetIfUnnamed forgets a failing control host that was not named for forgetAfter. It
// reports whether it did.
func (w *Watcher) forgetIfUnnamed(address string, t *controlHost) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(t.namedAt) < forgetAfter {
		return false
	}
	delete(w.watched, address)
	w.logger.Info("control host forgotten", "control", address)
	return true
}

// Reached returns the addresses of the control hosts that answer.
func (w *Watcher) Reached() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for address, t := range w.watched {
		if t.up {
			out = append(out, address)
		}
	}
	return out
}
