package controlnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// serveHTTP serves until ctx ends, then waits up to shutdownTimeout for calls to end.
func (n *Node) serveHTTP(ctx context.Context, ln net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(stop)
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

// statusHandler returns the handler of metrics and health checks.
func (n *Node) statusHandler() http.Handler {
	mux := http.NewServeMux()
	n.metrics.GetOrCreateGauge("filberthook_control_revision", func() float64 {
		return float64(n.machine.Configuration().Revision)
	})
	n.metrics.GetOrCreateGauge("filberthook_control_claims", func() float64 { return float64(n.claims.count.Load()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", n.ready)
	return mux
}

// ready reports whether this replica reaches a leader with a quorum.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.hub.Stale() {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, "no leader with a quorum is reached; check the other control hosts and the network")
		return
	}
	fmt.Fprintln(w, "ok")
}
