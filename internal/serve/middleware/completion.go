package middleware

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
)

// modelField is the field of a completion request that names the endpoint. Its value is
// replaced by the endpoint's model before the request is sent to an engine.
const modelField = "model"

// completion is a completion request: the decoded fields that are used here, and all
// fields as the caller sent them.
type completion struct {
	request engineapi.CompletionRequest
	fields  map[string]json.RawMessage
}

var errNotObject = errors.New("it must be a JSON object")

// parseCompletion decodes a request body.
func parseCompletion(body []byte) (*completion, error) {
	c := &completion{}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, err
	}
	if c.fields == nil {
		return nil, errNotObject
	}
	targets := []struct {
		name string
		into any
	}{
		{modelField, &c.request.Model},
		{"prompt", &c.request.Prompt},
		{"messages", &c.request.Messages},
		{"max_tokens", &c.request.MaxTokens},
		{"stream", &c.request.Stream},
	}
	for _, t := range targets {
		if err := c.read(t.name, t.into); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// read decodes one field. It refuses spellings in other letter case: an engine that
// ignores case would read a different value than this host.
func (c *completion) read(name string, into any) error {
	for field := range c.fields {
		if field != name && strings.EqualFold(field, name) {
			return fmt.Errorf("field %q must be written %q", field, name)
		}
	}
	raw, ok := c.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}

// body encodes the request with the endpoint's model and adapter as the model field.
// All other fields keep the bytes that the caller sent. Fields are sorted by name, so
// that the same request always gives the same bytes.
func (c *completion) body(e fleet.Endpoint) []byte {
	model := e.Model
	if e.Adapter != "" {
		model += ":" + e.Adapter
	}
	c.fields[modelField] = quote(model)
	size := 2
	for name, value := range c.fields {
		size += 2*len(name) + len(value) + 4
	}
	out := append(make([]byte, 0, size), '{')
	for i, name := range slices.Sorted(maps.Keys(c.fields)) {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, quote(name)...)
		out = append(out, ':')
		out = append(out, c.fields[name]...)
	}
	return append(out, '}')
}

// quote encodes s as a JSON string, which cannot fail.
func quote(s string) []byte {
	data, _ := json.Marshal(s)
	return data
}
