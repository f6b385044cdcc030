// Package membudget accounts for the memory that a process holds for its clients: heads and bodies of
// requests, and answers. Memory is reserved before it is filled. When there is none left, the client
// that has sent the least for the longest time is cut off, and further ones are refused.
package membudget

import (
	"container/list"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a hold may use the part that is reserved for small ones.
	SmallBytes = 64 << 10
	// progressBytes is what an incomplete request has to send to count as progressing, so that one
	// byte now and then does not.
	progressBytes = 16 << 10
	// MinStall is how long an incomplete request goes without progress before it may be cut off. It
	// allows for lost packets that are sent again twice.
	MinStall = time.Second
	// smallShare and answerShare are the parts of a budget, at most maxShare each, that large holds,
	// and large requests, leave free.
	smallShare  = 8
	answerShare = 16
	maxShare    = 8 << 20
)

const (
	// processBytes is what a process uses without clients. Processes were measured with 15 MB; a
	// deployment's instances and routes take further memory.
	processBytes = 40 << 20
	// minBytes serves a few callers on a host with hardly more memory than processBytes.
	minBytes = 8 << 20
)

// ExhaustedError reports that the budget has no room.
type ExhaustedError struct {
	Wanted, Used, Limit int64
	// Soon is set if requests that were cut off are about to make room.
	Soon bool
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for %d more bytes, %d of %d are in use: send the request again later, or raise memory_mb", e.Wanted, e.Used, e.Limit)
}

// EvictedError reports that a request was cut off because it stalled while others needed its memory.
type EvictedError struct{}

// Error implements error.
func (*EvictedError) Error() string {
	return "the request stalled while memory was short: send it again, without pauses"
}

// Budget is the memory for all clients of a process. It is safe for concurrent use.
// Invariant: used is the sum of the bytes of all holds that are not released.
type Budget struct {
	total   int64
	small   int64 // reserved for holds of up to SmallBytes
	answers int64 // reserved for answers

	mu         sync.Mutex
	used       int64
	evicting   int64     // part of used, of holds that were evicted and not yet released
	incomplete list.List // of *Hold, the longest without progress first
	refused    uint64
	evicted    uint64
}

// New returns a budget of total bytes.
func New(total int64) *Budget {
	return &Budget{total: total, small: min(total/smallShare, maxShare), answers: min(total/answerShare, maxShare)}
}

// ForMemory returns the budget of a process with a memory limit in MB; 0 stands for no limit. A
// quarter of what the process does not need itself is left to the garbage collector and to sockets.
func ForMemory(mb int) *Budget {
	if mb <= 0 {
		return New(math.MaxInt64 / 2)
	}
	return New(max(minBytes, (int64(mb)<<20-processBytes)/4*3))
}

// Limited reports whether the process has a memory limit.
func (b *Budget) Limited() bool { return b.total < math.MaxInt64/2 }

// Hold is the memory of one request or answer. It must be released.
type Hold struct {
	budget  *Budget
	answer  bool
	bytes   int64
	evict   func()
	element *list.Element // in Budget.incomplete, nil if it is not there
	marked  time.Time     // of the last progress
	sent    int64         // since marked
	evicted bool
	done    bool
}

// OpenRequest returns an empty hold of a request that is incomplete. If it stalls while there is no
// memory, evict is called, which must have the client cut off, must not block and must not call
// the budget.
func (b *Budget) OpenRequest(now time.Time, evict func()) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Hold{budget: b, evict: evict, marked: now}
	h.element = b.incomplete.PushBack(h)
	return h
}

// OpenAnswer returns an empty hold of an answer, which is never evicted.
func (b *Budget) OpenAnswer() *Hold { return &Hold{budget: b, answer: true} }

// limit returns up to where a hold of some size may fill the budget.
func (h *Hold) limit(bytes int64) int64 {
	b := h.budget
	switch {
	case bytes <= SmallBytes:
		return b.total
	case h.answer:
		return b.total - b.small
	default:
		return b.total - b.small - b.answers
	}
}

// Grow reserves n more bytes. If they do not fit, it evicts what has stalled for the longest time
// and returns an *ExhaustedError. It returns an *EvictedError if the hold itself was evicted.
func (h *Hold) Grow(n int64, now time.Time) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return &EvictedError{}
	}
	limit := h.limit(h.bytes + n)
	if b.used+n <= limit {
		b.used += n
		h.bytes += n
		return nil
	}
	for b.used-b.evicting+n > limit && b.evictStalled(now, h) {
	}
	return &ExhaustedError{Wanted: n, Used: b.used, Limit: limit, Soon: b.used-b.evicting+n <= limit}
}

// EvictStalled evicts the request that has stalled for the longest time, and reports whether there
// was one.
func (b *Budget) EvictStalled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictStalled(now, nil)
}

// evictStalled is EvictStalled for a caller that holds b.mu and spares one hold.
func (b *Budget) evictStalled(now time.Time, spared *Hold) bool {
	front := b.incomplete.Front()
	if front != nil && front.Value.(*Hold) == spared {
		front = front.Next()
	}
	if front == nil {
		return false
	}
	h := front.Value.(*Hold)
	if now.Sub(h.marked) < MinStall {
		return false
	}
	h.leave()
	h.evicted = true
	b.evicting += h.bytes
	b.evicted++
	h.evict()
	return true
}

// leave removes the hold from those that are incomplete. The caller holds the budget's lock.
func (h *Hold) leave() {
	if h.element != nil {
		h.budget.incomplete.Remove(h.element)
		h.element = nil
	}
}

// Progress records that n bytes of the request have arrived.
func (h *Hold) Progress(n int64, now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.sent += n
	if h.sent >= progressBytes && h.element != nil {
		h.marked, h.sent = now, 0
		b.incomplete.MoveToBack(h.element)
	}
}

// Complete records that the request has arrived: from now on it is not evicted.
func (h *Hold) Complete() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.leave()
}

// Evicted reports whether the hold was evicted.
func (h *Hold) Evicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Release returns the memory; further calls do nothing.
func (h *Hold) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.done {
		return
	}
	h.done = true
	h.leave()
	b.used -= h.bytes
	if h.evicted {
		b.evicting -= h.bytes
	}
	h.bytes = 0
}

// Stats is the state of a budget.
type Stats struct {
	Total, Used      int64
	Refused, Evicted uint64
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Total: b.total, Used: b.used, Refused: b.refused, Evicted: b.evicted}
}
