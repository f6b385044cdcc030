// Package entry assembles an entry host: it serves callers, hears endpoint
// instances announce themselves, knows the other entry hosts and watches the
// configuration.
//
// It holds no decisions of its own; those are in the packages that it joins.
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
	tellLimit         = time.Second // for telling callers that their requests are cut
)

// Node is one entry host.
type Node struct {
	set       settings.Entry
	log       *slog.Logger
	metrics   *metrics.Set
	started   time.Time
	listeners Listeners

	dir       *directory.Directory
	meter     *demand.Meter
	board     *demand.Aggregator // demand of the zone's hosts
	sched     *scheduler.Scheduler
	router    *routing.Router
	gossip    *gossip.Node
	config    *distribution.Client
	replicas  *controlpeers.Set
	certs     *keys.Source // nil without TLS
	claims    *claimlog.Client
	zone      *zonePlanner
	callers   *middleware.Chain
	counters  *request.Counters
	calls     *history.Log
	stopping  atomic.Bool
	cancelAll func()          // ends the requests under way; their callers are told
	base      context.Context // parent of all requests
}

// New assembles a node on open listeners, which it takes over.
func New(s settings.Entry, l Listeners, logger *slog.Logger, set *metrics.Set) (*Node, error) {
	n := &Node{
		set:       s,
		log:       logger.With("host", s.Host, "zone", s.Zone),
		metrics:   set,
		started:   time.Now(),
		listeners: l,
		dir:       directory.New(),
		meter:     &demand.Meter{},
		board:     demand.NewAggregator(),
	}
	var cancel context.CancelCauseFunc
	n.base, cancel = context.WithCancelCause(context.Background())
	n.cancelAll = func() { cancel(proxy.ErrStopped) }
	s.Routing.Zone = s.Zone
	n.router = routing.New(s.Routing, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	schedule := scheduler.Settings{Routing: s.Routing, Admission: s.Admission}
	n.sched = scheduler.New(schedule, n.now, n.dir, n.router, n.meter, set)
	if err := n.connectControl(); err != nil {
		return nil, err
	}
	if err := n.joinHosts(); err != nil {
		return nil, err
	}
	n.callerHandlers()
	n.zone = n.newZonePlanner()
	buildinfo.Register(set)
	return n, nil
}

// CallersAddress returns the address that serves callers.
func (n *Node) CallersAddress() string { return n.listeners.Callers.Addr().String() }

// StatusAddress returns the address of metrics, health and the status page.
func (n *Node) StatusAddress() string { return n.listeners.Status.Addr().String() }

// now is the monotonic clock of the process.
func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) connectControl() error {
	opts := peer.Options{
		Self:    peer.Identity{Host: n.set.Host, Zone: n.set.Zone},
		Metrics: n.metrics,
		Logger:  n.log,
	}
	if n.set.TLS.Enabled() {
		files := keys.Files{CA: n.set.TLS.CA, Certificate: n.set.TLS.Certificate, Key: n.set.TLS.Key}
		certs, err := keys.Open(files, n.log, n.metrics)
		if err != nil {
			return err
		}
		n.certs = certs
		opts.TLS = certs.Config()
	}
	var callers []distribution.Caller
	n.replicas = controlpeers.New(n.set.Control.Replicas, opts)
	for _, slot := range n.replicas.Slots() {
		callers = append(callers, slot)
	}
	dir := ""
	if n.set.DataDir != "" {
		dir = filepath.Join(n.set.DataDir, "entry")
	}
	watch := distribution.Settings{
		Replicas: callers,
		Dir:      dir,
		Engines:  n.engineReports,
		Logger:   n.log,
		Metrics:  n.metrics,
	}
	if n.set.Control.Follow {
		watch.OnReplicas = n.replicas.Update
	}
	config, err := distribution.NewClient(watch, nil)
	n.config = config
	return err
}

func (n *Node) joinHosts() error {
	key, err := n.set.GossipKey()
	if err != nil {
		return err
	}
	n.gossip, err = gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:        n.self(),
			Incarnation: uint64(n.started.UnixMilli()),
			Seeds:       n.set.Gossip.Seeds,
		},
		Key:     key,
		Now:     n.now,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Metrics: n.metrics,
		Logger:  n.log,
		OnEvent: func(membership.Event) { n.tellRouter() },
	}, n.dir, n.board, n.listeners.Gossip)
	if err == nil {
		n.tellRouter()
	}
	return err
}

