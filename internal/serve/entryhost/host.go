// Package entryhost runs an entry host that discovers its control hosts from seeds. It
// serves callers with package forward, using the instances and the configuration that
// package controlwatch obtains from the control hosts.
package entryhost

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/controlwatch"
	"filberthook/internal/control/formation"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/serve/caller"
	"filberthook/internal/serve/connguard"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/forward"
	"filberthook/internal/serve/membudget"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
	"filberthook/internal/serve/usage"
)

// Time limits and intervals of the host.
const (
	// bodyTimeout limits the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 10 * time.Second
	// lameDuckPeriod is how long new connections are accepted after the stop signal: the load
	// balancer checks readiness once a second and needs two failed checks.
	lameDuckPeriod = 3200 * time.Millisecond
	// exitMargin is the part of the grace reserved for the exit of the process.
	exitMargin = 600 * time.Millisecond
	// endMargin is the part of exitMargin in which requests that are still in progress are answered.
	endMargin = 250 * time.Millisecond
	// minListInterval is the shortest time between two lists of instances for placement.
	minListInterval = 40 * time.Millisecond
	// maxExchangeWait is how long after its start a host stays unready for want of an exchange
	// with the other hosts: it serves its zone without them, too.
	maxExchangeWait = 3 * time.Second
	// drainPollInterval is the interval at which a stop checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Platform adapts the host to its environment: the protocol of callers and instances, the
// configuration format and the readiness check.
type Platform struct {
	Dialect      dialect.Dialect
	DecodeConfig func([]byte) (*routes.Config, error)
	Readiness    func(ready func() bool) http.Handler
}

// Host is one entry host.
type Host struct {
	settings Settings
	platform Platform
	logger   *slog.Logger

	view           *instances.View
	fleet          *placement.Fleet
	quarantine     *quarantine.Ledger
	pool           *upstream.Pool
	server         *forward.Server
	clients        *raftnet.Pool // connections to control hosts
	loadClients    *raftnet.Pool // connection to the control host that load is exchanged with
	confirmClients *raftnet.Pool // connections over which the configuration is confirmed
	keys           *keys
	watcher        *controlwatch.Watcher
	connections    *callerConnections
	budget         *membudget.Budget // of all clients' bytes
	guard          *connguard.Guard  // of callers' connections
	readyGuard     *connguard.Guard
	raced          *metrics.Counter // see callerConn
	lameDuck       time.Duration    // see lameDuckPeriod
	startedAt      time.Time
	usage          *usage.Reporter // nil where no usage is reported
	stopping       atomic.Bool
	seeds          atomic.Pointer[[]string]
}

// New returns a Host. Run must be called next.
func New(s Settings, p Platform, logger *slog.Logger, set *metrics.Set) *Host {
	h := &Host{settings: s, platform: p, lameDuck: lameDuckPeriod, startedAt: time.Now(), logger: logger.With("host", s.Host, "zone", s.Zone)}
	h.seeds.Store(&s.Seeds)
	h.view = instances.NewView(s.Heartbeat.Duration)
	h.pool = upstream.NewPool(set)
	h.budget = membudget.ForMemory(s.MemoryMB)
	h.budget.Register(set)
	if h.budget.Limited() {
		h.pool.UseBudget(h.budget)
	}
	h.fleet = placement.New(placement.DefaultSettings(), rand.Float64, h.pool.Connected)
	h.quarantine = quarantine.New(rand.Float64)
	budgets := forward.NewRetryBudgets(forward.RetryBudgetSettings{
		Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window.Duration,
	}, func() int { return h.watcher.Hosts() })
	h.keys = newKeys(s.Accounts)
	counts := newCounts(s.Usage, set)
	forwarding := forward.Settings{Zone: s.Zone, ReadTimeout: bodyTimeout, Keys: h.keys.forwarding(func() uint64 { return h.watcher.Announced() }), Usage: counter(counts)}
	h.server = forward.New(forwarding,
		p.Dialect, h.fleet, h.view, h.pool, budgets, h.quarantine, h.logger, set)
	h.connections = newCallerConnections(h.server)
	h.newGuards(set)
	h.raced = set.GetOrCreateCounter("filberthook_entry_requests_at_idle_timeout_total")
	options := controlapi.PeerOptions(h.identity(), s.TrustedNetwork, set, h.logger)
	h.clients = raftnet.NewPool(options)
	h.confirmClients = raftnet.NewPool(options)
	options.DropOnTimeout = false // a timed-out exchange keeps the connection for the next one
	h.loadClients = raftnet.NewPool(options)
	config := &configuration{decode: p.DecodeConfig, server: h.server, logger: h.logger, changed: h.keys.wake}
	h.watcher = controlwatch.New(h.clients, h.view, config, h.logger)
	if counts != nil {
		h.usage = &usage.Reporter{Counts: counts, Control: h.watcher, Clients: h.loadClients, Logger: h.logger}
	}
	set.GetOrCreateGauge("filberthook_entry_config_version", func() float64 { return float64(config.Version()) })
	set.GetOrCreateGauge("filberthook_entry_control_hosts", func() float64 { return float64(h.watcher.Connected()) })
	set.GetOrCreateGauge("filberthook_entry_restricted_instances", func() float64 { return float64(h.fleet.RestrictedInstances(time.Now())) })
	set.GetOrCreateGauge("filberthook_entry_quarantined_blocks", func() float64 { return h.quarantined(quarantine.KindBlock) })
	set.GetOrCreateGauge("filberthook_entry_quarantined_requests", func() float64 { return h.quarantined(quarantine.KindRequest) })
	set.GetOrCreateGauge("filberthook_entry_accounts", func() float64 { return float64(h.accountCount()) })
	set.GetOrCreateGauge("filberthook_entry_config_confirmed_age_seconds", h.confirmedAge)
	set.GetOrCreateGauge("filberthook_entry_requests", func() float64 { return float64(h.server.Active()) })
	return h
}

// identity returns how this host names itself to others.
func (h *Host) identity() peer.Identity {
	return peer.Identity{Host: h.settings.Host, Zone: h.settings.Zone}
}

// SetSeeds replaces the seed addresses.
func (h *Host) SetSeeds(seeds []string) {
	h.seeds.Store(&seeds)
	h.logger.Info("seeds replaced", "seeds", seeds)
}

// peers returns the addresses at which the hosts of the seeds serve other hosts.
func (h *Host) peers() []string {
	return formation.PeerAddresses(*h.seeds.Load(), h.settings.PeerPort)
}

// Ready reports whether the load balancer may send new connections to this host: it is not
// stopping and has a configuration, a list of instances, and the blocks in quarantine that
// other hosts know, and may serve requests with keys.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.server.Table() != nil && h.view.Snapshot().Number > 0 && h.knowsQuarantine() && h.knowsKeys()
}

