package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

func TestSlowSoundStreamIsNotCut(t *testing.T) {
	t.Parallel()
	serve := func(w http.ResponseWriter, r *http.Request) {
		for id := 1; id <= 3; id++ {
			writeEvent(w, id)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	slow := &instance{id: "a", stage: instances.Decode, serve: serve}
	other := &instance{id: "b", stage: instances.Decode, serve: serve}
	h := start(t, route(routes.Stream, func(r *routes.Route) {
		r.Resumable, r.GapGoal, r.Timeout = true, 2*time.Second, 10*time.Second
	}), slow, other)
	code, _, _, err := h.do(t, nil)
	if err != nil || code != http.StatusOK {
		t.Errorf("status %d, error %v", code, err)
	}
	if n := slow.runs() + other.runs(); n != 1 {
		t.Errorf("%d runs: a stream whose pauses are shorter than its route's goal was taken for stalled", n)
	}
}

func TestStalledStreamThatSendsBytesNowAndThenIsTakenUpElsewhere(t *testing.T) {
	for name, drip := range map[string]string{"comments": ": still here\n\n", "part of an event": "data: a\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stalled := &instance{id: "a-stalled", stage: instances.Decode, serve: func(w http.ResponseWriter, r *http.Request) {
				writeEvent(w, 1)
				for r.Context().Err() == nil {
					io.WriteString(w, drip)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(100 * time.Millisecond)
				}
			}}
			sound := &instance{id: "b-sound", stage: instances.Decode, serve: func(w http.ResponseWriter, r *http.Request) {
				for id := 1; id <= 3; id++ {
					if r.Header.Get("Last-Event-Id") == "" || id > 1 {
						writeEvent(w, id)
					}
				}
			}}
			h := start(t, route(routes.Stream, func(r *routes.Route) {
				r.Resumable, r.GapGoal, r.Timeout = true, 100*time.Millisecond, 8*time.Second
			}), stalled, sound)
			for range 6 { // until the stalled one is chosen
				begin := time.Now()
				_, _, body, err := h.do(t, nil)
				if took := time.Since(begin); err != nil || took > 4*time.Second || !strings.Contains(body, "piece 3") {
					t.Fatalf("ended after %v with %v: %q", took, err, body)
				}
				if stalled.runs() > 0 {
					return
				}
			}
			t.Error("the stalled engine was never chosen")
		})
	}
}
