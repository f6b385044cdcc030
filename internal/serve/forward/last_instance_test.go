package forward

import (
	"net/http"
	"sync/atomic"
	"testing"

	"filberthook/internal/serve/routes"
)

// mortal returns a plain instance that ends when a request reaches it.
func mortal(id string, ends *atomic.Int64) *instance {
	i := service(id, nil)
	i.serve = func(w http.ResponseWriter, r *http.Request) {
		ends.Add(1)
		i.server.Listener.Close()
		hangUp(w, r)
	}
	return i
}

func TestRequestThatMayHaveEndedAnInstanceIsNotRepeatedAtTheLastOne(t *testing.T) {
	t.Parallel()
	var ends atomic.Int64
	h := start(t, route(routes.Safe, nil), mortal("a", &ends), mortal("b", &ends))
	if status, _, _, err := h.do(t, nil); err != nil || status != http.StatusBadGateway {
		t.Errorf("status %d, error %v; want 502, as it may have run", status, err)
	}
	if ends.Load() != 1 || h.log.count(`"reason":"last_instance"`) != 1 {
		t.Errorf("%d instances ended, want 1, and a line that names the reason", ends.Load())
	}
	if status, header, _, err := h.do(t, nil); err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("when it comes again: status %d, error %v; want 503 with Retry-After, as it has not run", status, err)
	}
	if status, _, _, err := h.do(t, func(r *http.Request) { r.URL.Path = "/x/other" }); err != nil || status == http.StatusServiceUnavailable {
		t.Errorf("another request: status %d, error %v; want it sent to the instance that is left", status, err)
	}
}

func TestSoundRequestLostBesideAnotherIsServedByItsSecondTry(t *testing.T) {
	t.Parallel()
	var ends atomic.Int64
	// All hosts place a suspect at the same instance, so each of the others must be able to serve it.
	list := []*instance{mortal("a", &ends), service("b", ok), service("c", ok), service("d", ok)}
	h := start(t, route(routes.Safe, nil), list...)
	for n := 0; ends.Load() == 0 && n < 100; n++ {
		status, _, body, err := h.do(t, func(r *http.Request) { r.URL.RawQuery = string(rune('a' + n%26)) })
		if err != nil || status != http.StatusOK || body != "done" {
			t.Fatalf("status %d, %q, error %v; want it served", status, body, err)
		}
	}
	if ends.Load() != 1 {
		t.Errorf("%d instances ended, want 1: the test shows nothing", ends.Load())
	}
}
