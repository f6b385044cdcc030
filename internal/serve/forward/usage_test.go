package forward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// begun records when requests were counted. It implements usage.Counter.
type begun struct {
	mu    sync.Mutex
	times []time.Time
}

func (b *begun) Count(_ string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.times = append(b.times, at)
}

// Guards against requests that are billed though they did not begin, twice, or at another time than
// that of their beginning.
func TestRequestsAreCountedOnceTheyBegin(t *testing.T) {
	resumable := func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 3 }
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		ok(w, r)
	}
	rest := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := 3; id <= 4; id++ {
			writeEvent(w, id)
		}
	}
	cases := []struct {
		name  string
		route routes.Route
		list  []*instance
		want  int
	}{
		{"answered", route(routes.Safe, nil), []*instance{service("a", slow)}, 1},
		{"not run", route(routes.Safe, nil), []*instance{service("a", status(http.StatusServiceUnavailable, true))}, 0},
		{"lost, then answered", route(routes.Safe, nil), []*instance{service("a", hangUp), service("b", ok)}, 1},
		{"resumed stream", route(routes.Stream, resumable), []*instance{breaking(t, 1, 2), engine("b", instances.Decode, rest)}, 1},
		{"stream without events", route(routes.Stream, nil), []*instance{engine("a", instances.Decode, hangUp)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, c.route, c.list...)
			counter := &begun{}
			h.server.settings.Usage = counter
			sentAt := time.Now()
			h.do(t, nil)
			if len(counter.times) != c.want {
				t.Fatalf("counted %d times, want %d", len(counter.times), c.want)
			}
			if c.name == "answered" && counter.times[0].Sub(sentAt) > 250*time.Millisecond {
				t.Errorf("counted %v after it was sent: that is when it was answered", counter.times[0].Sub(sentAt))
			}
		})
	}
}
