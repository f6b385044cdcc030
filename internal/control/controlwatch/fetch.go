package controlwatch

import (
	"context"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/document"
)

const (
	// fetchTimeout bounds the transfer of a large configuration over a slow link.
	fetchTimeout = 3 * time.Second
	// secondFetchAfter is how long a fetch may take before the same version is fetched from
	// another control host as well: the first one may have fallen silent.
	secondFetchAfter = 700 * time.Millisecond
	// maxFetches bounds concurrent fetches, which share a link that may be slow.
	maxFetches = 2
	// firstWait is how long a host without any configuration waits, before it uses one that may
	// be older than another, for control hosts that have neither answered nor failed.
	firstWait = 300 * time.Millisecond
	// firstPoll is the interval at which it checks for their answers.
	firstPoll = 5 * time.Millisecond
)

// fetches tracks the fetches of the configuration that are under way: all control hosts
// announce a new version at about the same time. The caller serializes access.
type fetches struct {
	running   int
	version   uint64    // highest version announced while they run
	since     time.Time // when the last of them began
	candidate uint64    // version of the first configuration while it waits, 0 for none
}

// begin reports whether a control host that has announced a version is to be asked for it now.
func (f *fetches) begin(version uint64, now time.Time) bool {
	pending := f.running > 0 && version <= f.version && now.Sub(f.since) < secondFetchAfter || version <= f.candidate
	f.version = max(f.version, version)
	if f.running >= maxFetches || pending {
		return false
	}
	f.running++
	f.since = now
	return true
}

func (f *fetches) end() {
	if f.running--; f.running == 0 {
		f.version = 0
	}
}

// awaited returns the version that is being fetched, 0 for none, and how long to wait for it.
func (f *fetches) awaited(now time.Time) (version uint64, wait time.Duration) {
	if f.running == 0 {
		return f.candidate, watchWait
	}
	return max(f.version, f.candidate), max(firstRetry, f.since.Add(secondFetchAfter).Sub(now))
}

// refetch delays the next fetch from a control host after one that failed. The host's changes
// of instances are not delayed.
type refetch struct {
	version uint64 // of the configuration that was not fetched
	delay   time.Duration
	at      time.Time
}

func (r *refetch) failed(version uint64, now time.Time) {
	r.delay = min(max(2*r.delay, firstRetry), fetchTimeout)
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
	w.mu.Lock()
	w.fetches.end()
	w.mu.Unlock()
	if err == nil && (confirmed || w.config.Version() > 0 || w.newestReachable(ctx, d.Version)) {
		err = w.offer(d, address)
	}
	if err == nil {
		*r = refetch{}
		return
	}
	r.failed(version, time.Now())
	if omitted, ok := w.lines.Allow("configuration not fetched", time.Now()); ok {
		w.logger.Warn("configuration not fetched", "control", address, "version", version, "err", err, "retry_after", r.delay, "omitted", omitted)
	}
}

// offer puts a document into force unless another control host had a newer one meanwhile.
func (w *Watcher) offer(d document.Document, address string) error {
	if d.Version <= w.config.Version() {
		return nil
	}
	return w.config.Offer(d, address)
}

// download returns the configuration of a control host. A host that has none yet asks for
// confirmation that there is no newer one.
func (w *Watcher) download(ctx context.Context, address string) (d document.Document, confirmed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := controlapi.DocumentRequest{Confirm: w.config.Version() == 0}
	var resp controlapi.DocumentResponse
	if err := w.clients.Get(address).Call(ctx, controlapi.MethodDocument, req, &resp); err != nil {
		return document.Document{}, false, err
	}
	d, err = resp.Unpack()
	return d, resp.Confirmed, err
}

// newestReachable waits until all known control hosts have answered or failed, for firstWait at
// most, and until a newer configuration that one of them has announced is fetched. It reports
// whether the version is the newest that can be had.
func (w *Watcher) newestReachable(ctx context.Context, version uint64) bool {
	w.holdCandidate(version)
	defer w.holdCandidate(0)
	for begin := time.Now(); pause.For(ctx, firstPoll); {
		if w.config.Version() > 0 {
			return w.config.Version() < version
		}
		newer, unheard := w.others(version)
		limit := w.firstWait
		switch {
		case newer:
			limit += fetchTimeout
		case unheard == 0:
			limit = 0
		}
		if waited := time.Since(begin); waited >= limit {
			w.logger.Info("first configuration not confirmed by a quorum", "version", version, "waited", waited, "newer", newer, "unheard", unheard)
			return true
		}
	}
	return false
}

func (w *Watcher) holdCandidate(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetches.candidate = version
}

// others reports whether a reachable control host has announced a newer version, and how many
// have neither answered nor failed yet.
func (w *Watcher) others(version uint64) (newer bool, unheard int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.watched {
		newer = newer || t.up && t.version > version
		if !t.heard {
			unheard++
		}
	}
	return newer, unheard
}