// knowsQuarantine reports whether this host has exchanged load since its start, or has waited
// for that long enough.
func (h *Host) knowsQuarantine() bool {
	return h.watcher.Exchanged() || time.Since(h.startedAt) > maxExchangeWait
}

// Run serves until ctx ends, then drains.
func (h *Host) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", h.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	ready, err := net.Listen("tcp", h.settings.Listen.Ready)
	if err != nil {
		callers.Close()
		return fmt.Errorf("listen.ready: %w", err)
	}
	if h.settings.TrustedNetwork {
		h.logger.Warn("connections to control hosts are not encrypted: trusted_network is set")
	}
	h.logger.Info("entry host started", "callers", h.settings.Listen.Callers, "seeds", *h.seeds.Load())
	defer h.clients.Close()
	defer h.loadClients.Close()
	defer h.confirmClients.Close()
	defer h.pool.Close()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, background := errgroup.WithContext(background)
	tasks.Go(func() error { h.watcher.Run(background, h.peers); return nil })
	tasks.Go(func() error { h.refreshInstances(background); return nil })
	tasks.Go(func() error {
		h.watcher.ShareLoad(background, h.loadClients, h.fleet, h.quarantine, h.identity())
		return nil
	})
	tasks.Go(func() error { h.confirmKeys(background); return nil })
	if h.usage != nil {
		tasks.Go(func() error { h.usage.Run(background); return nil })
	}
	tasks.Go(func() error { return h.serveReady(background, ready) })
	tasks.Go(func() error {
		defer stop()
		defer h.flushUsage()
		return h.serveCallers(ctx, callers)
	})
	err = tasks.Wait()
	h.logger.Info("entry host stopped", "err", err, "cut", h.server.Active())
	return err
}

