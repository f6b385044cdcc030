package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"filberthook/internal/serve/connguard"
	"filberthook/internal/serve/membudget"
	"filberthook/internal/serve/routes"
)

// Guards against a request that runs although its caller was told that it did not, or that is refused
// without a time for the next try.
func TestRequestWithoutMemoryForItsBodyIsRefusedAndDoesNotRun(t *testing.T) {
	var ran atomic.Int32
	h := start(t, route(routes.Unsafe, nil), service("a", func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		ok(w, r)
	}))
	front := httptest.NewServer(connguard.Bodies(membudget.New(512), 1, h.server))
	defer front.Close()
	for _, body := range []struct {
		size   int
		status int
	}{{400, http.StatusOK}, {900, http.StatusServiceUnavailable}} {
		resp, err := http.DefaultClient.Do(h.request(t, func(r *http.Request) {
			r.URL.Host = strings.TrimPrefix(front.URL, "http://")
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("a", body.size))), int64(body.size)
		}))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != body.status || (resp.Header.Get("Retry-After") != "") != (body.status != http.StatusOK) {
			t.Errorf("body of %d bytes: status %d, Retry-After %q, want status %d", body.size, resp.StatusCode, resp.Header.Get("Retry-After"), body.status)
		}
	}
	if n := ran.Load(); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
}
