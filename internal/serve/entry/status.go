package entry

import (
	"fmt"
	"net/http"

	"filberthook/internal/control/statuspage"
)

// statusHandler serves metrics, health checks, explanations and the status page.
func (n *Node) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET "+PathExplain, n.serveExplain)
	mux.HandleFunc("GET "+PathRequests, n.serveRequests)
	mux.HandleFunc("GET /planner", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.zonePlanner.planner.Status()) })
	mux.Handle("GET /{$}", statuspage.Handler(n.page))
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}

// notReady returns the reason why the load balancer should not send callers to this host,
// or "" if it should.
func (n *Node) notReady() string {
	if n.stopping.Load() {
		return "stopping: send callers to another entry host"
	}
	if n.config.Snapshot().Revision == 0 {
		return "no configuration yet: check the connection to the control replicas"
	}
	return ""
}
