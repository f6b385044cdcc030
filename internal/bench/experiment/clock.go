package experiment

import (
	"container/heap"
	"time"
)

// clock runs scheduled functions in the order of their logical times. Functions scheduled
// for the same time run in the order in which they were scheduled.
type clock struct {
	now    time.Duration
	next   uint64
	timers timerHeap
}

type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// at schedules a function for a logical time; a time in the past means now.
func (c *clock) at(when time.Duration, run func()) {
	c.next++
	heap.Push(&c.timers, timer{at: max(when, c.now), seq: c.next, run: run})
}

// after schedules a function after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now+delay, run) }

// every runs a function now and after each period until end.
func (c *clock) every(period, end time.Duration, run func()) {
	run()
	if c.now+period <= end {
		c.after(period, func() { c.every(period, end, run) })
	}
}

// run runs the functions scheduled up to and including end.
func (c *clock) run(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = timer{}
	*h = old[:last]
	return t
}
