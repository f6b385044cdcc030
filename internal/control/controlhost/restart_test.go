package controlhost

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"filberthook/internal/replication/document"
)

func TestHostThatRestartsAloneKnowsTheConfigurationThatWasInForce(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "one")
	accept(t, g.nodes[1].host, 2, "two")
	for n := 1; n <= 3; n++ {
		eventually(t, 5*time.Second, "version 2 in force", func() bool { return g.nodes[n].host.currentVersion() == 2 })
	}
	time.Sleep(time.Second)
	for n := 1; n <= 3; n++ {
		g.stop(n)
	}
	for n := 1; n <= 3; n++ {
		h := g.start(n, false)
		time.Sleep(500 * time.Millisecond)
		if got := h.currentVersion(); got != 2 {
			t.Errorf("host %d, alone after its restart, has version %d in force, want 2", n, got)
		}
		g.stop(n)
	}
}

// announced is a log handler that records the versions that come into force.
type announced struct {
	slog.Handler
	mu       sync.Mutex
	versions []uint64
}

func (a *announced) Enabled(context.Context, slog.Level) bool { return true }

func (a *announced) WithAttrs([]slog.Attr) slog.Handler { return a }

func (a *announced) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "configuration in force" {
		r.Attrs(func(attr slog.Attr) bool {
			if attr.Key == "version" {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.versions = append(a.versions, attr.Value.Uint64())
			}
			return true
		})
	}
	return nil
}

func TestControlHostThatReplaysItsLogAnnouncesNoOlderVersion(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	accept(t, h, 1, "one")
	for version := uint64(2); version <= 20; version++ {
		if err := h.Replace(t.Context(), document.Document{Version: version}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond) // the commit index is saved
	g.stop(1)
	log := &announced{}
	g.logs = log
	h = g.start(1, false)
	eventually(t, 10*time.Second, "version 20 in force", func() bool { return h.currentVersion() == 20 })
	log.mu.Lock()
	defer log.mu.Unlock()
	if !slices.Equal(log.versions, []uint64{20}) {
		t.Errorf("versions in force at the restarted host, in order: %v", log.versions)
	}
}
