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
	MaxTeamShare float64           `toml:"max_team_share"`      // largest share of the queue that one calling team may fill
	AgeStep      tomltime.Duration `toml:"age_step"`            // wait that raises a request by one class
	ReserveAfter tomltime.Duration `toml:"reserve_after"`       // wait after which no other request overtakes
	LateFactor   float64           `toml:"late_factor"`         // refuse when the predicted first token exceeds this multiple of its target; 0 refuses none
	Quantile     float64           `toml:"output_quantile"`     // quantile of answer lengths used as the expected length
	PriorOutput  int               `toml:"output_prior_tokens"` // assumed answer length without history, in tokens
	Weights      []TeamWeight      `toml:"team_weights"`        // unlisted teams have weight 1
}

// TeamWeight is the fair-queueing weight of one calling team.
type TeamWeight struct {
	Team   string  `toml:"team"`
	Weight float64 `toml:"weight"`
}

// DefaultConfig returns the settings used for keys that the settings file omits.
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

// TooLate reports whether a request should be refused now because its predicted
// first token exceeds the target by too much: running it would only delay other
// requests. predicted is routing's Decision.FirstToken, which allows for prompts
// that other entry hosts have just sent.
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
	KVBlocks int           // engine memory for prompt and expected answer
	Arrived  time.Duration // arrival of the request
	StartBy  time.Duration // latest start that can meet the deadline; 0 is none
	Value    T
}

// RefusalReason is the reason why a request was not admitted.
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

// RefusedError reports a request that was refused before any work was done.
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
// It orders them by class and age, and shares engine memory between teams by
// start-time fair queueing. It is safe for concurrent use.
type Queue[T any] struct {
	cfg     Config
	counts  counters
	weights map[string]float64

	mu          sync.Mutex
	flows       []*flow[T]         // non-empty flows; guarded by mu
	length      int                // items in flows; guarded by mu
	teams       map[string]int     // waiting items by team; guarded by mu
	finishTags  map[string]float64 // fair-queueing finish tag by team; guarded by mu
	virtualTime float64            // start tag of the newest dispatch; guarded by mu
	rate        drainRate          // guarded by mu
}

type counters struct {
	admitted, placed, cancelled *metrics.Counter
	refused                     map[RefusalReason]*metrics.Counter
}

// NewQueue returns an empty queue. Its counters are registered in set and
// labelled with name.
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

// Push adds a request. It returns a *RefusedError when the queue or the team's
// share of it is full, or when the request is expected to start after its StartBy.
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

// minRetryAfter prevents refused callers from retrying in a tight loop.
const minRetryAfter = 250 * time.Millisecond

func (q *Queue[T]) refuse(item *Item[T], reason RefusalReason, wait time.Duration) *RefusedError {
	q.counts.refused[reason].Inc()
	return &RefusedError{ID: item.ID, Reason: reason, RetryAfter: max(wait, minRetryAfter)}
}

// blocksAhead returns the KV blocks of the waiting requests that rank at least
// as high as item. The caller holds q.mu.
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

// rank returns the effective class of a request: each AgeStep of waiting raises
// it by one, but never above class.Check.
func (q *Queue[T]) rank(now time.Duration, item *Item[T]) int {
	if item.Class <= class.Check || q.cfg.AgeStep.Duration <= 0 {
		return int(item.Class)
	}
	steps := int((now - item.Arrived) / q.cfg.AgeStep.Duration)
	return max(int(class.Check), int(item.Class)-steps)
}

// Dispatch offers waiting requests to place, the most urgent first and teams of
// the same rank by fair share, until none can be placed. place reports whether
// the request has started; it must not call the queue. When a request that has
// waited for ReserveAfter does not fit, Dispatch offers no others, so that
// memory becomes free for it. Dispatch returns the number of requests placed.
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

// nextFlow returns the flow whose first request is next, or nil when all flows
// are skipped. The caller holds q.mu.
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

// before reports whether the first request of flow a precedes that of flow b.
// The caller holds q.mu.
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

// charge advances the team's finish tag by the request's memory divided by the
// team's weight. The caller holds q.mu.
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

// dropPaidTag deletes the team's finish tag if virtual time has reached it: the
// team has then paid for its share. The caller holds q.mu.
func (q *Queue[T]) dropPaidTag(team string) {
	if q.finishTags[team] <= q.virtualTime {
		delete(q.finishTags, team)
	}
}

// Expire removes the requests that can no longer start in time and returns them
// with their refusals, so that their callers are answered immediately.
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

// Expired is a request that Expire removed, with its refusal.
type Expired[T any] struct {
	Item *Item[T]
	Err  *RefusedError
}

// Cancel removes a request whose caller has disconnected. It reports whether the
// request was still waiting; if so, it has not run and will not run.
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
