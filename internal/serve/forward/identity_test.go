package forward

import (
	"net/http"
	"strings"
	"testing"

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
