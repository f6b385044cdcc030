package middleware

import (
	"net/http"

	"filberthook/internal/bench/history"
	"filberthook/internal/serve/call"
)

// History records the course and outcome of each call in the history log.
type History struct {
	log  *history.Log
	next http.Handler
}

// NewHistory returns the handler.
func NewHistory(log *history.Log, next http.Handler) *History {
	return &History{log: log, next: next}
}

// ServeHTTP implements http.Handler.
func (h *History) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	c.History = h.log.Begin(c.Request.ID())
	defer func() {
		c.History.Describe(c.Team, c.Endpoint.Name, c.Class.String())
		code := ""
		if refusal := c.Request.Outcome(); refusal != nil {
			code = string(refusal.Code)
		}
		h.log.End(c.History, c.Request.State().String(), code)
	}()
	h.next.ServeHTTP(w, r)
}
