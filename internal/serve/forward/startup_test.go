package forward

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// unconfigure puts the server into the state of one that has just started. It returns the
// configuration that was removed.
func (h *harness) unconfigure() *routes.Table {
	t := h.server.Table()
	h.server.table.Store(nil)
	h.server.configuredAt.Store(nil)
	h.server.configured = make(chan struct{})
	return t
}

func deadline(d time.Duration) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Deadline", d.String()) }
}

// After a power loss, a host serves before it has the configuration. Its first requests must
// wait and be answered rather than be refused.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	h := start(t, route(routes.Safe, nil), service("a", ok))
	table := h.unconfigure()
	time.AfterFunc(150*time.Millisecond, func() { h.server.SetTable(table) })
	if code, _, body, err := h.do(t, deadline(2*time.Second)); err != nil || code != 200 {
		t.Errorf("got %d %q, %v", code, body, err)
	}
}

func TestRequestsDoNotWaitLongForTheFirstConfiguration(t *testing.T) {
	h := start(t, route(routes.Safe, nil), service("a", ok))
	h.unconfigure()
	begin := time.Now()
	code, header, _, err := h.do(t, deadline(600*time.Millisecond))
	if err != nil || code != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got %d with Retry-After %q, %v", code, header.Get("Retry-After"), err)
	}
	if elapsed := time.Since(begin); elapsed > 300*time.Millisecond {
		t.Errorf("refused after %v of a deadline of 600 ms", elapsed)
	}
}

// The request of a caller that disconnects while the host waits for its first configuration
// must not run. The test repeats this because a server that waits before it reads the body
// detects the disconnect too late in only one of six cases.
func TestRequestsOfCallersDisconnectedDuringTheWaitAreNotSent(t *testing.T) {
	for i := range 24 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			a := service("a", ok)
			h := start(t, route(routes.Safe, nil), a)
			table := h.unconfigure()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			if resp, err := http.DefaultClient.Do(h.request(t, deadline(4*time.Second)).WithContext(ctx)); err == nil {
				resp.Body.Close()
				t.Fatal("answered without a configuration")
			}
			time.Sleep(200 * time.Millisecond)
			h.server.SetTable(table)
			time.Sleep(200 * time.Millisecond)
			if n := a.runs(); n != 0 {
				t.Errorf("the instance got %d requests of a caller that disconnected", n)
			}
		})
	}
}

// The deadline sent to the instance is the caller's deadline minus the time of the wait.
func TestWaitForTheConfigurationIsDeductedFromTheDeadline(t *testing.T) {
	a := service("a", ok)
	h := start(t, route(routes.Safe, nil), a)
	table := h.unconfigure()
	go func() {
		for h.server.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond) // measured from about the request's arrival
		h.server.SetTable(table)
	}()
	if code, _, _, err := h.do(t, deadline(2*time.Second)); err != nil || code != 200 {
		t.Fatalf("got %d, %v", code, err)
	}
	left, err := time.ParseDuration(a.last().Header.Get("X-Deadline"))
	if err != nil || left > 1800*time.Millisecond {
		t.Errorf("the instance is given %v of 2 s after a wait of more than 200 ms (%v)", left, err)
	}
}

func TestRequestsWaitForTheFirstInstance(t *testing.T) {
	h := start(t, route(routes.Safe, nil), service("a", ok))
	full := h.server.view.Snapshot()
	h.server.fleet.Update(&instances.Snapshot{Number: 2})
	time.AfterFunc(150*time.Millisecond, func() { h.server.fleet.Update(full) })
	if code, _, body, err := h.do(t, deadline(2*time.Second)); err != nil || code != 200 {
		t.Errorf("got %d %q, %v", code, body, err)
	}
}

// The prefill engine announces itself before the decode engine.
func TestStreamsWaitForADecodeEngine(t *testing.T) {
	h := start(t, route(routes.Stream, nil), engine("p", instances.Prefill, prefiller), engine("d", instances.Decode, streamer(4)))
	full := h.server.view.Snapshot()
	var known []instances.Instance
	for _, in := range full.ByEndpoint["e"] {
		if in.Stage == instances.Prefill {
			known = append(known, in)
		}
	}
	h.server.fleet.Update(&instances.Snapshot{Number: 2, ByEndpoint: map[string][]instances.Instance{"e": known}})
	time.AfterFunc(150*time.Millisecond, func() { h.server.fleet.Update(full) })
	if code, _, body, err := h.do(t, deadline(2*time.Second)); err != nil || code != 200 {
		t.Errorf("got %d %q, %v", code, body, err)
	}
}

// Once announceWindow has passed, a request to an endpoint without instances is refused
// without a wait.
func TestNoInstanceIsRefusedAtOnceAfterTheStart(t *testing.T) {
	h := start(t, route(routes.Safe, nil), service("a", ok))
	h.server.fleet.Update(&instances.Snapshot{Number: 2})
	past := time.Now().Add(-announceWindow)
	h.server.configuredAt.Store(&past)
	begin := time.Now()
	code, _, _, err := h.do(t, deadline(2*time.Second))
	if err != nil || code != http.StatusServiceUnavailable {
		t.Errorf("got %d, %v", code, err)
	}
	if elapsed := time.Since(begin); elapsed > 100*time.Millisecond {
		t.Errorf("refused after %v", elapsed)
	}
}
