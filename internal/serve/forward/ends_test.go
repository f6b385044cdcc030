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

func TestRequestWithAnUnknownBlockIsNotRepeatedBeforeItIsSeenWhetherItsInstanceEnded(t *testing.T) {
	t.Parallel()
	var ends atomic.Int64
	var list []*instance
	for n := range 3 {
		i := &instance{id: fmt.Sprint("i-", n), stage: instances.Decode}
		i.serve = func(w http.ResponseWriter, r *http.Request) {
			ends.Add(1)
			time.AfterFunc(60*time.Millisecond, func() { i.server.Listener.Close() })
			hangUp(w, r)
		}
		list = append(list, i)
	}
	h := start(t, route(routes.Stream, func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 3 }), list...)
	if _, _, _, err := h.do(t, func(r *http.Request) { r.Header.Set("X-Parts", "shared,unknown,own") }); err != nil {
		t.Error(err)
	}
	if got := ends.Load(); got != 1 {
		t.Errorf("%d instances ended, want 1", got)
	}
}

func TestRequestEndsNoMoreInstancesThanItMayBeRepeatedAt(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		stage  instances.Stage
		kind   routes.Kind
		change func(*routes.Route)
		blocks string
		ends   int64
	}{
		{"safe", instances.AnyStage, routes.Safe, nil, "", 2},
		{"safe, three attempts", instances.AnyStage, routes.Safe, func(r *routes.Route) { r.MaxAttempts = 3 }, "", 2},
		{"unsafe", instances.AnyStage, routes.Unsafe, func(r *routes.Route) { r.MaxAttempts = 3 }, "", 1},
		{"stream that cannot be resumed", instances.Decode, routes.Stream, func(r *routes.Route) { r.MaxAttempts = 3 }, "", 1},
		{"stream without blocks", instances.Decode, routes.Stream, func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 3 }, "", 2},
		{"stream with an unknown block", instances.Decode, routes.Stream, func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 3 }, "shared,unknown,own", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var ends atomic.Int64
			var list []*instance
			for n := range 6 {
				i := &instance{id: fmt.Sprint("i-", n), stage: tt.stage}
				i.serve = func(w http.ResponseWriter, r *http.Request) {
					ends.Add(1)
					i.server.Listener.Close()
					hangUp(w, r)
				}
				list = append(list, i)
			}
			h := start(t, route(tt.kind, tt.change), list...)
			status, _, _, err := h.do(t, func(r *http.Request) {
				if tt.blocks != "" {
					r.Header.Set("X-Parts", tt.blocks)
				}
			})
			if err != nil || status != http.StatusBadGateway {
				t.Errorf("status %d, error %v; want 502, as it may have run", status, err)
			}
			if got := ends.Load(); got != tt.ends {
				t.Errorf("%d instances ended, want %d", got, tt.ends)
			}
		})
	}
}
