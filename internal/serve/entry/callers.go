package entry

import (
	"errors"
	"net"

	"filberthook/internal/bench/history"
	"filberthook/internal/control/controlnode"
	"filberthook/internal/control/operator"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/limit"
	"filberthook/internal/serve/middleware"
	"filberthook/internal/serve/proxy"
	"filberthook/internal/serve/request"
)

// initCallerHandlers builds the chain of handlers for callers' requests.
func (n *Node) initCallerHandlers() {
	n.counters = request.NewCounters(n.metrics)
	n.calls = history.NewLog()
	var replicas []claimlog.Caller
	for _, r := range n.replicas.Slots() {
		replicas = append(replicas, r)
	}
	log := claimlog.NewReplicas(replicas, controlnode.MethodClaims, notApplied)
	n.claims = claimlog.New(log, n.settings.Callers.Claiming, n.counters, n.metrics)
	last := proxy.New(n.settings.Callers.Proxy, n.sched, n.metrics)
	s := n.settings.Callers.Settings
	s.Claims.Host = n.settings.Host
	n.callers = middleware.NewChain(s, n.config, n.claims, n.counters, n.calls, last)
	n.metrics.NewGauge("filberthook_requests_in_flight", func() float64 { return float64(n.callers.Stop.InFlight()) })
}

// callerListener returns the callers' listener with a limit on open connections.
func (n *Node) callerListener() net.Listener {
	refused := n.metrics.GetOrCreateCounter("filberthook_connections_refused_total")
	ln := limit.NewListener(n.listeners.Callers, n.settings.Callers.MaxConnections, refused)
	n.metrics.GetOrCreateGauge("filberthook_connections_open", func() float64 { return float64(ln.Open()) })
	return ln
}

// notApplied reports whether a failed call to a replica certainly had no effect.
func notApplied(err error) bool {
	var na *operator.NotAppliedError
	return errors.As(controlnode.RemoteOutcome(err), &na)
}