// tellRouter tells the router which entry hosts share the engines.
func (n *Node) tellRouter() {
	local := []string{n.set.Host}
	all := 1
	for _, m := range n.gossip.Members() {
		if !m.Reachable() {
			continue
		}
		all++
		if m.Zone == n.set.Zone {
			local = append(local, m.Name)
		}
	}
	n.router.SetPeers(n.set.Host, local, all)
}

func (n *Node) self() membership.Host {
	return membership.Host{
		Name:     n.set.Host,
		Zone:     n.set.Zone,
		Gossip:   n.listeners.Gossip.LocalAddr().String(),
		Announce: n.listeners.Announce.Addr().String(),
	}
}

// Run serves until ctx ends, then stops gracefully: readiness fails first, new
// requests are refused after the ready grace, and requests under way have until
// the stop limit. It returns a *CutError when some had to be cut.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return n.gossip.Run(groupCtx) })
	group.Go(func() error { return n.config.Run(groupCtx) })
	feed := cachefeed.New(n.set.Zone, n.now, n.dir, n.router.Prefixes(), n.metrics, n.log)
	group.Go(func() error { return feed.Run(groupCtx) })
	group.Go(func() error { return n.reportDemand(groupCtx) })
	group.Go(func() error { return n.sched.Run(groupCtx) })
	n.zone.run(groupCtx, group.Go)
	if n.certs != nil {
		group.Go(func() error { return n.certs.Run(groupCtx) })
	}
	callers := n.server(n.callers)
	announce := n.server(newAnnounceHandler(n.gossip, n.self(), n.metrics))
	status := n.server(n.statusHandler())
	group.Go(func() error { return ignoreClosed(callers.Serve(n.callerListener())) })
	group.Go(func() error { return ignoreClosed(announce.Serve(n.listeners.Announce)) })
	group.Go(func() error { return ignoreClosed(status.Serve(n.listeners.Status)) })
	n.log.Info("entry host serves", "callers", n.listeners.Callers.Addr().String())

	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	cut := n.stop(groupCtx, callers)
	n.zone.release(n.log)
	stopBackground()
	announce.Close()
	status.Close()
	n.claims.Close()
	n.replicas.Close()
	return errors.Join(group.Wait(), cut)
}

// reportDemand tells the zone's hosts what callers bring to this one.
func (n *Node) reportDemand(ctx context.Context) error {
	for {
		pause.For(ctx, demand.Interval(n.hostsInZone()))
		if ctx.Err() != nil {
			return nil
		}
		n.gossip.PublishDemand(n.meter.TakeRates(n.now()))
	}
}

// hostsInZone returns the number of entry hosts of the own zone, this one
// included.
func (n *Node) hostsInZone() int {
	hosts := 1
	for _, m := range n.gossip.Members() {
		if m.Reachable() && m.Zone == n.set.Zone {
			hosts++
		}
	}
	return hosts
}

// stop ends the callers' server gracefully.
func (n *Node) stop(ctx context.Context, callers *http.Server) error {
	n.stopping.Store(true)
	n.log.Info("entry host stops", "requests_in_flight", n.callers.Stop.UnderWay())
	pause.For(ctx, n.set.Stop.ReadyGrace.Duration)
	limit, cancel := context.WithTimeout(n.base, n.set.Stop.Limit.Duration)
	defer cancel()
	n.callers.Stop.Begin()
	err := callers.Shutdown(limit)
	if err == nil {
		return n.callers.Claims.Drain(limit)
	}
	cut := &CutError{Requests: n.callers.Stop.UnderWay()}
	n.cancelAll()
	told, cancelTold := context.WithTimeout(context.Background(), tellLimit)
	defer cancelTold()
	n.callers.Stop.Wait(told)
	callers.Close()
	return cut
}

// Kill ends the requests under way at once, during a graceful stop.
func (n *Node) Kill() { n.cancelAll() }

// CutError tells that a stop cut requests that were under way.
type CutError struct{ Requests int }

func (e *CutError) Error() string {
	return fmt.Sprintf("%d requests were cut by the stop: raise stop.limit, or wait longer before a second signal", e.Requests)
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return n.base },
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
