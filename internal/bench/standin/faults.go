package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Faults injects faults into a stand-in. All methods are safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	crashed  chan struct{} // closed while the stand-in is crashed
	resume   chan struct{} // closed while the stand-in is not paused
	delay    time.Duration
	cross    int // number of next answers to swap with those of other requests
	cuts     int // number of next streams to cut
	cutAfter int // tokens that a cut stream sends first
	lostRuns int // number of next calls that run and lose their answer
}

// newFaults returns Faults with no fault active.
func newFaults() *Faults {
	f := &Faults{crashed: make(chan struct{}), resume: make(chan struct{})}
	close(f.resume)
	return f
}

// crash drops all connections and refuses new ones until restore.
func (f *Faults) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isClosed(f.crashed) {
		close(f.crashed)
	}
}

func (f *Faults) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isClosed(f.crashed) {
		f.crashed = make(chan struct{})
	}
}

// Pause stops all progress until Resume, as SIGSTOP would.
func (f *Faults) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isClosed(f.resume) {
		f.resume = make(chan struct{})
	}
}

// Resume ends a pause.
func (f *Faults) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isClosed(f.resume) {
		close(f.resume)
	}
}

// DelayAnswers delays the first byte of each answer; 0 ends the delay.
func (f *Faults) DelayAnswers(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// CrossAnswers gives the next n answers the attempt identifier and content of
// another request.
func (f *Faults) CrossAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cross = n
}

// CutStreams drops the connection of the next n streams after some tokens.
func (f *Faults) CutStreams(n, afterTokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts, f.cutAfter = n, afterTokens
}

// LoseAnswers drops the connection of the next n calls after they ran.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostRuns = n
}

// Clear ends all faults except a crash.
func (f *Faults) Clear() {
	f.Resume()
	f.DelayAnswers(0)
	f.CrossAnswers(0)
	f.CutStreams(0, 0)
	f.LoseAnswers(0)
}

// crashSignal returns a channel that is closed when the stand-in crashes.
func (f *Faults) crashSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// waitOrAbort waits while the stand-in is paused. It drops the connection if the
// stand-in has crashed or crashes meanwhile, and reports false if ctx ends first.
func (f *Faults) waitOrAbort(ctx context.Context) bool {
	f.mu.Lock()
	resume, crashed := f.resume, f.crashed
	f.mu.Unlock()
	select {
	case <-crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	select {
	case <-resume:
		return true
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		return false
	}
}

// waitRunning waits while the stand-in is paused and reports whether it is up
// afterwards: not crashed and ctx not ended.
func (f *Faults) waitRunning(ctx context.Context) bool {
	f.mu.Lock()
	resume, crashed := f.resume, f.crashed
	f.mu.Unlock()
	select {
	case <-resume:
	case <-ctx.Done():
		return false
	}
	return !isClosed(crashed)
}

// delayAnswer waits for the delay set by DelayAnswers.
func (f *Faults) delayAnswer(ctx context.Context) {
	f.mu.Lock()
	delay, crashed := f.delay, f.crashed
	f.mu.Unlock()
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-crashed:
	}
}

func (f *Faults) takeCross() bool { return f.decrement(&f.cross) }

func (f *Faults) takeLostRun() bool { return f.decrement(&f.lostRuns) }

// takeCut reports whether to cut a stream, and after how many tokens.
func (f *Faults) takeCut() (afterTokens int, cut bool) {
	cut = f.decrement(&f.cuts)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutAfter, cut
}

func (f *Faults) decrement(left *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
