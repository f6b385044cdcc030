package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"filberthook/internal/control/authority"
	"filberthook/internal/control/distribution"
	"filberthook/internal/engines/planner"
	"filberthook/internal/engines/zoneplanner"
	"filberthook/internal/network/ident"
)

// orderCallTimeout bounds one call to an engine about orders.
const orderCallTimeout = 5 * time.Second

// releaseTimeout bounds the return of the lease at a stop.
const releaseTimeout = time.Second

// zonePlanner is the part of the host that plans for its zone while it holds
// the zone's lease.
type zonePlanner struct {
	holder  *authority.Holder
	manager *authority.Manager
	planner *zoneplanner.Planner
}

func (n *Node) newZonePlanner() *zonePlanner {
	var callers []authority.Caller
	for _, r := range n.replicas.Slots() {
		callers = append(callers, r)
	}
	clock := authority.NewClock()
	holder := authority.NewHolder(authority.HolderSettings{
		Host:    n.settings.Host,
		Zone:    n.settings.Zone,
		Session: ident.New(),
		Clock:   clock,
		Random:  rand.Float64,
		Logger:  n.log,
		Metrics: n.metrics,
	}, authority.NewPeerGranter(callers))
	client := &http.Client{
		Timeout:       orderCallTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	manager := authority.NewManager(authority.Settings{
		Clock:   clock,
		Logger:  n.log,
		Metrics: n.metrics,
	}, holder, authority.NewHTTPTransport(client))
	zone := zoneplanner.New(zoneplanner.Settings{
		Zone:       n.settings.Zone,
		Now:        n.now,
		Planner:    n.settings.Planner,
		NewPlanner: n.newPlanner,
		Logger:     n.log,
		Metrics:    n.metrics,
	}, manager, n.dir, n.zoneDemand, n.config)
	return &zonePlanner{holder: holder, manager: manager, planner: zone}
}

func (n *Node) newPlanner(cfg planner.Config) *planner.Planner {
	return planner.New(cfg, n.settings.Routing.Costs, n.settings.Routing.Targets.Summary.FirstToken.Duration)
}

// engineReports returns what this host knows of the zone's engines while it
// holds the zone's lease.
func (n *Node) engineReports() []distribution.EngineReport {
	return n.zonePlanner.manager.Reports()
}

// run runs the parts until ctx ends, then gives the lease back.
func (z *zonePlanner) run(ctx context.Context, start func(func() error)) {
	start(func() error { return z.holder.Run(ctx) })
	start(func() error { return z.manager.Run(ctx) })
	start(func() error { return z.planner.Run(ctx) })
}

// release gives the zone's lease back, so that a successor starts at once.
func (z *zonePlanner) release(log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := z.manager.Close(ctx); err != nil {
		log.Info("lease not given back, it runs out", "err", err)
	}
}
