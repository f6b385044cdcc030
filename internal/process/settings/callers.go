package settings

import (
	"fmt"

	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/middleware"
	"filberthook/internal/serve/proxy"
)

// EntryCallers holds the limits of callers' requests.
type EntryCallers struct {
	middleware.Settings
	MaxConnections int               `toml:"max_connections"` // open connections of callers to this host
	Claiming       claimlog.Settings `toml:"claiming"`        // batching and retries of claim proposals
	Proxy          proxy.Settings    `toml:"proxy"`           // attempts at endpoint instances
}

// DefaultMaxConnections is the default limit of callers' connections to one host.
const DefaultMaxConnections = 8192

// DefaultEntryCallers returns the limits used when none are set.
func DefaultEntryCallers() EntryCallers {
	return EntryCallers{
		Settings:       middleware.DefaultSettings(),
		MaxConnections: DefaultMaxConnections,
		Claiming:       claimlog.DefaultSettings(),
		Proxy:          proxy.DefaultSettings(),
	}
}

// limit is a setting whose value must be above zero.
type limit struct {
	key   string
	value float64
}

// Check reports every wrong value. The key is the table's name.
func (s *EntryCallers) Check(c *Checker, key string) {
	for _, l := range s.limits() {
		if l.value <= 0 {
			c.Add(key+"."+l.key, fmt.Sprintf("is %v", l.value), "use a value above 0, or leave it out for the default")
		}
	}
	if s.Body.MaxBytes > s.Body.MaxHeld {
		c.Add(key+".body.max_held", "is less than max_bytes", "allow at least one body of the largest size")
	}
	if s.Proxy.MaxAnswerBytes > s.Proxy.MaxHeldBytes {
		c.Add(key+".proxy.max_held_bytes", "is less than max_answer_bytes", "allow at least one answer of the largest size")
	}
	if s.Gate.TeamShare > 1 {
		c.Add(key+".gate.team_share", fmt.Sprintf("is %v", s.Gate.TeamShare), "use a part of 1")
	}
	if s.Proxy.Retry.Budget.Ratio > 1 {
		c.Add(key+".proxy.retry.budget.ratio", fmt.Sprintf("is %v", s.Proxy.Retry.Budget.Ratio), "use a part of 1, best below 0.1")
	}
}

// limits lists the values that must be above zero.
func (s *EntryCallers) limits() []limit {
	seconds := func(d tomltime.Duration) float64 { return d.Seconds() }
	list := []limit{
		{"max_connections", float64(s.MaxConnections)},
		{"body.max_bytes", float64(s.Body.MaxBytes)},
		{"deadline.max", seconds(s.Deadline.Max)},
		{"gate.slots", float64(s.Gate.Slots)},
		{"gate.team_share", s.Gate.TeamShare},
		{"team.concurrency", float64(s.Team.Concurrency)},
		{"team.tokens_per_second", s.Team.TokensPerSecond},
		{"team.token_burst", float64(s.Team.TokenBurst)},
		{"claims.grace", seconds(s.Claims.Grace)},
		{"claims.max_running", float64(s.Claims.MaxRunning)},
		{"claims.retention", seconds(s.Claims.Retention)},
		{"pace.read_timeout", seconds(s.Pace.ReadTimeout)},
		{"pace.write_timeout", seconds(s.Pace.WriteTimeout)},
		{"claiming.max_batch", float64(s.Claiming.MaxBatch)},
		{"claiming.proposers", float64(s.Claiming.Proposers)},
		{"claiming.queue", float64(s.Claiming.Queue)},
		{"claiming.background", float64(s.Claiming.Background)},
		{"claiming.propose_timeout", seconds(s.Claiming.ProposeTimeout)},
		{"claiming.claim_timeout", seconds(s.Claiming.ClaimTimeout)},
		{"claiming.probe_interval", seconds(s.Claiming.ProbeInterval)},
		{"proxy.max_answer_bytes", float64(s.Proxy.MaxAnswerBytes)},
		{"proxy.max_event_bytes", float64(s.Proxy.MaxEventBytes)},
		{"proxy.stream_idle", seconds(s.Proxy.StreamIdle)},
		{"proxy.gone_idle", seconds(s.Proxy.GoneIdle)},
		{"proxy.watch_interval", seconds(s.Proxy.WatchInterval)},
		{"proxy.transport.dial_timeout", seconds(s.Proxy.Transport.DialTimeout)},
		{"proxy.retry.max_attempts", float64(s.Proxy.Retry.MaxAttempts)},
	}
	for c := range class.Class(class.Count) {
		list = append(list,
			limit{fmt.Sprintf("gate.queue[%d]", c), float64(s.Gate.Queue[c])},
			limit{fmt.Sprintf("gate.shares[%d]", c), s.Gate.Shares[c]},
			limit{fmt.Sprintf("gate.weights[%d]", c), float64(s.Gate.Weights[c])},
		)
	}
	return list
}
