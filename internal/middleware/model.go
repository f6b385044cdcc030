package middleware

import (
	"encoding/json"
	"net/http"
	"strings"

	"filberthook/internal/call"
	"filberthook/internal/engineapi"
	"filberthook/internal/fleet"
	"filberthook/internal/prefix"
	"filberthook/internal/request"
)

// Limits of completion requests, in tokens.
const (
	maxOutputTokens       = 1 << 20
	defaultExpectedOutput = 256 // assumed for a request that sets no limit
)

// modelField is the field of a completion request that names the endpoint. It
// is replaced by the endpoint's model.
const modelField = "model"

// model reads a completion request.
func (h *Target) model(c *call.Call, r *http.Request) *request.Refusal {
	if r.Method != http.MethodPost {
		return request.Refuse(request.MethodNotAllowed, "method %s", r.Method)
	}
	var completion engineapi.CompletionRequest
	if err := json.Unmarshal(c.Body, &completion); err != nil {
		return request.Refuse(request.InvalidRequest, "the body is no completion request: %v", err)
	}
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
	body, err := withModel(c.Body, endpoint)
	if err != nil {
		return request.Refuse(request.InvalidRequest, "the body is no JSON object: %v", err)
	}
	c.Endpoint = endpoint
	c.Path = r.URL.Path
	c.Body = body
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

// prompt returns the text that an engine computes for a request.
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

// withModel replaces the endpoint's name in a request by its model and adapter
// and keeps all other fields as they are. JSON readers that ignore case must
// not find another model, so every spelling of the field is dropped.
func withModel(body []byte, e fleet.Endpoint) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	for name := range fields {
		if strings.EqualFold(name, modelField) {
			delete(fields, name)
		}
	}
	model := e.Model
	if e.Adapter != "" {
		model += ":" + e.Adapter
	}
	encoded, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields[modelField] = encoded
	return json.Marshal(fields)
}
