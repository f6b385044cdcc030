package entryhost

import (
	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/serve/connguard"
)

const (
	// defaultHeadBytes limits the head of a request if the configuration does not.
	defaultHeadBytes = 64 << 10
	// readyHeadBytes limits the head of a readiness check.
	readyHeadBytes = 8 << 10
	// callersPart is the part of the descriptors for callers' connections, one of so many: a request
	// needs another one for its instance.
	callersPart = 2
	// readyPart is that for the connections of the load balancer, which has a few.
	readyPart = 16
	// maxReadyConnections bounds them where there are many descriptors.
	maxReadyConnections = 64
)

// newGuards bounds the connections of callers and of the load balancer.
func (h *Host) newGuards(set *metrics.Set) {
	h.guard = connguard.New(connguard.Settings{
		Port: "callers", MaxConnections: connguard.MaxConnections(callersPart), Budget: h.budget, Limits: h.headLimits,
	}, h.logger, set)
	h.readyGuard = connguard.New(connguard.Settings{
		Port: "ready", MaxConnections: min(maxReadyConnections, connguard.MaxConnections(readyPart)), Budget: h.budget,
		Limits: func() connguard.Limits { return connguard.Limits{Bytes: readyHeadBytes, Time: headerTimeout} },
	}, h.logger, set)
}

// headLimits returns the limits of the configuration in force.
func (h *Host) headLimits() connguard.Limits {
	out := connguard.Limits{Bytes: defaultHeadBytes, Time: headerTimeout}
	if t := h.server.Table(); t != nil {
		if t.Limits.HeaderBytes > 0 {
			out.Bytes = t.Limits.HeaderBytes
		}
		if t.Limits.HeaderTimeout > 0 {
			out.Time = min(out.Time, t.Limits.HeaderTimeout)
		}
	}
	return out
}