// serveReady serves the readiness checks of the load balancer.
func (h *Host) serveReady(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler: h.platform.Readiness(h.Ready), ConnState: h.readyGuard.Track,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout,
	}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(h.readyGuard.Listen(ln)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen.ready: %w", err)
	}
	return nil
}

// serveCallers serves callers until ctx ends, then drains.
func (h *Host) serveCallers(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           h.connections.answering(h.guard, caller.Handler(connguard.Bodies(h.budget, 1, h.server))),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       connContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			h.guard.Track(c, state)
			h.connections.track(c, state)
		},
		ErrorLog: slog.NewLogLogger(h.logger.Handler(), slog.LevelDebug),
	}
	ln = &callerListener{Listener: ln, raced: h.raced, guard: h.guard}
	drained, served := make(chan struct{}), make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(drained)
		h.drain(ln, served)
		server.Close()
	})
	err := server.Serve(ln)
	close(served)
	if ctx.Err() == nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	<-drained // drain closes the listener, so Serve returns before the drain has ended
	return nil
}

// drain fails readiness at once, continues serving until the load balancer has noticed,
// then closes the listener and waits for the requests in flight. The listener must be
// closed because the balancer also uses hosts that are not ready if too few are ready: with
// new connections coming in, the exit would always interrupt some request. The channel served
// is closed when the last accepted connection is known.
func (h *Host) drain(ln net.Listener, served <-chan struct{}) {
	start := time.Now()
	h.stopping.Store(true)
	last := start.Add(h.settings.Grace.Duration - exitMargin)
	h.server.Stop(last)
	h.connections.stop()
	h.logger.Info("stopping", "requests", h.server.Active(), "grace", h.settings.Grace.Duration)
	pause.For(context.Background(), min(h.lameDuck, time.Until(last)))
	if err := ln.Close(); err != nil {
		h.logger.Warn("closing the listener of callers failed", "err", err)
	}
	select {
	case <-served:
	case <-time.After(time.Until(last)):
	}
	for time.Now().Before(last) {
		if h.connections.closeUnused() == 0 && h.server.Active() == 0 {
			return
		}
		pause.For(context.Background(), drainPollInterval)
	}
	h.endRequests()
}

// endRequests ends the requests that are still in progress at the end of a stop, and waits until
// they are answered.
func (h *Host) endRequests() {
	if n := h.server.Active(); n > 0 {
		h.logger.Warn("ending requests that outlast the grace", "requests", n)
	}
	h.server.EndRequests()
	for end := time.Now().Add(endMargin); h.connections.closeUnused() > 0 && time.Now().Before(end); {
		pause.For(context.Background(), drainPollInterval)
	}
}

// refreshInstances passes new lists of instances to placement, and drops connections to
// instances that are not listed any more. It pauses between two lists, as a fleet that
// starts announces its instances one by one.
func (h *Host) refreshInstances(ctx context.Context) {
	for pause.For(ctx, minListInterval) {
		select {
		case <-ctx.Done():
			return
		case <-h.view.Changed():
		}
		s := h.view.Snapshot()
		h.fleet.Update(s)
		h.noteStarts(s)
		addresses := h.fleet.Addresses()
		h.pool.Forget(func(address string) bool { return addresses[address] })
		counts := map[string]int{}
		for name, list := range s.ByEndpoint {
			counts[name] = len(list)
		}
		h.logger.Info("instances changed", "view", s.Number, "instances", counts)
	}
}

// quarantined returns how many suspects of a kind are in quarantine.
func (h *Host) quarantined(k quarantine.Kind) float64 {
	n := 0.0
	for _, v := range h.quarantine.Verdicts() {
		if v.Suspect.Kind() == k {
			n++
		}
	}
	return n
}

// noteStarts tells the quarantine ledger of instances that may have replaced others which have
// lost requests.
func (h *Host) noteStarts(s *instances.Snapshot) {
	if !h.quarantine.Pending() {
		return
	}
	for _, list := range s.ByEndpoint {
		for _, in := range list {
			h.quarantine.Started(in.Address, in.Born, time.Now())
		}
	}
}
