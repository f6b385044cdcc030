// Package history remembers what an entry host decided for the calls under way
// and for a bounded number of recent ones, so that operators can ask why. It
// holds no prompts, bodies or keys.
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
	RecentPerShard = 256 // ended calls that each shard remembers
	maxAttempts    = 16  // attempts remembered of one call
)

// Attempt is one decision for a call.
type Attempt struct {
	Instance             string        `json:"instance,omitempty"` // empty when none could take the call
	Prefill              string        `json:"prefill,omitempty"`  // instance that computed the prompt
	Predicted            time.Duration `json:"predicted_first_token_ns,omitempty"`
	Score                float64       `json:"score,omitempty"` // lower is better
	ExpectedCachedTokens int           `json:"expected_cached_tokens,omitempty"`
	After                time.Duration `json:"after_ns"` // since the call arrived
	ResumedFrom          int           `json:"resumed_from,omitempty"`
	Problem              string        `json:"problem,omitempty"` // why it gave no answer
}

// Call is what is remembered of one call.
type Call struct {
	ID       string        `json:"request_id"`
	Team     string        `json:"team,omitempty"`
	Endpoint string        `json:"endpoint,omitempty"`
	Class    string        `json:"class,omitempty"`
	Arrived  time.Time     `json:"arrived"`
	Elapsed  time.Duration `json:"took_ns"` // until now for a call under way
	State    string        `json:"state"`
	Code     string        `json:"code,omitempty"` // reason of a refusal
	Attempts []Attempt     `json:"attempts,omitempty"`
}

// Entry is the record of one call. Its methods may be called by many goroutines
// at once; a nil Entry records nothing.
type Entry struct {
	arrived time.Time

	mu   sync.Mutex // guards call
	call Call
}

// Describe notes whose call it is.
func (e *Entry) Describe(team, endpoint, class string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.call.Team, e.call.Endpoint, e.call.Class = team, endpoint, class
}

// AddAttempt notes one decision.
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

// SetProblem notes why the last decision gave no answer.
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

// snapshot returns a copy.
func (e *Entry) snapshot() Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.call
	out.Attempts = slices.Clone(e.call.Attempts)
	return out
}

// Log remembers calls. Its methods may be called by many goroutines at once.
type Log struct{ shards [shardCount]shard }

type shard struct {
	mu     sync.Mutex        // guards the fields below
	active map[string]*Entry // calls under way
	recent []*Entry          // ring of ended calls
	next   int               // place of the next one in recent
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

// Begin notes that a call has arrived.
func (l *Log) Begin(id string) *Entry {
	now := time.Now()
	e := &Entry{arrived: now, call: Call{ID: id, Arrived: now}}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[id] = e
	return e
}

// End notes how a call ended and moves it to the recent ones.
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

// Active returns the calls under way, the oldest first.
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

// Find returns the newest call with a request identifier.
func (l *Log) Find(id string) (Call, bool) {
	s := l.shard(id)
	s.mu.Lock()
	e := s.active[id]
	for i := range s.recent {
		if e != nil {
			break
		}
		// newest first: walk backwards from the place of the next one
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
