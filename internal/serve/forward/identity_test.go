package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/serve/routes"
)

func TestLogsTellWhichRequestsToPlainServicesAreTheSame(t *testing.T) {
	t.Parallel()
	fails := service("a", hangUp)
	h := start(t, route(routes.Unsafe, nil), fails)
	send := func(path, caller string) {
		t.Helper()
		if _, _, _, err := h.do(t, func(r *http.Request) {
			r.URL.Path = path
			r.Header.Set("X-Caller", caller)
		}); err != nil {
			t.Fatal(err)
		}
	}
	send("/x/1", "a")
	send("/x/1", "a")
	send("/x/2", "a")
	send("/x/1", "b")
	var identities []string
	for line := range strings.Lines(h.log.text()) {
		if _, after, found := strings.Cut(line, `"identity":"`); found && strings.Contains(line, `"msg":"request"`) {
			identity, _, _ := strings.Cut(after, `"`)
			identities = append(identities, identity)
		}
	}
	if len(identities) != 4 || identities[0] == "" || identities[0] != identities[1] || identities[0] == identities[2] || identities[0] == identities[3] {
		t.Errorf("identities %q, want the first two alike and the others not", identities)
	}
	if strings.Contains(h.log.text(), `"identity":""`) {
		t.Error("a line lacks the identity")
	}
}

// Guards against a prompt that is known by its blocks only, which sound prompts share.
func TestPromptWithSharedBlocksIsASuspectOfItsOwn(t *testing.T) {
	t.Parallel()
	h := start(t, route(routes.Stream, nil), engine("a", instances.Decode, streamer(2)))
	send := func(body string) int {
		t.Helper()
		status, _, _, err := h.do(t, func(r *http.Request) {
			r.Header.Set("X-Parts", "shared,subject,own")
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		})
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	bad := quarantine.Identity{Endpoint: "e", Method: http.MethodPost, Host: "a.example", Target: "/x/1?q=1", Body: []byte("bad")}
	h.server.quarantine.Hold(bad.Suspect(), time.Now())
	if status := send("bad"); status != http.StatusServiceUnavailable || h.log.count(`"reason":"quarantined_request"`) != 1 {
		t.Errorf("status %d of the prompt in quarantine, want 503 and a line with the reason", status)
	}
	if status := send("sound"); status != http.StatusOK {
		t.Errorf("status %d of a prompt with the same blocks, want 200", status)
	}
}
