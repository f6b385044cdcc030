package proxy

import (
	"sync"
	"sync/atomic"
	"time"
)

// watch cancels a repeatable attempt that makes no progress: a stream that pauses for
// Settings.StreamIdle, or any attempt without progress for Settings.GoneIdle at an instance
// whose lease has expired. An instance that holds its lease may take any time until the
// first event, and one without a lease may finish a stream that makes progress.
type watch struct {
	attempt   *attempt
	started   time.Time
	progress  atomic.Int64 // time of the last progress, in nanoseconds since started
	streaming atomic.Bool  // the header of a streamed answer has arrived

	mu    sync.Mutex
	timer *time.Timer // guarded by mu; nil after stop
}

// startWatch starts to watch an attempt.
func startWatch(a *attempt) *watch {
	w := &watch{attempt: a, started: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(a.proxy.settings.WatchInterval.Duration, w.check)
	return w
}

// noteEvent records progress of a stream.
func (w *watch) noteEvent() {
	w.progress.Store(int64(time.Since(w.started)))
	w.streaming.Store(true)
}

// stop stops watching. It may be called more than once, and on nil.
func (w *watch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

func (w *watch) check() {
	stuck := w.stuck()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.timer == nil:
	case stuck:
		w.attempt.cancel()
	default:
		w.timer.Reset(w.attempt.proxy.settings.WatchInterval.Duration)
	}
}

func (w *watch) stuck() bool {
	s := &w.attempt.proxy.settings
	idle := time.Since(w.started) - time.Duration(w.progress.Load())
	if w.streaming.Load() && idle >= s.StreamIdle.Duration {
		return true
	}
	d := &w.attempt.decision
	return idle >= s.GoneIdle.Duration && !w.attempt.proxy.sched.Live(d.Instance, d.Incarnation)
}
