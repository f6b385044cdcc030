package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// silence is how long a healthy engine may send nothing; it exceeds the stall timeout.
const silence = 1400 * time.Millisecond

// byArrival returns two decode engines: the first request to arrive at either is served by first, each later
// one by other.
func byArrival(first, other http.HandlerFunc) []*instance {
	var arrivals atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if arrivals.Add(1) == 1 {
			first(w, r)
			return
		}
		other(w, r)
	}
	return []*instance{engine("a", instances.Decode, serve), engine("b", instances.Decode, serve)}
}

// silentFleet returns two engines by arrival: the first one writes the events up to before, is silent, and
// writes the rest.
func silentFleet(before int, other http.HandlerFunc) (list []*instance, others *atomic.Int64) {
	others = &atomic.Int64{}
	return byArrival(func(w http.ResponseWriter, _ *http.Request) {
		for id := 1; id <= 4; id++ {
			if id == before+1 {
				time.Sleep(silence)
			}
			writeEvent(w, id)
		}
		if before == 4 {
			time.Sleep(silence)
		}
	}, func(w http.ResponseWriter, r *http.Request) {
		others.Add(1)
		other(w, r)
	}), others
}

// Guards against giving up a silent engine before another one has taken over: whatever becomes of the
// resumption, the silent engine goes on and completes the response.
func TestResponseIsNotEndedWhileItsSilentEngineMayGoOn(t *testing.T) {
	stream := func(ids ...int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, pieces(ids...)) }
	}
	resumptions := map[string]http.HandlerFunc{
		"has no event left":           stream(),
		"is refused":                  status(503, true),
		"fails":                       status(500, false),
		"gets another error":          status(404, false),
		"breaks":                      hangUp,
		"goes on at the wrong place":  stream(9),
		"is silent as well":           func(_ http.ResponseWriter, r *http.Request) { closed(r.Context(), 5*time.Second) },
		"has the wrong signature":     func(w http.ResponseWriter, r *http.Request) { w.Header().Del("X-Signature"); stream(9)(w, r) },
		"sends comments, then breaks": func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, ": here\n\n"); hangUp(w, r) },
	}
	for name, other := range resumptions {
		for _, before := range []int{2, 4} {
			t.Run(fmt.Sprint(name, " after event ", before), func(t *testing.T) {
				t.Parallel()
				list, others := silentFleet(before, other)
				h := start(t, route(routes.Stream, resumable), list...)
				if _, _, body, err := h.do(t, nil); err != nil || body != pieces(1, 2, 3, 4) {
					t.Errorf("got %q, error %v, want four pieces and an orderly end", body, err)
				}
				if others.Load() != 1 {
					t.Errorf("%d requests to the other engine, want one resumption", others.Load())
				}
			})
		}
	}
	t.Run("the retry budget does not cover the prefill", func(t *testing.T) {
		t.Parallel()
		list, _ := silentFleet(2, stream())
		h := start(t, route(routes.Stream, prompted), append(list, engine("p", instances.Prefill, prefiller))...)
		for range 6 { // of 7 that the budget allows
			h.server.budgets.Of("e").Take(time.Now())
		}
		if _, _, body, err := h.do(t, withPrefixBlocks); err != nil || body != pieces(1, 2, 3, 4) {
			t.Errorf("got %q, error %v, want four pieces and an orderly end", body, err)
		}
	})
}

// Guards against giving up an instance of a plain service because it is slow, when the second try fails.
func TestSafeRequestIsNotLostWhileItsSilentInstanceMayAnswer(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{
		"refuses": status(503, true), "fails": status(500, false), "breaks": hangUp,
		"is silent as well": func(_ http.ResponseWriter, r *http.Request) { closed(r.Context(), 5*time.Second) },
	} {
		t.Run("the second instance "+name, func(t *testing.T) {
			t.Parallel()
			others := &atomic.Int64{}
			list := byArrival(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(silence)
				ok(w, r)
			}, func(w http.ResponseWriter, r *http.Request) {
				others.Add(1)
				other(w, r)
			})
			// A third instance, as a request is not risked at the last one that is left.
			list = append(list, service("c", list[0].serve))
			list[0].stage, list[1].stage = instances.AnyStage, instances.AnyStage
			h := start(t, route(routes.Safe, nil), list...)
			if code, _, body, err := h.do(t, nil); err != nil || code != http.StatusOK || body != "done" {
				t.Errorf("status %d, %q, error %v, want the first instance's answer", code, body, err)
			}
			if others.Load() == 0 {
				t.Error("no second try: the test shows nothing")
			}
		})
	}
}
