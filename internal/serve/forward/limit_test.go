package forward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthook/internal/serve/routes"
)

func TestInstanceGetsNoMoreThanItNamesInItsAnswers(t *testing.T) {
	t.Parallel()
	const limit, window = 2.0, 4 * time.Second
	var mu sync.Mutex
	var arrivals []time.Time
	limited := service("limited", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		w.Header().Set("X-Limit", "2")
		ok(w, r)
	})
	slower := service("slower", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(60 * time.Millisecond)
		ok(w, r)
	})
	h := start(t, route(routes.Safe, nil), limited, slower)
	begin := time.Now()
	for time.Since(begin) < window {
		if status, _, _, err := h.do(t, nil); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, error %v: another instance has no limit", status, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	counted := 0
	for _, at := range arrivals {
		if at.After(arrivals[0].Add(500 * time.Millisecond)) {
			counted++
		}
	}
	if allowed := 1.5*limit*window.Seconds() + 5; float64(counted) > allowed {
		t.Errorf("an instance that takes %.0f requests a second got %d in %v after its first answer said so, allowed %.0f", limit, counted, window, allowed)
	}
}
