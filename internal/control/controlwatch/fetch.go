package controlwatch

import (
	"context"
	"time"

	"filberthook/internal/control/controlapi"
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
)

// fetches tracks the fetches of the configuration that are under way: all control hosts
// announce a new version at about the same time. The caller serializes access.
type fetches struct {
	running int
	version uint64    // highest version announced while they run
	since   time.Time // when the last of them began
}

// begin reports whether a control host that has announced a version is to be asked for it now.
func (f *fetches) begin(version uint64, now time.Time) bool {
	pending := f.running > 0 && version <= f.version && now.Sub(f.since) < secondFetchAfter
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
		return 0, watchWait
	}
	return f.version, max(firstRetry, f.since.Add(secondFetchAfter).Sub(now))
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
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	err := w.fetchFrom(ctx, address)
	w.mu.Lock()
	w.fetches.end()
	w.mu.Unlock()
	if err == nil {
		*r = refetch{}
		return
	}
	r.failed(version, time.Now())
	if omitted, ok := w.lines.Allow("configuration not fetched", time.Now()); ok {
		w.logger.Warn("configuration not fetched", "control", address, "version", version, "err", err, "retry_after", r.delay, "omitted", omitted)
	}
}

func (w *Watcher) fetchFrom(ctx context.Context, address string) error {
	var packed document.Packed
	if err := w.clients.Get(address).Call(ctx, controlapi.MethodDocument, controlapi.DocumentRequest{}, &packed); err != nil {
		return err
	}
	d, err := packed.Unpack()
	if err != nil {
		return err
	}
	return w.config.Offer(d, address)
}
