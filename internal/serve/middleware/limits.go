package middleware

import (
	"net/http"

	"filberthook/internal/serve/call"
	"filberthook/internal/serve/limit"
)

// Teams enforces the concurrency and token rate limits of calling teams.
type Teams struct {
	settings limit.TeamSettings
	teams    *limit.Teams
	next     http.Handler
}

// NewTeams returns the handler.
func NewTeams(settings limit.TeamSettings, teams *limit.Teams, next http.Handler) *Teams {
	return &Teams{settings: settings, teams: teams, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Teams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	if refusal := h.teams.Begin(c.Team, h.settings, c.PromptTokens); refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	defer func() { h.teams.End(c.Team, int(c.OutputTokens.Load())) }()
	h.next.ServeHTTP(w, r)
}

// Slots limits the number of concurrent requests; others wait in the queue of their
// class.
type Slots struct {
	gate *limit.Gate
	next http.Handler
}

// NewSlots returns the handler.
func NewSlots(gate *limit.Gate, next http.Handler) *Slots {
	return &Slots{gate: gate, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Slots) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	release, refusal := h.gate.Acquire(r.Context(), c.Team, c.Class)
	if refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	defer release()
	c.Request.Admit()
	h.next.ServeHTTP(w, r)
}
