package middleware

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
)

func TestCompletionKeepsUnknownFields(t *testing.T) {
	e := fleet.Endpoint{EndpointSettings: fleet.EndpointSettings{Model: "m", Adapter: "a"}}
	tests := []struct {
		name, body string
		want       string // body for the engine; empty when the request is refused
		request    engineapi.CompletionRequest
	}{
		{"all fields", `{"temperature": 0.5, "model":"chat", "max_tokens":3,"stream":true,"x":{"model":"y"}}`,
			`{"max_tokens":3,"model":"m:a","stream":true,"temperature":0.5,"x":{"model":"y"}}`,
			engineapi.CompletionRequest{Model: "chat", MaxTokens: 3, Stream: true}},
		{"null fields", `{"model":"chat","prompt":null,"stream":null}`, `{"model":"m:a","prompt":null,"stream":null}`,
			engineapi.CompletionRequest{Model: "chat"}},
		{"duplicate field", `{"model":"other","model":"chat"}`, `{"model":"m:a"}`, engineapi.CompletionRequest{Model: "chat"}},
		{"other spelling", `{"model":"chat","Stream":true}`, "", engineapi.CompletionRequest{}},
		{"wrong type", `{"model":1}`, "", engineapi.CompletionRequest{}},
		{"no object", `null`, "", engineapi.CompletionRequest{}},
		{"broken", `{"model":"chat"`, "", engineapi.CompletionRequest{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := parseCompletion([]byte(tt.body))
			if tt.want == "" {
				if err == nil {
					t.Error("the request was accepted")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.request, c.request); diff != "" {
				t.Error(diff)
			}
			if got := string(c.body(e)); got != tt.want {
				t.Errorf("sent on as %s, want %s", got, tt.want)
			}
		})
	}
}

func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"chat","messages":[{"role":"user","content":"a"}],"é\n":"\u0000"}`))
	f.Add([]byte(`{"model":"chat","Model":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := parseCompletion(data)
		if err != nil {
			return
		}
		body := c.body(fleet.Endpoint{EndpointSettings: fleet.EndpointSettings{Model: "m"}})
		var got engineapi.CompletionRequest
		if err := json.Unmarshal(body, &got); err != nil {
			t.Fatalf("%s is sent on as %s: %v", data, body, err)
		}
		want := c.request
		want.Model = "m"
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("an engine decodes a different request:\n%s", diff)
		}
	})
}
