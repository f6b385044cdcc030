package filberthook

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"filberthook/internal/process/tomltime"

	"github.com/VictoriaMetrics/metrics"
)

// startTimeout bounds the wait for an embedded host to serve.
const startTimeout = 30 * time.Second

// TestExamplesAreValid loads every daemon's example settings.
func TestExamplesAreValid(t *testing.T) {
	if _, err := LoadEntrySettings("examples/entry.toml"); err != nil {
		t.Error(err)
	}
	if _, err := LoadControlSettings("examples/control.toml"); err != nil {
		t.Error(err)
	}
}

// TestWrongSettingsNameKeyAndRemedy checks the messages that operators see.
func TestWrongSettingsNameKeyAndRemedy(t *testing.T) {
	cases := []struct {
		name, from, to, want string
	}{
		{"unknown key", "zone = ", "zoen = ", "zoen: unknown key"},
		{"missing zone", `zone = "bio"`, `zone = ""`, "zone: is missing"},
		{"bad unit", `limit = "2m"`, `limit = "2 minutes"`, "stop.limit"},
		{"duplicate address", "127.0.0.1:7403", "127.0.0.1:7401", "listen.status: address 127.0.0.1:7401 is used by listen.callers"},
		{"host name as address", "127.0.0.1:7401", "localhost:7401", "listen.callers"},
	}
	good, err := os.ReadFile("examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.toml")
			if err := os.WriteFile(file, []byte(strings.Replace(string(good), tc.from, tc.to, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadEntrySettings(file)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want a message with %q", err, tc.want)
			}
		})
	}
}

// TestEmbeddedEntry runs an entry host inside this program.
func TestEmbeddedEntry(t *testing.T) {
	s := DefaultEntrySettings()
	s.Host, s.Zone = "entry-1", "bio"
	s.Listen.Callers, s.Listen.Announce, s.Listen.Status, s.Listen.Gossip = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Control.Replicas = []string{"127.0.0.1:1"}
	s.Stop.ReadyGrace = tomltime.Of(0)
	e, err := NewEntry(s, slog.New(slog.DiscardHandler), metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	resp, err := http.Get("http://" + e.StatusAddress() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d without a configuration, want not ready", resp.StatusCode)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
