package controlwatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/document"
)

const (
	// fetchTimeout bounds the first attempt to transfer a large configuration over a slow link.
	// The limit of attempts doubles up to maxFetchTimeout.
	fetchTimeout    = 3 * time.Second
	maxFetchTimeout = 4 * fetchTimeout
	// silentAfter is how long no byte may come from a control host before the first attempt is
	// given up, so that another control host is asked. The limit doubles up to fetchTimeout.
	silentAfter = 600 * time.Millisecond
	// silencePoll is the interval at which the bytes that have come are checked.
	silencePoll = 20 * time.Millisecond
	// othersFirst is how long a control host that was silent leaves the next attempt to others.
	othersFirst = 250 * time.Millisecond
	// firstWait is how long in all a host without any configuration waits, from the first
	// announcement of one, before it uses one that may be older than another. It is shorter
	// than the time that requests wait for the first configuration.
	firstWait = 750 * time.Millisecond
	// confirmInterval is the pause after which a control host that has not confirmed the first
	// configuration is asked again: an election may be under way.
	confirmInterval = 50 * time.Millisecond
	// firstPoll is the interval at which it checks for their answers.
	firstPoll = 5 * time.Millisecond
)

// fetches tracks the fetches of the configuration: all control hosts announce a new version at
// about the same time. One fetch runs at a time, because two would share a link that may be slow.
// The caller serializes access.
type fetches struct {
	running   bool
	fetching  uint64    // version that the running fetch is to bring
	version   uint64    // highest version announced while it runs
	giveUp    time.Time // when it is given up unless more bytes come
	failed    int       // attempts in a row that ran out of time
	candidate uint64    // version of the first configuration while it waits, 0 for none
	first     time.Time // when the first fetch began
}

// begin reports whether a control host that has announced a version is to be asked for it now.
func (f *fetches) begin(version uint64, now time.Time) bool {
	if version <= f.candidate {
		return false
	}
	f.version = max(f.version, version)
	if f.running {
		return false
	}
	f.running, f.fetching = true, version
	if f.first.IsZero() {
		f.first = now
	}
	f.heard(now)
	return true
}

// heard records that bytes have come, or that a fetch begins.
func (f *fetches) heard(now time.Time) { f.giveUp = now.Add(f.silence()) }

func (f *fetches) silence() time.Duration {
	return min(silentAfter<<min(f.failed, 10), fetchTimeout)
}

func (f *fetches) timeout() time.Duration {
	return min(fetchTimeout<<min(f.failed, 10), maxFetchTimeout)
}

func (f *fetches) end(outOfTime bool) {
	f.running, f.fetching, f.version = false, 0, 0
	if outOfTime {
		f.failed++
	} else {
		f.failed = 0
	}
}

// awaited returns the version that is being fetched, 0 for none, and how long to wait for it.
func (f *fetches) awaited(now time.Time) (version uint64, wait time.Duration) {
	switch {
	case !f.running:
		return f.candidate, watchWait
	case f.version > f.fetching:
		return max(f.version, f.candidate), firstRetry
	}
	return max(f.version, f.candidate), max(firstRetry, min(f.giveUp.Sub(now), silentAfter))
}

// refetch delays the next fetch from a control host after one that failed. The host's changes
// of instances are not delayed.
type refetch struct {
	version uint64 // of the configuration that was not fetched
	delay   time.Duration
	at      time.Time
}

func (r *refetch) failed(version uint64, atLeast time.Duration, now time.Time) {
	r.delay = min(max(2*r.delay, firstRetry, atLeast), fetchTimeout)
	r.version, r.at = version, now.Add(r.delay)
}

// awaited returns the version beyond which a control host is to answer a watch call at once, and how
// long it may delay other answers.
func (w *Watcher) awaited(r *refetch) (version uint64, wait time.Duration) {
	w.mu.Lock()
	version, wait = w.fetches.awaited(time.Now())
	w.mu.Unlock()
	if left := time.Until(r.at); left > 0 {
		version, wait = max(version, r.version), min(wait, left)
	}
	return max(version, w.config.Version()), min(wait, watchWait)
}

// fetch fetches the configuration from a control host that has announced a newer version.
func (w *Watcher) fetch(ctx context.Context, address string, version uint64, r *refetch) {
	if version <= w.config.Version() || version <= r.version && time.Now().Before(r.at) {
		return
	}
	w.mu.Lock()
	begun := w.fetches.begin(version, time.Now())
	w.mu.Unlock()
	if !begun {
		return
	}
	d, confirmed, err := w.download(ctx, address)
	outOfTime := errors.Is(err, context.DeadlineExceeded)
	w.mu.Lock()
	w.fetches.end(outOfTime)
	w.mu.Unlock()
	if err == nil && (confirmed || w.config.Version() > 0 || w.newestReachable(ctx, d.Version)) {
		err = w.offer(d, address)
	}
	if err == nil {
		*r = refetch{}
		return
	}
	least := time.Duration(0)
	if outOfTime {
		least = othersFirst
	}
	r.failed(version, least, time.Now())
	if omitted, ok := w.lines.Allow("configuration not fetched", time.Now()); ok {
		w.logger.Warn("configuration not fetched", "control", address, "version", version, "err", err, "retry_after", r.delay, "omitted", omitted)
	}
}

// offer puts a document into force unless another control host had a newer one meanwhile.
func (w *Watcher) offer(d document.Document, address string) error {
	w.offering.Lock()
	defer w.offering.Unlock()
	if d.Version <= w.config.Version() {
		return nil
	}
	return w.config.Offer(d, address)
}

// download returns the configuration of a control host. A host that has none yet asks for
// confirmation that there is no newer one.
func (w *Watcher) download(ctx context.Context, address string) (d document.Document, confirmed bool, err error) {
	w.mu.Lock()
	timeout, silence := w.fetches.timeout(), w.fetches.silence()
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	client := w.clients.Get(address)
	silent := make(chan bool, 1)
	go func() {
		gaveUp := w.fallsSilent(ctx, client, silence)
		if gaveUp {
			cancel()
			client.Disconnect() // what is under way would delay the next attempt
		}
		silent <- gaveUp
	}()
	req := controlapi.DocumentRequest{Confirm: w.config.Version() == 0}
	var resp controlapi.DocumentResponse
	err = client.Call(ctx, controlapi.MethodDocument, req, &resp)
	cancel()
	if gaveUp := <-silent; gaveUp && err != nil {
		err = fmt.Errorf("no byte came for %v: %w; another control host is asked", silence, context.DeadlineExceeded)
	}
	if err != nil {
		return document.Document{}, false, err
	}
	d, err = resp.Unpack()
	return d, resp.Confirmed, err
}

// fallsSilent reports whether no byte comes from a control host for a time, until ctx ends. A
// stall of this process counts as one poll.
func (w *Watcher) fallsSilent(ctx context.Context, client *peer.Client, silence time.Duration) bool {
	received, at := client.Received(), time.Now()
	for silent := time.Duration(0); pause.For(ctx, silencePoll); {
		now := time.Now()
		silent += min(now.Sub(at), 2*silencePoll)
		at = now
		if n := client.Received(); n != received {
			received, silent = n, 0
			w.mu.Lock()
			w.fetches.heard(at)
			w.mu.Unlock()
		}
		if silent >= silence {
			return true
		}
	}
	return false
}
