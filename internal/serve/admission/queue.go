package admission

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/class"
)

// Config holds the settings of a Queue.
type Config struct {
	MaxQueued    int               `toml:"max_queued"`          // requests waiting in one queue
	MaxTeamShare float64           `toml:"max_team_share"`      // largest part of the queue that one calling team may fill
	AgeStep      tomltime.Duration `toml:"age_step"`            // waiting this long makes a request one class more urgent
	ReserveAfter tomltime.Duration `toml:"reserve_after"`       // a request that has waited this long is not passed by others
	LateFactor   float64           `toml:"late_factor"`         // a first token predicted beyond this share of its target is refused; 0 refuses none
	Quantile     float64           `toml:"output_quantile"`     // share of answers that the expected length covers
	PriorOutput  int               `toml:"output_prior_tokens"` // assumed answer length without history
	Weights      []TeamWeight      `toml:"team_weights"`        // teams that are not listed have weight 1
}

// TeamWeight is the share of one calling team relative to others.
type TeamWeight struct {
	Team   string  `toml:"team"`
	Weight float64 `toml:"weight"`
}

// DefaultConfig returns the settings used when a file names none.
func DefaultConfig() Config {
	return Config{
		MaxQueued:    512,
		MaxTeamShare: 0.5,
		AgeStep:      tomltime.Of(2 * time.Second),
		ReserveAfter: tomltime.Of(5 * time.Second),
		LateFactor:   1.0,
		Quantile:     0.8,
		PriorOutput:  300,
	}
}

// TooLate reports whether a request should be refused now, because its first
// token is predicted too far beyond the target: running it would only make
// others late. Predicted is routing's Decision.FirstToken, which allows for
// prompts that other entry hosts have just sent.
func (c *Config) TooLate(waited, predicted, target time.Duration) bool {
	if c.LateFactor <= 0 || target <= 0 {
		return false
	}
	return (waited + predicted).Seconds() > c.LateFactor*target.Seconds()
}

// Item is one waiting request.
type Item[T any] struct {
	ID       string
	Team     string
	Class    class.Class
	KVBlocks int           // engine memory for the whole request
	Arrived  time.Duration // when the request came
	StartBy  time.Duration // latest start that can meet the deadline; 0 is none
	Value    T
}

// RefusalReason tells why a request was not admitted.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedFull     RefusalReason = "queue_full"
	RefusedShare    RefusalReason = "team_share_full"
	RefusedDeadline RefusalReason = "deadline_cannot_be_met"
)

var refusalRemedies = map[RefusalReason]string{
	RefusedFull:     "retry after the given time",
	RefusedShare:    "send fewer requests at once, or ask the operator for a larger share",
	RefusedDeadline: "retry after the given time or allow a later deadline",
}

// RefusedError tells that a request was refused before any work was done.
type RefusedError struct {
	ID         string
	Reason     RefusalReason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s not run (%s): %s (%v)", e.ID, e.Reason, refusalRemedies[e.Reason], e.RetryAfter)
}

// flow holds the waiting requests of one team in one class, in order of arrival.
type flow[T any] struct {
	team  string
	class class.Class
	items []*Item[T]
}

// Queue holds the requests that wait for the engines of one model or service.
// All methods may be called by many goroutines at once.
type Queue[T any] struct {
	cfg     Config
	counts  counters
	weights map[string]float64

	mu          sync.Mutex
	flows       []*flow[T]         // with at least one item; guarded by mu
	length      int                // items in flows; guarded by mu
	teams       map[string]int     // waiting items by team; guarded by mu
	finishTags  map[string]float64 // fair queueing finish tag by team; guarded by mu
	virtualTime float64            // start tag of the newest dispatch; guarded by mu
	rate        drainRate          // guarded by mu
}

type counters struct {
	admitted, placed, cancelled *metrics.Counter
	refused                     map[RefusalReason]*metrics.Counter
}

