package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/request"
)

// TeamSettings are the limits of one calling team at one entry host.
type TeamSettings struct {
	Concurrency     int     `toml:"concurrency"`       // requests in flight or waiting
	TokensPerSecond float64 `toml:"tokens_per_second"` // prompt and output tokens
	TokenBurst      int     `toml:"token_burst"`
}

// DefaultTeam returns the limits of a team without settings of its own.
func DefaultTeam() TeamSettings {
	return TeamSettings{Concurrency: 512, TokensPerSecond: 200_000, TokenBurst: 2_000_000}
}

// teamShards is the number of locks; a team's shard is chosen by its name's hash.
const teamShards = 16

// Teams enforces the limits of calling teams. It is safe for concurrent use. Pass
// only authenticated teams: each name takes memory for good.
type Teams struct {
	now    func() time.Time
	shards [teamShards]teamShard
}

type teamShard struct {
	mu    sync.Mutex
	teams map[string]*team // guarded by mu
}

// team is guarded by its shard's lock.
type team struct {
	inFlight int
	tokens   *rate.Limiter
}

// NewTeams returns Teams with no requests in flight.
func NewTeams(now func() time.Time) *Teams {
	t := &Teams{now: now}
	for i := range t.shards {
		t.shards[i].teams = make(map[string]*team)
	}
	return t
}

func (t *Teams) shard(name string) *teamShard {
	return &t.shards[xxhash.Sum64String(name)%teamShards]
}

// Begin admits one request and charges its prompt tokens. When it returns nil,
// the caller must call End once. A refusal's disposition is NotRun.
func (t *Teams) Begin(name string, s TeamSettings, promptTokens int) *request.Refusal {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	tm := sh.get(name, s)
	if tm.inFlight >= s.Concurrency {
		return request.Refuse(request.TeamConcurrency, "%d requests of the team are under way", tm.inFlight)
	}
	now := t.now()
	need := min(promptTokens, s.TokenBurst)
	if !tm.tokens.AllowN(now, need) {
		missing := float64(need) - tm.tokens.TokensAt(now)
		wait := saturate.Seconds(missing / s.TokensPerSecond)
		return request.Refuse(request.TeamTokenRate, "%d tokens asked for, %.0f left", promptTokens, max(tm.tokens.TokensAt(now), 0)).WithRetryAfter(retryAfter(wait))
	}
	tm.inFlight++
	return nil
}

// End ends a request that Begin admitted and charges its output tokens to the
// team's rate, which may delay the team's later requests.
func (t *Teams) End(name string, outputTokens int) {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	tm := sh.teams[name]
	tm.inFlight--
	tm.tokens.ReserveN(t.now(), min(outputTokens, tm.tokens.Burst()))
}

// get returns the team's state, created when new and updated when its settings
// have changed. The caller holds s.mu.
func (s *teamShard) get(name string, settings TeamSettings) *team {
	limit := rate.Limit(settings.TokensPerSecond)
	tm := s.teams[name]
	if tm == nil {
		tm = &team{tokens: rate.NewLimiter(limit, settings.TokenBurst)}
		s.teams[name] = tm
	}
	if tm.tokens.Limit() != limit {
		tm.tokens.SetLimit(limit)
	}
	if tm.tokens.Burst() != settings.TokenBurst {
		tm.tokens.SetBurst(settings.TokenBurst)
	}
	return tm
}
