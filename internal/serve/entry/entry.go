// Package entry assembles an entry host: it serves callers, accepts announcements of
// endpoint instances, tracks the other entry hosts by gossip and watches the
// configuration.
//
// It only connects other packages and makes no routing or planning decisions itself.
package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"filberthook/internal/bench/history"
	"filberthook/internal/control/controlpeers"
	"filberthook/internal/control/directory"
	"filberthook/internal/control/distribution"
	"filberthook/internal/control/keys"
	"filberthook/internal/engines/cachefeed"
	"filberthook/internal/engines/demand"
	"filberthook/internal/engines/scheduler"
	"filberthook/internal/network/gossip"
	"filberthook/internal/network/membership"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/buildinfo"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/settings"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/middleware"
	"filberthook/internal/serve/proxy"
	"filberthook/internal/serve/request"
	"filberthook/internal/serve/routing"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
)

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	cutNoticeTimeout  = time.Second // for sending callers the refusals of interrupted requests
)

// Node is one entry host.
type Node struct {
	settings  settings.Entry
	log       *slog.Logger
	metrics   *metrics.Set
	started   time.Time
	listeners Listeners

	dir            *directory.Directory
	meter          *demand.Meter
	zoneDemand     *demand.Aggregator // demand reported by the zone's entry hosts
	sched          *scheduler.Scheduler
	router         *routing.Router
	gossip         *gossip.Node
	config         *distribution.Client
	replicas       *controlpeers.Set
	certs          *keys.Source // nil if TLS is not enabled
	claims         *claimlog.Client
	zonePlanner    *zonePlanner
	callers        *middleware.Chain
	counters       *request.Counters
	calls          *history.Log
	stopping       atomic.Bool
	cancelRequests func()          // ends the requests in flight with proxy.ErrStopped
	requestCtx     context.Context // parent context of all requests
}

// New assembles a node on open listeners and takes ownership of them.
func New(s settings.Entry, l Listeners, logger *slog.Logger, set *metrics.Set) (*Node, error) {
	n := &Node{
		settings:   s,
		log:        logger.With("host", s.Host, "zone", s.Zone),
		metrics:    set,
		started:    time.Now(),
		listeners:  l,
		dir:        directory.New(),
		meter:      &demand.Meter{},
		zoneDemand: demand.NewAggregator(),
	}
	var cancel context.CancelCauseFunc
	n.requestCtx, cancel = context.WithCancelCause(context.Background())
	n.cancelRequests = func() { cancel(proxy.ErrStopped) }
	s.Routing.Zone = s.Zone
	n.router = routing.New(s.Routing, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	schedule := scheduler.Settings{Routing: s.Routing, Admission: s.Admission}
	n.sched = scheduler.New(schedule, n.now, n.dir, n.router, n.meter, set)
	if err := n.connectControl(); err != nil {
		return nil, err
	}
	if err := n.initGossip(); err != nil {
		return nil, err
	}
	n.initCallerHandlers()
	n.zonePlanner = n.newZonePlanner()
	buildinfo.Register(set)
	return n, nil
}

// CallersAddress returns the address that serves callers.
func (n *Node) CallersAddress() string { return n.listeners.Callers.Addr().String() }

// StatusAddress returns the address that serves metrics, health checks and the status page.
func (n *Node) StatusAddress() string { return n.listeners.Status.Addr().String() }

// now returns the monotonic time since the node was created.
func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) connectControl() error {
	opts := peer.Options{
		Self:    peer.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
		Metrics: n.metrics,
		Logger:  n.log,
	}
	if n.settings.TLS.Enabled() {
		files := keys.Files{CA: n.settings.TLS.CA, Certificate: n.settings.TLS.Certificate, Key: n.settings.TLS.Key}
		certs, err := keys.Open(files, n.log, n.metrics)
		if err != nil {
			return err
		}
		n.certs = certs
		opts.TLS = certs.Config()
	}
	var callers []distribution.Caller
	n.replicas = controlpeers.New(n.settings.Control.Replicas, opts)
	for _, slot := range n.replicas.Slots() {
		callers = append(callers, slot)
	}
	dir := ""
	if n.settings.DataDir != "" {
		dir = filepath.Join(n.settings.DataDir, "entry")
	}
	watch := distribution.Settings{
		Replicas: callers,
		Dir:      dir,
		Engines:  n.engineReports,
		Logger:   n.log,
		Metrics:  n.metrics,
	}
	if n.settings.Control.Follow {
		watch.OnReplicas = n.replicas.Update
	}
	config, err := distribution.NewClient(watch, nil)
	n.config = config
	return err
}

