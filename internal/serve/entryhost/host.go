// Package entryhost runs an entry host that finds its control hosts from seeds. It
// serves callers by package forward with what it learns of instances and
// configuration by package controlwatch.
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
	"filberthook/internal/network/peer"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/forward"
	"filberthook/internal/serve/routes"
	"filberthook/internal/serve/upstream"
)

// Timing of the host.
const (
	// bodyTimeout bounds the arrival of a request's body.
	bodyTimeout = 10 * time.Second
	// headerTimeout bounds the header of a request.
	headerTimeout = 10 * time.Second
	// lameDuck is how long new connections are taken after the signal to stop: the
	// balancer asks once a second and needs two refusals.
	lameDuck = 3200 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 600 * time.Millisecond
	// stopPoll is how often the end of requests is looked for at a stop.
	stopPoll = 20 * time.Millisecond
)

// Platform is what speaks to the world outside the system.
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

	view     *instances.View
	fleet    *placement.Fleet
	pool     *upstream.Pool
	server   *forward.Server
	clients  *raftnet.Pool // to control hosts
	loads    *raftnet.Pool // to the one that load is exchanged with
	watcher  *controlwatch.Watcher
	idle     *idleConnections
	stopping atomic.Bool
	seedList atomic.Pointer[[]string]
}

// New returns a Host. Run must be called next.
func New(s Settings, p Platform, logger *slog.Logger, set *metrics.Set) *Host {
	h := &Host{settings: s, platform: p, logger: logger.With("host", s.Host, "zone", s.Zone)}
	h.seedList.Store(&s.Seeds)
	h.view = instances.NewView(s.Heartbeat.Duration)
	h.pool = upstream.NewPool(set)
	h.fleet = placement.New(placement.DefaultSettings(), rand.Float64, h.pool.Connected)
	budgets := forward.NewRetryBudgets(forward.RetryBudgetSettings{
		Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window.Duration,
	}, func() int { return h.watcher.Hosts() })
	h.server = forward.New(forward.Settings{Zone: s.Zone, ReadTimeout: bodyTimeout},
		p.Dialect, h.fleet, h.view, h.pool, budgets, h.logger, set)
	h.idle = newIdleConnections(h.server)
	options := controlapi.PeerOptions(peer.Identity{Host: s.Host, Zone: s.Zone}, s.TrustedNetwork, set, h.logger)
	h.clients = raftnet.NewPool(options)
	options.DropOnTimeout = false // a late exchange leaves the connection for the next
	h.loads = raftnet.NewPool(options)
	config := &configuration{decode: p.DecodeConfig, server: h.server, logger: h.logger}
	h.watcher = controlwatch.New(h.clients, h.view, config, h.logger)
	set.GetOrCreateGauge("filberthook_entry_config_version", func() float64 { return float64(config.Version()) })
	set.GetOrCreateGauge("filberthook_entry_control_hosts", func() float64 { return float64(h.watcher.Connected()) })
	set.GetOrCreateGauge("filberthook_entry_requests", func() float64 { return float64(h.server.Active()) })
	return h
}

// SetSeeds replaces the seeds.
func (h *Host) SetSeeds(seeds []string) {
	h.seedList.Store(&seeds)
	h.logger.Info("seeds replaced", "seeds", seeds)
}

// peers returns where the seeds' hosts serve other hosts.
func (h *Host) peers() []string {
	return formation.PeerAddresses(*h.seedList.Load(), h.settings.PeerPort)
}

// Ready reports whether the balancer may send new connections here.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.server.Table() != nil && h.view.Snapshot().Number > 0
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
		h.logger.Warn("plaintext to control hosts: trusted_network is set")
	}
	h.logger.Info("entry host started", "callers", h.settings.Listen.Callers, "seeds", *h.seedList.Load())
	defer h.clients.Close()
	defer h.loads.Close()
	defer h.pool.Close()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, background := errgroup.WithContext(background)
	tasks.Go(func() error { h.watcher.Run(background, h.peers); return nil })
	tasks.Go(func() error { h.refresh(background); return nil })
	tasks.Go(func() error { h.watcher.ShareLoad(background, h.loads, h.fleet); return nil })
	tasks.Go(func() error { return h.serveReady(background, ready) })
	tasks.Go(func() error {
		defer stop()
		return h.serveCallers(ctx, callers)
	})
	err = tasks.Wait()
	h.logger.Info("entry host stopped", "err", err, "cut", h.server.Active())
	return err
}

// serveReady answers the balancer.
func (h *Host) serveReady(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: h.platform.Readiness(h.Ready), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen.ready: %w", err)
	}
	return nil
}

// serveCallers serves callers until ctx ends and the requests under way have ended.
func (h *Host) serveCallers(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           h.server,
		ReadHeaderTimeout: headerTimeout,
		ConnState:         h.idle.track,
		ErrorLog:          slog.NewLogLogger(h.logger.Handler(), slog.LevelDebug),
	}
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(ended)
		h.drain(ln)
		server.Close()
	})
	err := server.Serve(callerListener{ln})
	if ctx.Err() == nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	<-ended // the end of the listener is a part of the stop
	return nil
}

// drain fails readiness at once, goes on serving until the balancer has noticed, then
// takes no more connections and waits for the requests under way. The balancer may send
// connections to hosts that are not ready, when too few are: without the end of the
// listener there would always be a request that the end of the process cuts.
func (h *Host) drain(ln net.Listener) {
	start := time.Now()
	h.stopping.Store(true)
	h.server.Stop()
	h.idle.stop()
	h.logger.Info("stopping", "requests", h.server.Active(), "grace", h.settings.Grace.Duration)
	last := start.Add(h.settings.Grace.Duration - stopMargin)
	pause.For(context.Background(), min(lameDuck, time.Until(last)))
	if err := ln.Close(); err != nil {
		h.logger.Warn("listener of callers not closed", "err", err)
	}
	for time.Now().Before(last) {
		h.idle.closeAll()
		if !pause.For(context.Background(), stopPoll) || h.server.Active() == 0 {
			return
		}
	}
}

// refresh passes new lists of instances to placement.
func (h *Host) refresh(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.view.Changed():
		}
		s := h.view.Snapshot()
		h.fleet.Update(s)
		addresses := h.fleet.Addresses()
		h.pool.Forget(func(address string) bool { return addresses[address] })
		counts := map[string]int{}
		for name, list := range s.ByEndpoint {
			counts[name] = len(list)
		}
		h.logger.Info("instances changed", "view", s.Number, "instances", counts)
	}
}
