package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"filberthook/internal/control/authority"
	"filberthook/internal/control/distribution"
	"filberthook/internal/engines/planner"
	"filberthook/internal/engines/zoneplanner"
	"filberthook/internal/network/ident"
)

// orderCallTimeout limits one HTTP call to an engine that sends or checks orders.
const orderCallTimeout = 5 * time.Second

// releaseTimeout limits the release of the zone lease at a stop.
const releaseTimeout = time.Second

// zonePlanner plans for the host's zone while the host holds the zone's lease.
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
	manager := authority.NewManager(authority.Settings{
		Clock:   clock,
		Logger:  n.log,
		Metrics: n.metrics,
	}, holder, authority.NewHTTPTransport(orderCallTimeout))
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

// engineReports returns the reports on the zone's engines that this host has while it
// holds the zone's lease.
func (n *Node) engineReports() []distribution.EngineReport {
	return n.zonePlanner.manager.Reports()
}

// run starts the lease holder, the order manager and the planner; they run until ctx ends.
func (z *zonePlanner) run(ctx context.Context, start func(func() error)) {
	start(func() error { return z.holder.Run(ctx) })
	start(func() error { return z.manager.Run(ctx) })
	start(func() error { return z.planner.Run(ctx) })
}

// release returns the zone's lease if no order is outstanding, so that another host can
// take it at once.
func (z *zonePlanner) release(log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := z.manager.Close(ctx); err != nil {
		log.Info("zone lease not released, it will expire", "err", err)
	}
}
