package middleware

import (
	"net/http"
	"strings"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/request"
)

// PathServices is the path prefix of calls to plain services:
// PathServices{endpoint}/{path at the service}.
const PathServices = "/services/"

// HeaderPriorityClass is the request header that names a class.Class.
const HeaderPriorityClass = "X-Priority-Class"

// Target resolves the endpoint of a request and checks that the team may call it.
type Target struct {
	config Configuration
	next   http.Handler
}

// NewTarget returns the handler.
func NewTarget(config Configuration, next http.Handler) *Target {
	return &Target{config: config, next: next}
}

// ServeHTTP implements http.Handler.
func (h *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := call.From(r)
	if refusal := h.resolve(c, r); refusal != nil {
		c.Refuse(w, refusal)
		return
	}
	h.next.ServeHTTP(w, r)
}

func (h *Target) resolve(c *call.Call, r *http.Request) *request.Refusal {
	var refusal *request.Refusal
	switch {
	case r.URL.Path == engineapi.PathChatCompletions || r.URL.Path == engineapi.PathCompletions:
		refusal = h.resolveModel(c, r)
	case strings.HasPrefix(r.URL.Path, PathServices):
		refusal = h.resolveService(c, r)
	default:
		refusal = request.Refuse(request.PathNotFound, "%s is no path for callers", r.URL.Path)
	}
	if refusal != nil {
		return refusal
	}
	if c.Endpoint.Repeatable || safe(r.Method) {
		c.Request.AllowRepeats()
		c.Resend = false
	} else if c.Stream {
		return request.Refuse(request.InvalidRequest, "calls of endpoint %s may not be repeated, so they cannot be streamed", c.Endpoint.Name)
	}
	return setClass(c, r)
}

func (h *Target) resolveService(c *call.Call, r *http.Request) *request.Refusal {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return request.Refuse(request.MethodNotAllowed, "method %s", r.Method)
	}
	// Splitting the escaped path keeps an escaped slash as part of a name.
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathServices), "/")
	endpoint, refusal := authorize(h.config.Snapshot(), r, name)
	if refusal != nil {
		return refusal
	}
	if endpoint.Kind != engineapi.KindService {
		return request.Refuse(request.EndpointNotFound, "endpoint %s is no plain service", name)
	}
	c.Endpoint = endpoint
	c.Path = "/" + path
	c.RawQuery = r.URL.RawQuery
	return nil
}

// defaultClass returns the class of a request that names none.
func defaultClass(c *call.Call, r *http.Request) class.Class {
	switch {
	case c.Endpoint.Kind == engineapi.KindModel:
		return class.Summary
	case safe(r.Method):
		return class.Status
	default:
		return class.Check
	}
}

func setClass(c *call.Call, r *http.Request) *request.Refusal {
	name := r.Header.Get(HeaderPriorityClass)
	if name == "" {
		c.Class = defaultClass(c, r)
		return nil
	}
	parsed, err := class.Parse(name)
	if err != nil {
		return request.Refuse(request.InvalidRequest, "%s must be status, check, summary or lookup", HeaderPriorityClass)
	}
	c.Class = parsed
	return nil
}
