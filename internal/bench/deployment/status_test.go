package deployment_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"filberthook/internal/bench/deployment"
	"filberthook/internal/bench/history"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/entry"
)

// get returns the body of a page at the host's status address.
func get(t *testing.T, e *deployment.EntryHost, path string, wantStatus int) []byte {
	t.Helper()
	resp, err := http.Get("http://" + e.Status + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != wantStatus {
		t.Errorf("%s: status %d, want %d: %s", path, resp.StatusCode, wantStatus, body)
	}
	return body
}

// chat sends one chat completion request and returns its request identifier.
func chat(t *testing.T, e *deployment.EntryHost, key string) (id string, ok bool) {
	t.Helper()
	body := strings.NewReader(`{"model":"` + endpoint + `","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Callers+engineapi.PathChatCompletions, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(engineapi.HeaderRequestID), resp.StatusCode == http.StatusOK
}

// TestStatusPageAndExplanations checks the status page and the explanations of routing
// decisions on a running entry host.
func TestStatusPageAndExplanations(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, key := start(t, ctx, 2)
	host := d.Entries[0]
	var id string
	await(t, ctx, "a complete answer", func() (ok bool) {
		id, ok = chat(t, host, key)
		return ok
	})

	var call history.Call
	if err := json.Unmarshal(get(t, host, "/explain?request_id="+id, http.StatusOK), &call); err != nil {
		t.Fatal(err)
	}
	if call.State != "answered" || call.Team != "team" || len(call.Attempts) != 1 || call.Attempts[0].Instance == "" {
		t.Errorf("history of the call: %+v", call)
	}

	var would entry.Explanation
	if err := json.Unmarshal(get(t, host, "/explain?endpoint="+endpoint+"&prompt_tokens=3000&class=check", http.StatusOK), &would); err != nil {
		t.Fatal(err)
	}
	if would.Decision == nil || len(would.Decision.Steps) == 0 {
		t.Errorf("explanation without steps: %+v", would)
	}
	get(t, host, "/explain?endpoint=nothing", http.StatusBadRequest)
	get(t, host, "/explain?request_id=nothing", http.StatusNotFound)
	if got := strings.TrimSpace(string(get(t, host, "/requests", http.StatusOK))); got != "null" && got != "[]" {
		t.Errorf("requests in progress: %s, want none", got)
	}

	page := string(get(t, host, "/", http.StatusOK))
	for _, want := range []string{host.Name, "w1", "w2", d.Entries[1].Name, endpoint, "team", "mixed"} {
		if !strings.Contains(page, want) {
			t.Errorf("status page lacks %q", want)
		}
	}
	if strings.Contains(page, key) {
		t.Error("status page shows a key")
	}
}