func (n *Node) initGossip() error {
	key, err := n.settings.GossipKey()
	if err != nil {
		return err
	}
	n.gossip, err = gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:        n.self(),
			Incarnation: uint64(n.started.UnixMilli()),
			Seeds:       n.settings.Gossip.Seeds,
		},
		Key:     key,
		Now:     n.now,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Metrics: n.metrics,
		Logger:  n.log,
		OnEvent: func(membership.Event) { n.updateRouterPeers() },
	}, n.dir, n.zoneDemand, n.listeners.Gossip)
	if err == nil {
		n.updateRouterPeers()
	}
	return err
}

// updateRouterPeers passes the router the entry hosts with which it shares the engines.
func (n *Node) updateRouterPeers() {
	zoneHosts := []string{n.settings.Host}
	all := 1
	for _, m := range n.gossip.Members() {
		if !m.Reachable() {
			continue
		}
		all++
		if m.Zone == n.settings.Zone {
			zoneHosts = append(zoneHosts, m.Name)
		}
	}
	n.router.SetPeers(n.settings.Host, zoneHosts, all)
}

func (n *Node) self() membership.Host {
	return membership.Host{
		Name:     n.settings.Host,
		Zone:     n.settings.Zone,
		Gossip:   n.listeners.Gossip.LocalAddr().String(),
		Announce: n.listeners.Announce.Addr().String(),
	}
}

// Run serves until ctx ends, then stops gracefully: readiness fails at once, new
// requests are refused after the ready grace, and requests in flight may finish within
// the stop limit. It returns a *CutError if some were interrupted.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return n.gossip.Run(groupCtx) })
	group.Go(func() error { return n.config.Run(groupCtx) })
	feed := cachefeed.New(n.settings.Zone, n.now, n.dir, n.router.Prefixes(), n.metrics, n.log)
	group.Go(func() error { return feed.Run(groupCtx) })
	group.Go(func() error { return n.reportDemand(groupCtx) })
	group.Go(func() error { return n.sched.Run(groupCtx) })
	n.zonePlanner.run(groupCtx, group.Go)
	if n.certs != nil {
		group.Go(func() error { return n.certs.Run(groupCtx) })
	}
	callers := n.server(n.callers)
	announce := n.server(newAnnounceHandler(n.gossip, n.self(), n.metrics))
	status := n.server(n.statusHandler())
	group.Go(func() error { return ignoreClosed(callers.Serve(n.callerListener())) })
	group.Go(func() error { return ignoreClosed(announce.Serve(n.listeners.Announce)) })
	group.Go(func() error { return ignoreClosed(status.Serve(n.listeners.Status)) })
	n.log.Info("entry host started", "callers", n.listeners.Callers.Addr().String())

	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	cut := n.stop(groupCtx, callers)
	n.zonePlanner.release(n.log)
	stopBackground()
	announce.Close()
	status.Close()
	n.claims.Close()
	n.replicas.Close()
	return errors.Join(group.Wait(), cut)
}

// reportDemand periodically gossips the request rates of this host's callers.
func (n *Node) reportDemand(ctx context.Context) error {
	for {
		pause.For(ctx, demand.Interval(n.hostsInZone()))
		if ctx.Err() != nil {
			return nil
		}
		n.gossip.PublishDemand(n.meter.TakeRates(n.now()))
	}
}

// hostsInZone returns the number of reachable entry hosts in this zone, including this
// one.
func (n *Node) hostsInZone() int {
	hosts := 1
	for _, m := range n.gossip.Members() {
		if m.Reachable() && m.Zone == n.settings.Zone {
			hosts++
		}
	}
	return hosts
}

// stop shuts the callers' server down gracefully.
func (n *Node) stop(ctx context.Context, callers *http.Server) error {
	n.stopping.Store(true)
	n.log.Info("entry host stopping", "requests_in_flight", n.callers.Stop.InFlight())
	pause.For(ctx, n.settings.Stop.ReadyGrace.Duration)
	limit, cancel := context.WithTimeout(n.requestCtx, n.settings.Stop.Limit.Duration)
	defer cancel()
	n.callers.Stop.Begin()
	err := callers.Shutdown(limit)
	if err == nil {
		return n.callers.Claims.Drain(limit)
	}
	cut := &CutError{Requests: n.callers.Stop.InFlight()}
	n.cancelRequests()
	noticeCtx, cancelNotice := context.WithTimeout(context.Background(), cutNoticeTimeout)
	defer cancelNotice()
	n.callers.Stop.Wait(noticeCtx)
	callers.Close()
	return cut
}

// Kill interrupts the requests in flight at once, during a graceful stop.
func (n *Node) Kill() { n.cancelRequests() }

// CutError reports that a stop interrupted requests in flight.
type CutError struct{ Requests int }

func (e *CutError) Error() string {
	return fmt.Sprintf("%d requests in flight were interrupted by the stop: raise stop.limit, or wait longer before a second signal", e.Requests)
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       caller.ConnContext,
		BaseContext:       func(net.Listener) context.Context { return n.requestCtx },
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
