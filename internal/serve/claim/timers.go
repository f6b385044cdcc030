package claim

import "time"

// timer is the next state change of a claim, or the removal of a withdrawn attempt.
type timer struct {
	at      time.Duration
	rec     *record // the claim; nil for a withdrawn attempt
	attempt string  // the withdrawn attempt, if rec is nil
	index   int     // position in timers, kept by Swap and Push
}

// timers is a min-heap of timers by time. It implements heap.Interface.
type timers []*timer

// Len implements sort.Interface.
func (t timers) Len() int { return len(t) }

// Less implements sort.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements sort.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index = i
	t[j].index = j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	item := x.(*timer)
	item.index = len(*t)
	*t = append(*t, item)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return last
}
