package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/process/settings"
	"filberthook/internal/process/tomltime"
)

// startNode runs an entry host whose control replicas cannot be reached. stop shuts it
// down gracefully and returns the result of Run.
func startNode(t *testing.T, change func(*settings.Entry)) (n *Node, stop func() error) {
	t.Helper()
	s := settings.DefaultEntry()
	s.Host, s.Zone = "entry-1", "bio"
	s.Stop.ReadyGrace = tomltime.Of(0)
	s.Listen = settings.EntryListen{Callers: "127.0.0.1:0", Announce: "127.0.0.1:0", Gossip: "127.0.0.1:0", Status: "127.0.0.1:0"}
	s.Control.Replicas = []string{"127.0.0.1:1"}
	change(&s)
	listeners, err := Listen(s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	n, err = New(s, listeners, slog.New(slog.DiscardHandler), metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	var result error
	stopped := false
	stop = func() error {
		cancel()
		if !stopped {
			result, stopped = <-ended, true
		}
		return result
	}
	t.Cleanup(func() { _ = stop() })
	return n, stop
}

func dial(t *testing.T, n *Node) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.listeners.Callers.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func TestHeaderSizeAndConnectionsAreLimited(t *testing.T) {
	n, stop := startNode(t, func(s *settings.Entry) { s.Callers.MaxConnections = 1 })
	conn := dial(t, n)
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", 2*maxHeaderBytes))
	head := make([]byte, len("HTTP/1.1 431"))
	if _, err := io.ReadFull(conn, head); err != nil || string(head) != "HTTP/1.1 431" {
		t.Errorf("a header of %d bytes was answered with %q, %v", 2*maxHeaderBytes, head, err)
	}
	if _, err := dial(t, n).Read(head); !errors.Is(err, io.EOF) {
		t.Errorf("read on a connection beyond the limit: %v, want EOF", err)
	}
	conn.Close()
	if err := stop(); err != nil {
		t.Errorf("stopped with %v", err)
	}
}

func TestHostWithoutConfigurationRefusesAsNotRun(t *testing.T) {
	n, stop := startNode(t, func(*settings.Entry) {})
	base := "http://" + n.listeners.Callers.Addr().String()
	req, err := http.NewRequest(http.MethodPost, base+"/services/booking/chairs", strings.NewReader("chair 7"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := resp.Header.Get("X-Run-Disposition"); got != "not_run" {
		t.Errorf("status %d, disposition %q, want not_run", resp.StatusCode, got)
	}
	ready, err := http.Get("http://" + n.listeners.Status.Addr().String() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	ready.Body.Close()
	if ready.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness status %d without a configuration, want 503", ready.StatusCode)
	}
	if err := stop(); err != nil {
		t.Errorf("stopped with %v", err)
	}
}
