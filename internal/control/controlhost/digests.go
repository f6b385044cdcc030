package controlhost

import (
	"context"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/process/pause"
)

const (
	// digestInterval is how often control hosts send each other the load that entry hosts
	// have reported to them.
	digestInterval = 100 * time.Millisecond
	// digestTimeout bounds one call. A control host that does not answer is called again
	// after it.
	digestTimeout = 500 * time.Millisecond
)

// shareLoads sends digests to the other control hosts until ctx ends. There are none while
// all entry hosts report to the leader. It also notes when this host becomes the leader.
func (h *Host) shareLoads(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	targets := map[string]*digestTarget{}
	for pause.For(ctx, digestInterval) {
		h.noteLeadership()
		if h.watchers.few(time.Now()) {
			continue
		}
		for _, address := range h.membership.addresses() {
			if address == h.settings.Listen.peersAddress() {
				continue
			}
			t := targets[address]
			if t == nil {
				t = &digestTarget{}
				targets[address] = t
			}
			if t.busy.TryLock() {
				running.Go(func() {
					defer t.busy.Unlock()
					h.sendDigest(ctx, address, t)
				})
			}
		}
	}
}

// digestTarget is a control host that digests are sent to.
type digestTarget struct {
	busy     sync.Mutex // held during a call
	epoch    string     // of its process, as last answered
	position uint64     // of the cache updates that it has
}

func (h *Host) sendDigest(ctx context.Context, address string, t *digestTarget) {
	digest, any := h.loads.digest(t.position, time.Now())
	if !any {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	var answer controlapi.LoadReport
	if err := h.digestRPC.Get(address).Call(ctx, controlapi.MethodDigest, digest, &answer); err != nil {
		h.logger.Debug("load digest not sent", "control", address, "err", err)
		return
	}
	t.position = digest.UpdatesPosition
	if answer.UpdatesEpoch != t.epoch {
		t.epoch, t.position = answer.UpdatesEpoch, 0 // it has lost what earlier digests told
	}
}
