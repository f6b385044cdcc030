package controlhost

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"filberthook/internal/control/regroup"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/fsys"
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
		g.waitCommittedOnDisk(n, 2)
	}
	for n := 1; n <= 3; n++ {
		g.stop(n)
	}
	for n := 1; n <= 3; n++ {
		log := &announced{}
		g.logs = log
		h := g.start(n, false)
		eventually(t, 30*time.Second, "a version in force", func() bool { return h.currentVersion() != 0 })
		g.stop(n)
		log.mu.Lock()
		if !slices.Equal(log.versions, []uint64{2}) {
			t.Errorf("versions in force at host %d, alone after its restart, in order: %v; want version 2", n, log.versions)
		}
		log.mu.Unlock()
	}
}

// waitCommittedOnDisk waits until the disk of a running host tells that the entry of a version is
// committed. It reads copies, as the folder is locked.
func (g *group) waitCommittedOnDisk(n int, version uint64) {
	g.t.Helper()
	s := g.nodes[n].host.settings
	eventually(g.t, 30*time.Second, fmt.Sprintf("version %d is committed on the disk of host %d", version, n), func() bool {
		dir := g.t.TempDir()
		if err := os.CopyFS(dir, os.DirFS(s.ReplicaDir())); err != nil {
			return false // a file was removed meanwhile
		}
		copied, err := regroup.Open(fsys.OS{}, dir, s.PeersAddress())
		if err != nil {
			return false // files of different times
		}
		defer copied.Close()
		return copied.Version == version && copied.Commit >= copied.Last
	})
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
	g.waitCommittedOnDisk(1, 20)
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