// NewQueue returns an empty queue that counts under the given name in set.
func NewQueue[T any](cfg Config, name string, set *metrics.Set) *Queue[T] {
	q := &Queue[T]{cfg: cfg, weights: make(map[string]float64), teams: make(map[string]int), finishTags: make(map[string]float64)}
	for _, w := range cfg.Weights {
		q.weights[w.Team] = w.Weight
	}
	counter := func(event string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`filberthook_admission_total{queue=%q,event=%q}`, name, event))
	}
	q.counts = counters{admitted: counter("queued"), placed: counter("placed"), cancelled: counter("cancelled")}
	q.counts.refused = make(map[RefusalReason]*metrics.Counter)
	for reason := range refusalRemedies {
		q.counts.refused[reason] = counter(string(reason))
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Push adds a request, or refuses it at once with a *RefusedError when the
// queue is full or the wait would exceed its deadline.
func (q *Queue[T]) Push(now time.Duration, item Item[T]) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.length == 0 {
		q.rate.resume(now)
	}
	wait := q.rate.wait(now, q.blocksAhead(now, &item))
	if reason := q.refusal(now, &item, wait); reason != "" {
		return q.refuse(&item, reason, wait)
	}
	f := q.flow(item.Team, item.Class)
	f.items = append(f.items, &item)
	q.length++
	q.teams[item.Team]++
	q.counts.admitted.Inc()
	return nil
}

func (q *Queue[T]) refusal(now time.Duration, item *Item[T], wait time.Duration) RefusalReason {
	switch {
	case q.length >= q.cfg.MaxQueued:
		return RefusedFull
	case float64(q.teams[item.Team]) >= q.cfg.MaxTeamShare*float64(q.cfg.MaxQueued):
		return RefusedShare
	case item.StartBy > 0 && now+wait > item.StartBy:
		return RefusedDeadline
	}
	return ""
}

// minRetryAfter keeps refused callers from retrying in a tight loop.
const minRetryAfter = 250 * time.Millisecond

func (q *Queue[T]) refuse(item *Item[T], reason RefusalReason, wait time.Duration) *RefusedError {
	q.counts.refused[reason].Inc()
	return &RefusedError{ID: item.ID, Reason: reason, RetryAfter: max(wait, minRetryAfter)}
}

// blocksAhead returns the memory of the requests that go before item. The
// caller holds q.mu.
func (q *Queue[T]) blocksAhead(now time.Duration, item *Item[T]) int {
	blocks := 0
	for _, f := range q.flows {
		for _, waiting := range f.items {
			if q.rank(now, waiting) <= int(item.Class) {
				blocks += waiting.KVBlocks
			}
		}
	}
	return blocks
}

// flow returns the flow of a team and class. The caller holds q.mu.
func (q *Queue[T]) flow(team string, class class.Class) *flow[T] {
	for _, f := range q.flows {
		if f.team == team && f.class == class {
			return f
		}
	}
	f := &flow[T]{team: team, class: class}
	q.flows = append(q.flows, f)
	return f
}

// rank returns the class of a request with its age taken into account. Ageing
// never makes a request as urgent as ClassUrgent.
func (q *Queue[T]) rank(now time.Duration, item *Item[T]) int {
	if item.Class <= class.Check || q.cfg.AgeStep.Duration <= 0 {
		return int(item.Class)
	}
	steps := int((now - item.Arrived) / q.cfg.AgeStep.Duration)
	return max(int(class.Check), int(item.Class)-steps)
}

// Dispatch offers waiting requests to place, the most urgent first and teams of
// the same rank by fair share, until none can be placed. Place reports whether
// the request has started; it must not call the queue. A request that has
// waited for ReserveAfter and does not fit keeps the others waiting, so that
// room for it comes about. Dispatch returns the number of requests placed.
func (q *Queue[T]) Dispatch(now time.Duration, place func(*Item[T]) bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	placed := 0
	skipped := make(map[*flow[T]]bool)
	for {
		f := q.nextFlow(now, skipped)
		if f == nil {
			return placed
		}
		item := f.items[0]
		if place(item) {
			q.charge(now, item)
			q.remove(f, 0)
			placed++
			continue
		}
		if now-item.Arrived >= q.cfg.ReserveAfter.Duration {
			return placed
		}
		skipped[f] = true
	}
}

