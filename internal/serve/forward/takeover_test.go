package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/serve/routes"
)

// maxOverlap is how long a request may be at two engines once the caller gets events of the second.
const maxOverlap = 400 * time.Millisecond

// Guards against a takeover that comes too late for the caller, or leaves the request at the dead engine.
func TestDeadEngineIsTakenOverFromInTimeAndCancelled(t *testing.T) {
	for _, before := range []int{0, 2} {
		t.Run(fmt.Sprint("after event ", before), func(t *testing.T) {
			t.Parallel()
			cancelled, begun := make(chan time.Time, 1), make(chan time.Time, 1)
			h := start(t, route(routes.Stream, resumable), byArrival(func(w http.ResponseWriter, r *http.Request) {
				streamer(before)(w, r)
				closed(r.Context(), 5*time.Second)
				cancelled <- time.Now()
			}, func(w http.ResponseWriter, _ *http.Request) {
				begun <- time.Now()
				for id := before + 1; id <= 4; id++ {
					writeEvent(w, id)
					time.Sleep(maxOverlap / 2)
				}
			})...)
			sent := time.Now()
			if _, _, body, err := h.do(t, nil); err != nil || body != pieces(1, 2, 3, 4) {
				t.Errorf("got %q, error %v", body, err)
			}
			at := <-begun
			if at.Sub(sent) > minFirstEventTimeout {
				t.Errorf("taken over after %v, callers wait for %v", at.Sub(sent), minFirstEventTimeout)
			}
			if d := (<-cancelled).Sub(at); d > maxOverlap {
				t.Errorf("the dead engine still had the request %v after that, %v are allowed", d, maxOverlap)
			}
			budget := h.server.budgets.Of("e")
			budget.mu.Lock()
			defer budget.mu.Unlock()
			if charged := sum(budget.retries); charged != 1 {
				t.Errorf("%v retries charged for one takeover", charged)
			}
		})
	}
}

// Guards against a second engine that works on although the silent one has gone on, and against a request
// without any event yet that is given up.
func TestTakeoverIsCancelledOnceTheSilentEngineGoesOn(t *testing.T) {
	for _, before := range []int{0, 2} {
		t.Run(fmt.Sprint("after event ", before), func(t *testing.T) {
			t.Parallel()
			wentOn, cancelled := make(chan time.Time, 1), make(chan time.Time, 1)
			h := start(t, route(routes.Stream, resumable), byArrival(func(w http.ResponseWriter, r *http.Request) {
				streamer(before)(w, r)
				time.Sleep(silence)
				wentOn <- time.Now()
				for id := before + 1; id <= 4; id++ {
					writeEvent(w, id)
					time.Sleep(maxOverlap / 2)
				}
			}, func(_ http.ResponseWriter, r *http.Request) {
				closed(r.Context(), 5*time.Second)
				cancelled <- time.Now()
			})...)
			if _, _, body, err := h.do(t, nil); err != nil || body != pieces(1, 2, 3, 4) {
				t.Errorf("got %q, error %v", body, err)
			}
			if d := (<-cancelled).Sub(<-wentOn); d > maxOverlap {
				t.Errorf("the second engine still had the request %v after the first went on, %v are allowed", d, maxOverlap)
			}
		})
	}
}

// Guards against taking the time in which a caller does not read for a silence of the engine.
func TestSlowCallerIsNoSilenceOfTheEngine(t *testing.T) {
	t.Parallel()
	list := byArrival(func(w http.ResponseWriter, _ *http.Request) {
		text := strings.Repeat("x", maxEventBytes*3/4)
		for id := 1; id <= 20; id++ { // more than the buffers of all connections hold
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, text)
		}
	}, hangUp)
	h := start(t, route(routes.Stream, resumable), list...)
	resp, err := http.DefaultClient.Do(h.request(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	time.Sleep(silence)
	if body, err := io.ReadAll(resp.Body); err != nil || len(events(string(body))) != 20 {
		t.Errorf("%d events, error %v", len(events(string(body))), err)
	}
	if n := list[0].runs() + list[1].runs(); n != 1 {
		t.Errorf("%d runs, want one", n)
	}
}
