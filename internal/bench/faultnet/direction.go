package faultnet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"filberthook/internal/process/pause"
)

// direction is the state of one direction of a relay.
type direction struct {
	bytes atomic.Uint64 // forwarded since the start

	mu    sync.Mutex
	open  chan struct{} // closed while bytes may pass; guarded by mu
	delay time.Duration // guarded by mu
}

func newDirection() *direction {
	d := &direction{open: make(chan struct{})}
	close(d.open)
	return d
}

func (d *direction) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isOpen() {
		d.open = make(chan struct{})
	}
}

func (d *direction) heal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isOpen() {
		close(d.open)
	}
}

func (d *direction) setDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = by
}

// isOpen reports whether bytes may pass; the caller holds d.mu.
func (d *direction) isOpen() bool {
	select {
	case <-d.open:
		return true
	default:
		return false
	}
}

// wait waits until bytes that were read at readAt may be forwarded. It reports false
// if ctx ends first.
func (d *direction) wait(ctx context.Context, readAt time.Time) bool {
	d.mu.Lock()
	open, delay := d.open, d.delay
	d.mu.Unlock()
	if !pause.For(ctx, time.Until(readAt.Add(delay))) {
		return false
	}
	select {
	case <-open:
		return true
	case <-ctx.Done():
		return false
	}
}