// nextFlow returns the flow whose first request goes next, or nil. The caller
// holds q.mu.
func (q *Queue[T]) nextFlow(now time.Duration, skipped map[*flow[T]]bool) *flow[T] {
	var best *flow[T]
	for _, f := range q.flows {
		if skipped[f] {
			continue
		}
		if best == nil || q.before(now, f, best) {
			best = f
		}
	}
	return best
}

// before reports whether flow a goes before flow b. The caller holds q.mu.
func (q *Queue[T]) before(now time.Duration, a, b *flow[T]) bool {
	x, y := a.items[0], b.items[0]
	if rx, ry := q.rank(now, x), q.rank(now, y); rx != ry {
		return rx < ry
	}
	if tx, ty := q.startTag(a.team), q.startTag(b.team); tx != ty {
		return tx < ty
	}
	if x.Arrived != y.Arrived {
		return x.Arrived < y.Arrived
	}
	return x.ID < y.ID
}

func (q *Queue[T]) startTag(team string) float64 { return max(q.virtualTime, q.finishTags[team]) }

// charge counts a placed request against its team. The caller holds q.mu.
func (q *Queue[T]) charge(now time.Duration, item *Item[T]) {
	weight := q.weights[item.Team]
	if weight <= 0 {
		weight = 1
	}
	start := q.startTag(item.Team)
	q.virtualTime = start
	q.finishTags[item.Team] = start + float64(max(1, item.KVBlocks))/weight
	if now > item.Arrived {
		q.rate.observe(now, item.KVBlocks)
	}
	q.counts.placed.Inc()
}

// remove removes an item from a flow. The caller holds q.mu.
func (q *Queue[T]) remove(f *flow[T], at int) {
	team := f.team
	f.items = slices.Delete(f.items, at, at+1)
	q.length--
	q.teams[team]--
	if q.teams[team] == 0 {
		delete(q.teams, team)
		q.dropPaidTag(team)
	}
	if len(f.items) == 0 {
		q.flows = slices.DeleteFunc(q.flows, func(o *flow[T]) bool { return o == f })
	}
}

// dropPaidTag drops the tags that no longer matter: a team whose tag the virtual
// time has passed has no debt. The caller holds q.mu.
func (q *Queue[T]) dropPaidTag(team string) {
	if q.finishTags[team] <= q.virtualTime {
		delete(q.finishTags, team)
	}
}

// Expire removes the requests that can no longer start in time and returns
// them with their refusals, so that callers get their answer at once.
func (q *Queue[T]) Expire(now time.Duration) []Expired[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Expired[T]
	for _, f := range slices.Clone(q.flows) {
		for i := len(f.items) - 1; i >= 0; i-- {
			item := f.items[i]
			if item.StartBy == 0 || now <= item.StartBy {
				continue
			}
			wait := q.rate.wait(now, q.blocksAhead(now, item))
			out = append(out, Expired[T]{Item: item, Err: q.refuse(item, RefusedDeadline, wait)})
			q.remove(f, i)
		}
	}
	return out
}

// Expired is a request that left the queue unserved.
type Expired[T any] struct {
	Item *Item[T]
	Err  *RefusedError
}

// Cancel removes a request whose caller has gone. It reports whether the
// request was still waiting, so that it has not run and will not.
func (q *Queue[T]) Cancel(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.flows {
		at := slices.IndexFunc(f.items, func(item *Item[T]) bool { return item.ID == id })
		if at >= 0 {
			q.remove(f, at)
			q.counts.cancelled.Inc()
			return true
		}
	}
	return false
}
