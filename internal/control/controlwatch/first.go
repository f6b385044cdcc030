package controlwatch

import (
	"context"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/pause"
)

// newestReachable waits until a control host confirms with a quorum that there is no newer
// configuration, or until a newer one is fetched, for firstWait at most. It reports whether the
// version is the newest that can be had.
func (w *Watcher) newestReachable(ctx context.Context, version uint64) bool {
	begin := w.holdCandidate(version)
	defer w.releaseCandidate(version)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked, confirmed := map[string]bool{}, make(chan uint64, 1)
	for pause.For(ctx, firstPoll) {
		if w.config.Version() > 0 || w.superseded(version) {
			return w.config.Version() > 0 && w.config.Version() < version
		}
		for _, address := range w.reachable() {
			if !asked[address] {
				asked[address] = true
				go w.askToConfirm(ctx, address, confirmed)
			}
		}
		select {
		case newest := <-confirmed:
			if newest <= version {
				return true
			}
		default:
		}
		if waited := time.Since(begin); waited >= w.firstWait {
			newer, unheard := w.others(version)
			w.logger.Info("first configuration not confirmed by a quorum", "version", version, "waited", waited, "newer", newer, "unheard", unheard)
			return true
		}
	}
	return false
}

// askToConfirm asks a control host which version a quorum knows to be the newest, until it
// answers or ctx ends. The calls have no limit of their own, as one that runs out ends the
// connection and the fetches on it.
func (w *Watcher) askToConfirm(ctx context.Context, address string, confirmed chan<- uint64) {
	for pause.For(ctx, confirmInterval) {
		var resp controlapi.DocumentResponse
		req := controlapi.DocumentRequest{Confirm: true, VersionOnly: true}
		if err := w.clients.Get(address).Call(ctx, controlapi.MethodDocument, req, &resp); err != nil || !resp.Confirmed {
			continue
		}
		select {
		case confirmed <- resp.Version:
		case <-ctx.Done():
		}
		return
	}
}

// holdCandidate records the version of a first configuration that waits. It returns when the
// first fetch began.
func (w *Watcher) holdCandidate(version uint64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetches.candidate = max(w.fetches.candidate, version)
	return w.fetches.first
}

// superseded reports whether a newer first configuration waits.
func (w *Watcher) superseded(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetches.candidate > version
}

func (w *Watcher) releaseCandidate(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fetches.candidate == version {
		w.fetches.candidate = 0
	}
}

// reachable returns the addresses of the control hosts that answered the last call.
func (w *Watcher) reachable() []string {
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
