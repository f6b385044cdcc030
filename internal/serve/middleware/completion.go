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

// modelField is the field of a completion request that names the endpoint. It
// is replaced by the endpoint's model.
const modelField = "model"

// completion is a completion request: the fields that are read here, and all
// of them as they were sent.
type completion struct {
	request engineapi.CompletionRequest
	fields  map[string]json.RawMessage
}

var errNotObject = errors.New("it must be a JSON object")

// parseCompletion reads a request body.
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

// read decodes one field. Readers that ignore case must not find another value
// than this one, so other spellings are refused.
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

// body returns the request with the endpoint's model and adapter in place of
// its name. All other fields stay as they were sent, in the order of their
// names, so that the same request always gives the same bytes.
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

// quote returns a JSON string. Encoding a string cannot fail.
func quote(s string) []byte {
	data, _ := json.Marshal(s)
	return data
}
