// Package history records an entry host's routing decisions for calls in progress and for a
// bounded number of recently ended ones, so that operators can look up why a call was
// handled as it was. It stores no prompts, bodies or keys.
package history

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the history.
const (
	shardCount     = 16
	RecentPerShard = 256 // ended calls kept per shard
	maxAttempts    = 16  // attempts kept per call; later ones are not recorded
)

// Attempt is one routing decision for a call.
type Attempt struct {
	Instance             string        `json:"instance,omitempty"` // empty if no instance could take the call
	Prefill              string        `json:"prefill,omitempty"`  // instance that ran the prefill
	Predicted            time.Duration `json:"predicted_first_token_ns,omitempty"`
	Score                float64       `json:"score,omitempty"` // lower is better
	ExpectedCachedTokens int           `json:"expected_cached_tokens,omitempty"`
	After                time.Duration `json:"after_ns"` // time since the call arrived
	ResumedFrom          int           `json:"resumed_from,omitempty"`
	Problem              string        `json:"problem,omitempty"` // why the attempt failed
}

// Call is the recorded history of one call.
type Call struct {
	ID       string        `json:"request_id"`
	Team     string        `json:"team,omitempty"`
	Endpoint string        `json:"endpoint,omitempty"`
	Class    string        `json:"class,omitempty"`
	Arrived  time.Time     `json:"arrived"`
	Elapsed  time.Duration `json:"took_ns"` // so far, for a call in progress
	State    string        `json:"state"`
	Code     string        `json:"code,omitempty"` // code of the refusal, if any
	Attempts []Attempt     `json:"attempts,omitempty"`
}

// Entry records one call. Its methods are safe for concurrent use; a nil Entry records
// nothing.
type Entry struct {
	arrived time.Time

	mu   sync.Mutex // guards call
	call Call
}

// Describe records the call's calling team, endpoint and class.
func (e *Entry) Describe(team, endpoint, class string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.call.Team, e.call.Endpoint, e.call.Class = team, endpoint, class
}

// AddAttempt records a routing decision. Attempts above the limit per call are dropped.
func (e *Entry) AddAttempt(a Attempt) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.call.Attempts) >= maxAttempts {
		return
	}
	a.After = time.Since(e.arrived)
	e.call.Attempts = append(e.call.Attempts, a)
}

// SetProblem records why the last recorded attempt failed.
func (e *Entry) SetProblem(problem string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.call.Attempts); n > 0 {
		e.call.Attempts[n-1].Problem = problem
	}
}

func (e *Entry) snapshot() Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.call
	out.Attempts = slices.Clone(e.call.Attempts)
	return out
}

// Log holds the history of calls. Its methods are safe for concurrent use.
type Log struct{ shards [shardCount]shard }

type shard struct {
	mu     sync.Mutex        // guards the fields below
	active map[string]*Entry // calls in progress, by request identifier
	recent []*Entry          // ring buffer of ended calls
	next   int               // index in recent that is overwritten next
}

// NewLog returns an empty Log.
func NewLog() *Log {
	l := &Log{}
	for i := range l.shards {
		l.shards[i].active = make(map[string]*Entry)
	}
	return l
}

func (l *Log) shard(id string) *shard { return &l.shards[xxhash.Sum64String(id)%shardCount] }

// Begin records the arrival of a call.
func (l *Log) Begin(id string) *Entry {
	now := time.Now()
	e := &Entry{arrived: now, call: Call{ID: id, Arrived: now}}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[id] = e
	return e
}

// End records the outcome of a call and moves it from the active to the recent calls.
func (l *Log) End(e *Entry, state, code string) {
	e.mu.Lock()
	e.call.State, e.call.Code = state, code
	e.call.Elapsed = time.Since(e.arrived)
	id := e.call.ID
	e.mu.Unlock()
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[id] == e {
		delete(s.active, id)
	}
	if len(s.recent) < RecentPerShard {
		s.recent = append(s.recent, e)
		return
	}
	s.recent[s.next] = e
	s.next = (s.next + 1) % RecentPerShard
}

// Active returns the calls in progress, oldest first.
func (l *Log) Active() []Call {
	var out []Call
	for i := range l.shards {
		for _, e := range l.shards[i].activeEntries() {
			c := e.snapshot()
			c.State = "under_way"
			c.Elapsed = time.Since(e.arrived)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Call) int {
		if d := a.Arrived.Compare(b.Arrived); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

func (s *shard) activeEntries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Entry, 0, len(s.active))
	for _, e := range s.active {
		out = append(out, e)
	}
	return out
}

// Find returns the active or else the newest recent call with a request identifier.
func (l *Log) Find(id string) (Call, bool) {
	s := l.shard(id)
	s.mu.Lock()
	e := s.active[id]
	for i := range s.recent {
		if e != nil {
			break
		}
		// newest first: walk backwards from the index overwritten next
		at := (s.next + len(s.recent) - 1 - i) % len(s.recent)
		if s.recent[at].call.ID == id {
			e = s.recent[at]
		}
	}
	s.mu.Unlock()
	if e == nil {
		return Call{}, false
	}
	return e.snapshot(), true
}
