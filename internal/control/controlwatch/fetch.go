package controlwatch

import (
	"context"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/document"
)

// fetchTimeout bounds the transfer of a large configuration over a slow link.
const fetchTimeout = 3 * time.Second

// fetches tracks the fetch of the configuration that is under way: all control hosts announce
// a new version at about the same time. The caller serializes access.
type fetches struct {
	running int
	version uint64 // highest version announced while it runs
}

// begin reports whether a control host that has announced a version is to be asked for it now.
func (f *fetches) begin(version uint64) bool {
	f.version = max(f.version, version)
	if f.running > 0 {
		return false
	}
	f.running++
	return true
}

func (f *fetches) end() {
	if f.running--; f.running == 0 {
		f.version = 0
	}
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
	version, wait = w.fetches.version, watchWait
	w.mu.Unlock()
	if left := time.Until(r.at); left > 0 {
		version, wait = max(version, r.version), min(wait, left)
	}
	return max(version, w.config.Version()), wait
}

// fetch fetches the configuration from a control host that has announced a newer version.
func (w *Watcher) fetch(ctx context.Context, address string, version uint64, r *refetch) {
	if version <= w.config.Version() || version <= r.version && time.Now().Before(r.at) {
		return
	}
	w.mu.Lock()
	begun := w.fetches.begin(version)
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
