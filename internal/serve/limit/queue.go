package limit

import "filberthook/internal/serve/class"

// waiter is one request that waits for a slot.
type waiter struct {
	team    string
	class   class.Class
	granted chan struct{} // closed when the slot is granted
	queued  bool          // true while in a queue
}

// teamQueue holds one team's waiters of one class, the oldest first.
type teamQueue struct {
	team    string
	waiters []*waiter
}

// classQueue holds the waiters of one class and serves teams round-robin.
type classQueue struct {
	teams  map[string]*teamQueue
	turns  []*teamQueue // non-empty team queues; the first is served next
	length int          // waiters of all teams
	credit int          // weighted round-robin credit, earned while other classes are served
}

func (q *classQueue) push(w *waiter) {
	t := q.teams[w.team]
	if t == nil {
		t = &teamQueue{team: w.team}
		q.teams[w.team] = t
		q.turns = append(q.turns, t)
	}
	t.waiters = append(t.waiters, w)
	w.queued = true
	q.length++
}

// pop removes and returns the oldest waiter of the team whose turn it is.
func (q *classQueue) pop() *waiter {
	t := q.turns[0]
	q.turns = q.turns[1:]
	w := t.waiters[0]
	t.waiters[0] = nil
	t.waiters = t.waiters[1:]
	if len(t.waiters) > 0 {
		q.turns = append(q.turns, t)
	} else {
		delete(q.teams, t.team)
	}
	w.queued = false
	q.length--
	return w
}

// remove removes a waiter whose request gave up waiting.
func (q *classQueue) remove(w *waiter) {
	t := q.teams[w.team]
	for i, other := range t.waiters {
		if other == w {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			break
		}
	}
	if len(t.waiters) == 0 {
		delete(q.teams, t.team)
		q.removeTurn(t)
	}
	w.queued = false
	q.length--
}

func (q *classQueue) removeTurn(t *teamQueue) {
	for i, other := range q.turns {
		if other == t {
			q.turns = append(q.turns[:i], q.turns[i+1:]...)
			return
		}
	}
}

// queue serves classes by weighted round-robin, so that urgent classes get most
// slots and no class starves.
type queue struct {
	classes [class.Count]classQueue
	weights [class.Count]int
}

func newQueue(weights [class.Count]int) *queue {
	q := &queue{weights: weights}
	for i := range q.classes {
		q.classes[i].teams = make(map[string]*teamQueue)
	}
	return q
}

func (q *queue) length() int {
	n := 0
	for i := range q.classes {
		n += q.classes[i].length
	}
	return n
}

// pop removes and returns the next waiter of a class that admits reports true for,
// or nil. Classes with waiters are served in proportion to their weights.
func (q *queue) pop(admits func(class.Class) bool) *waiter {
	best, total := -1, 0
	for i := range q.classes {
		c := &q.classes[i]
		if c.length == 0 {
			c.credit = 0
			continue
		}
		if !admits(class.Class(i)) {
			continue
		}
		c.credit += q.weights[i]
		total += q.weights[i]
		if best < 0 || c.credit > q.classes[best].credit {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	q.classes[best].credit -= total
	return q.classes[best].pop()
}
