// Package middleware holds the HTTP handlers that an entry host applies to a caller's
// request before it is sent to an endpoint. Each handler does one job and wraps the
// next; NewChain puts them in order.
package middleware

import (
	"net/http"
	"time"

	"filberthook/internal/bench/history"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/limit"
	"filberthook/internal/serve/request"
)

// Configuration provides the configuration in force.
type Configuration interface {
	Snapshot() *fleet.Snapshot
}

// Settings limit what callers can send and ask for.
type Settings struct {
	Body     BodySettings       `toml:"body"`
	Deadline DeadlineSettings   `toml:"deadline"`
	Gate     limit.GateSettings `toml:"gate"`
	Team     limit.TeamSettings `toml:"team"`
	Claims   ClaimSettings      `toml:"claims"`
	Pace     PaceSettings       `toml:"pace"`
}

// DefaultSettings returns the settings used if the settings file sets none.
func DefaultSettings() Settings {
	return Settings{
		Body:     DefaultBody(),
		Deadline: DefaultDeadline(),
		Gate:     limit.DefaultGate(),
		Team:     limit.DefaultTeam(),
		Claims:   DefaultClaims(),
		Pace:     DefaultPace(),
	}
}

// Chain is the outermost handler of the chain, with the handlers that a stop needs.
type Chain struct {
	http.Handler
	Stop   *Stop
	Claims *Claims
}

// NewChain returns the handlers in front of next. The entry host uses log, counters and
// calls elsewhere too.
func NewChain(s Settings, config Configuration, log *claimlog.Client, counters *request.Counters, calls *history.Log, next http.Handler) *Chain {
	claims := NewClaims(s.Claims, log, next)
	var h http.Handler = claims
	h = NewSlots(limit.NewGate(s.Gate, time.Now), h)
	h = NewTeams(s.Team, limit.NewTeams(time.Now), h)
	h = NewDeadline(s.Deadline, h)
	h = NewIdempotency(s.Claims.Retention.Duration, h)
	h = NewTarget(config, h)
	h = NewBody(s.Body, limit.NewMemory(s.Body.MaxHeld), h)
	h = NewOutcome(log, h)
	h = NewAuthentication(config, h)
	stop := NewStop(h)
	h = NewHistory(calls, stop)
	h = NewRequestID(counters, h)
	h = NewPace(s.Pace, h)
	h = caller.Handler(h)
	return &Chain{Handler: NewViolation(h), Stop: stop, Claims: claims}
}
