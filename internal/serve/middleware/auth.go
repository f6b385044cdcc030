package middleware

import (
	"errors"
	"net/http"
	"strings"

	"filberthook/internal/engines/fleet"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/request"
)

const bearerPrefix = "Bearer "

// Authentication identifies the calling team by its key before any of the body is read.
// Target checks with authorize whether the team may call the endpoint, once the endpoint
// is known.
type Authentication struct {
	config Configuration
	next   http.Handler
}

// NewAuthentication returns the handler.
func NewAuthentication(config Configuration, next http.Handler) *Authentication {
	return &Authentication{config: config, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Authentication) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	team, refusal := authenticate(h.config.Snapshot(), r)
	if refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	c.Team = team
	h.next.ServeHTTP(w, r)
}

func teamKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return key
}

// authenticate returns the team of the caller's key. Authorize without an endpoint always
// fails; its error names the team if the key is valid.
func authenticate(snap *fleet.Snapshot, r *http.Request) (string, *request.Refusal) {
	team, err := snap.Authorize(teamKey(r), "")
	var refused *fleet.AuthorizeError
	if !errors.As(err, &refused) {
		return team, nil
	}
	if refused.Reason == fleet.ReasonUnknownEndpoint {
		return refused.Team, nil
	}
	return "", request.Refuse(request.Unauthenticated, "%v", refused)
}

// authorize returns the endpoint, or a refusal if the caller's team may not call it.
func authorize(snap *fleet.Snapshot, r *http.Request, name string) (fleet.Endpoint, *request.Refusal) {
	_, err := snap.Authorize(teamKey(r), name)
	var refused *fleet.AuthorizeError
	if !errors.As(err, &refused) {
		return snap.Endpoints[name], nil
	}
	switch refused.Reason {
	case fleet.ReasonNotApproved:
		return fleet.Endpoint{}, request.Refuse(request.TeamNotApproved, "%v", refused)
	case fleet.ReasonUnknownEndpoint:
		return fleet.Endpoint{}, request.Refuse(request.EndpointNotFound, "%v", refused)
	default:
		return fleet.Endpoint{}, request.Refuse(request.Unauthenticated, "%v", refused)
	}
}
