package middleware

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

// DeadlineSettings limit the deadlines of requests.
type DeadlineSettings struct {
	Min tomltime.Duration `toml:"min"` // a request with a shorter deadline is refused
	Max tomltime.Duration `toml:"max"` // longest deadline that a caller can ask for
}

// DefaultDeadline returns the limits used if the settings file sets none.
func DefaultDeadline() DeadlineSettings {
	return DeadlineSettings{Min: tomltime.Of(5 * time.Millisecond), Max: tomltime.Of(time.Hour)}
}

// Deadline sets the deadline of a request: the caller's, or the endpoint's default.
type Deadline struct {
	settings DeadlineSettings
	next     http.Handler
}

// NewDeadline returns the handler.
func NewDeadline(settings DeadlineSettings, next http.Handler) *Deadline {
	return &Deadline{settings: settings, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Deadline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	allowed, refusal := h.allowed(r, c.Endpoint.DefaultDeadline)
	if refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	c.Deadline = time.Now().Add(allowed)
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	h.next.ServeHTTP(w, r.WithContext(ctx))
}

func (h *Deadline) allowed(r *http.Request, def time.Duration) (time.Duration, *request.Refusal) {
	value := r.Header.Get(engineapi.HeaderDeadline)
	if value == "" {
		return min(def, h.settings.Max.Duration), nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > h.settings.Max.Milliseconds() {
		return 0, request.Refuse(request.InvalidRequest, "%s must be a number of milliseconds from 0 to %d",
			engineapi.HeaderDeadline, h.settings.Max.Milliseconds())
	}
	allowed := time.Duration(ms) * time.Millisecond
	if allowed < h.settings.Min.Duration {
		return 0, request.Refuse(request.DeadlineUnreachable, "%v are left, at least %v are needed", allowed, h.settings.Min)
	}
	return allowed, nil
}
