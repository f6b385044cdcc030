package controlhost

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
)

// The number of entry hosts divides what they have in common, so a number that is too low
// is worse than none: a control host tells none until all hosts had time to find it.
func TestNumberOfHostsIsUnknownAfterAStart(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	w := newWatchers(start)
	for n := range 294 {
		at := start.Add(time.Duration(n) * 5 * time.Millisecond)
		if got := w.recordRequest(fmt.Sprint("e-", n), 0, at); got != 0 {
			t.Fatalf("%v after the start: %d hosts, want 0 for unknown", at.Sub(start), got)
		}
	}
	if got := w.recordRequest("e-0", 0, start.Add(watcherTTL)); got != 294 {
		t.Errorf("%d hosts after %v, want 294", got, watcherTTL)
	}
}

func TestListIsPackedForHostsThatReadThat(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	g.heartbeat = time.Minute
	h := g.start(1, true)
	const entries = 50
	for n := range entries {
		in := sound(n, 1)
		in.Zone = strings.Repeat("z", 100)
		if err := h.Announce(context.Background(), in); err != nil {
			t.Fatal(err)
		}
	}
	older, err := h.serveWatch(context.Background(), "older", controlapi.WatchRequest{})
	if err != nil || len(older.Changes) != entries || len(older.Packed) > 0 {
		t.Errorf("a host that does not read packed changes gets %d changes and %d bytes, error %v", len(older.Changes), len(older.Packed), err)
	}
	packed, err := h.serveWatch(context.Background(), "e", controlapi.WatchRequest{Packed: true})
	if err != nil || len(packed.Changes) > 0 || len(packed.Packed) == 0 {
		t.Fatalf("a host that reads packed changes gets %d others and %d bytes, error %v", len(packed.Changes), len(packed.Packed), err)
	}
	if err := packed.Unpack(); err != nil || len(packed.Changes) != entries {
		t.Errorf("%d changes unpacked, error %v", len(packed.Changes), err)
	}
}
