package middleware

import (
	"net/http"
	"strings"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/call"
	"filberthook/internal/serve/prefix"
	"filberthook/internal/serve/request"
)

// Limits of completion requests, in tokens.
const (
	maxOutputTokens       = 1 << 20
	defaultExpectedOutput = 256 // assumed for a request without max_tokens
)

// resolveModel parses a completion request and resolves its endpoint.
func (h *Target) resolveModel(c *call.Call, r *http.Request) *request.Refusal {
	if r.Method != http.MethodPost {
		return request.Refuse(request.MethodNotAllowed, "method %s", r.Method)
	}
	fields, err := parseCompletion(c.Body)
	if err != nil {
		return request.Refuse(request.InvalidRequest, "the body is no completion request: %v", err)
	}
	completion := fields.request
	if completion.MaxTokens < 0 || completion.MaxTokens > maxOutputTokens {
		return request.Refuse(request.InvalidRequest, "max_tokens must be from 0 to %d", maxOutputTokens)
	}
	endpoint, refusal := authorize(h.config.Snapshot(), r, completion.Model)
	if refusal != nil {
		return refusal
	}
	if endpoint.Kind != engineapi.KindModel {
		return request.Refuse(request.EndpointNotFound, "endpoint %s serves no model", completion.Model)
	}
	c.Endpoint = endpoint
	c.Path = r.URL.Path
	c.Body = fields.body(endpoint)
	c.Stream = completion.Stream
	text := prompt(completion)
	c.Prefixes = prefix.PrefixHashes(endpoint.Model, endpoint.Adapter, text)
	c.PromptTokens = prefix.CountTokens(text)
	c.MaxTokens = completion.MaxTokens
	c.ExpectedOutput = completion.MaxTokens
	if c.ExpectedOutput == 0 {
		c.ExpectedOutput = defaultExpectedOutput
	}
	return nil
}

// prompt returns the text that an engine prefills for a request.
func prompt(r engineapi.CompletionRequest) string {
	if r.Prompt != "" {
		return r.Prompt
	}
	var b strings.Builder
	for i, m := range r.Messages {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Content)
	}
	return b.String()
}
