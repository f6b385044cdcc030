package forward

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// Guards against a new configuration whose limits act on requests that came before it.
func TestChangeOfTheConfigurationLeavesRequestsInProgressAlone(t *testing.T) {
	t.Parallel()
	begun, changed := make(chan bool, 1), make(chan bool)
	a := engine("a", instances.Decode, func(w http.ResponseWriter, r *http.Request) {
		writeEvent(w, 1)
		begun <- true
		<-changed
		time.Sleep(100 * time.Millisecond)
		writeEvent(w, 2)
	})
	h := start(t, route(routes.Stream, resumable), a)
	go func() {
		<-begun
		h.server.SetTable(routes.NewTable(&routes.Config{
			Version: 2, Routes: []routes.Route{route(routes.Stream, func(r *routes.Route) { r.Timeout, r.MaxAttempts, r.Shares = time.Millisecond, 1, nil })},
			Limits: routes.Limits{HeaderBytes: 1, BodyBytes: 1},
		}))
		close(changed)
	}()
	if _, _, body, err := h.do(t, nil); err != nil || body != pieces(1, 2) {
		t.Errorf("got %q, error %v, want two pieces and an orderly end", body, err)
	}
}

// Guards against a write or read deadline that outlives its request on a kept connection.
func TestDeadlinesOfARequestDoNotEndTheNextOne(t *testing.T) {
	t.Parallel()
	a := service("a", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "slow" {
			time.Sleep(writeSlack + 300*time.Millisecond)
		}
		ok(w, r)
	})
	h := start(t, route(routes.Unsafe, func(r *routes.Route) { r.Timeout = 5 * time.Second }), a)
	c := dialFront(t, h.front.Listener.Addr().String())
	answers := bufio.NewReader(c)
	exchange := func(text string) {
		t.Helper()
		io.WriteString(c, text)
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "done" {
			t.Errorf("got %q, error %v", body, err)
		}
	}
	exchange(strings.Replace(rawRequest("short", "body"), "\r\n\r\n", "\r\nX-Deadline: 200ms\r\n\r\n", 1))
	exchange(rawRequest("slow", "body")) // goes on past the first one's deadlines
	time.Sleep(300 * time.Millisecond)
	exchange(rawRequest("last", "body"))
}
