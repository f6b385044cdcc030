// Package deployment runs a complete small deployment inside one process, on loopback:
// control replicas, entry hosts and stand-ins for endpoints. The demo, the fault runs and the
// tests use it.
//
// Components can be stopped and started again; they keep their data folders.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/bench/standin"
	"filberthook/internal/control/controlnode"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/settings"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/entry"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
)

// serviceWorkers is the number of calls that a stand-in service runs concurrently.
const serviceWorkers = 64

// engineQueue is the maximum number of requests queued at a stand-in engine.
const engineQueue = 1024

// EntryHost is one entry host.
type EntryHost struct {
	Component
	Zone     string
	Callers  string // address for callers
	Announce string // address to which instances announce themselves
	Status   string // address of metrics and health
	Metrics  *metrics.Set
}

// ControlHost is one control replica.
type ControlHost struct {
	Component
	Zone      string
	Peers     string
	Operators string // address for operators
	Status    string
	Metrics   *metrics.Set
}

// EngineHost is one stand-in engine.
type EngineHost struct {
	Component
	Zone   string
	Engine *standin.Engine
}

// ServiceHost is one stand-in instance of a plain service.
type ServiceHost struct {
	Component
	Zone    string
	Service *standin.Service
}

// Deployment is a set of components that run in this process.
type Deployment struct {
	Controls []*ControlHost
	Entries  []*EntryHost
	Engines  []*EngineHost
	Services []*ServiceHost

	opts     Options
	adminKey string
	adminSum fleet.KeyHash
}

// Start builds and starts all components.
func Start(opts Options) (*Deployment, error) {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	d := &Deployment{opts: opts}
	d.adminKey, d.adminSum = fleet.NewKey()
	steps := []func() error{d.buildControls, d.buildEntries, d.buildEngines, d.buildServices, d.startAll}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.Join(err, d.Stop())
		}
	}
	return d, nil
}

func (d *Deployment) components() []*Component {
	var out []*Component
	for _, c := range d.Controls {
		out = append(out, &c.Component)
	}
	for _, e := range d.Entries {
		out = append(out, &e.Component)
	}
	for _, e := range d.Engines {
		out = append(out, &e.Component)
	}
	for _, s := range d.Services {
		out = append(out, &s.Component)
	}
	return out
}

func (d *Deployment) startAll() error {
	for _, p := range d.components() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all components: stand-ins first, then entry hosts, then the control group.
// Components of one kind stop concurrently.
func (d *Deployment) Stop() error {
	var standins, entries, controls []*Component
	for _, e := range d.Engines {
		standins = append(standins, &e.Component)
	}
	for _, s := range d.Services {
		standins = append(standins, &s.Component)
	}
	for _, e := range d.Entries {
		entries = append(entries, &e.Component)
	}
	for _, c := range d.Controls {
		controls = append(controls, &c.Component)
	}
	return errors.Join(stopAll(standins), stopAll(entries), stopAll(controls))
}

func stopAll(components []*Component) error {
	errs := make([]error, len(components))
	var all sync.WaitGroup
	for i, p := range components {
		all.Go(func() { errs[i] = p.Stop() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// AdminKey returns the bootstrap admin's key.
func (d *Deployment) AdminKey() string { return d.adminKey }

func (d *Deployment) buildControls() error {
	addresses := reserve(3 * d.opts.Controls)
	var members []settings.ControlMember
	for i := range d.opts.Controls {
		zone := d.opts.Zones[i%len(d.opts.Zones)]
		c := &ControlHost{Zone: zone, Peers: addresses[3*i], Operators: addresses[3*i+1], Status: addresses[3*i+2], Metrics: metrics.NewSet()}
		c.Name = fmt.Sprintf("control-%d", i+1)
		members = append(members, settings.ControlMember{ID: uint64(i + 1), Address: c.Peers, Zone: zone})
		d.Controls = append(d.Controls, c)
	}
	for i, c := range d.Controls {
		s := settings.Control{
			Host:      c.Name,
			Zone:      c.Zone,
			DataDir:   filepath.Join(d.opts.Dir, c.Name),
			Listen:    settings.ControlListen{Peers: c.Peers, Operators: c.Operators, Status: c.Status},
			Replica:   settings.ControlReplica{ID: uint64(i + 1), Members: members},
			Operators: settings.Operators{BootstrapKeySHA256: string(d.adminSum)},
		}
		c.start = func() (func(context.Context) error, error) {
			c.Metrics = metrics.NewSet()
			node, err := controlnode.New(s, d.opts.Logger, c.Metrics)
			if err != nil {
				return nil, err
			}
			return node.Run, nil
		}
	}
	return nil
}

func (d *Deployment) buildEntries() error {
	addresses := reserve(4 * len(d.opts.Zones) * d.opts.EntriesPerZone)
	var replicas []string
	for _, c := range d.Controls {
		replicas = append(replicas, c.Peers)
	}
	seeds := []string{addresses[2]}
	for i := range len(addresses) / 4 {
		zone := d.opts.Zones[i%len(d.opts.Zones)]
		e := &EntryHost{Zone: zone, Callers: addresses[4*i], Announce: addresses[4*i+1], Status: addresses[4*i+3]}
		e.Name = fmt.Sprintf("entry-%s-%d", zone, i/len(d.opts.Zones)+1)
		s := settings.DefaultEntry()
		s.Host, s.Zone = e.Name, zone
		s.DataDir = filepath.Join(d.opts.Dir, e.Name)
		s.Listen = settings.EntryListen{Callers: e.Callers, Announce: e.Announce, Gossip: addresses[4*i+2], Status: e.Status}
		s.Control.Replicas = replicas
		s.Gossip.Seeds = seeds
		s.Stop.ReadyGrace = tomltime.Of(200 * time.Millisecond)
		s.Stop.Limit = tomltime.Of(stopTimeout / 2)
		if d.opts.Entry != nil {
			d.opts.Entry(&s)
		}
		e.start = func() (func(context.Context) error, error) { return d.startEntry(e, s) }
		d.Entries = append(d.Entries, e)
	}
	return nil
}

func (d *Deployment) startEntry(e *EntryHost, s settings.Entry) (func(context.Context) error, error) {
	listeners, err := entry.Listen(s.Listen)
	if err != nil {
		return nil, err
	}
	e.Metrics = metrics.NewSet()
	node, err := entry.New(s, listeners, d.opts.Logger, e.Metrics)
	if err != nil {
		return nil, errors.Join(err, listeners.Close())
	}
	return node.Run, nil
}

// announceAddresses returns the announcement addresses of a zone's entry hosts.
func (d *Deployment) announceAddresses(zone string) []string {
	var out []string
	for _, e := range d.Entries {
		if e.Zone == zone {
			out = append(out, e.Announce)
		}
	}
	return out
}

func (d *Deployment) buildEngines() error {
	addresses := reserve(len(d.opts.Engines))
	for i, o := range d.opts.Engines {
		id := standin.Identity{Instance: o.Name, Endpoint: o.Endpoint, Zone: o.Zone, Address: addresses[i], Entries: d.announceAddresses(o.Zone)}
		engine, err := standin.NewEngine(standin.EngineConfig{Identity: id, Model: o.Model, Speed: o.Speed, MaxQueue: engineQueue}, metrics.NewSet(), d.opts.Logger)
		if err != nil {
			return err
		}
		h := &EngineHost{Zone: o.Zone, Engine: engine}
		h.Name = o.Name
		h.start = func() (func(context.Context) error, error) { return d.serveStandin(addresses[i], engine) }
		d.Engines = append(d.Engines, h)
	}
	return nil
}

func (d *Deployment) buildServices() error {
	addresses := reserve(len(d.opts.Services))
	for i, o := range d.opts.Services {
		id := standin.Identity{Instance: o.Name, Endpoint: o.Endpoint, Zone: o.Zone, Address: addresses[i], Entries: d.announceAddresses(o.Zone)}
		service, err := standin.NewService(standin.ServiceConfig{Identity: id, Duration: o.Duration, Workers: serviceWorkers}, metrics.NewSet(), d.opts.Logger)
		if err != nil {
			return err
		}
		h := &ServiceHost{Zone: o.Zone, Service: service}
		h.Name = o.Name
		h.start = func() (func(context.Context) error, error) { return d.serveStandin(addresses[i], service) }
		d.Services = append(d.Services, h)
	}
	return nil
}

func (d *Deployment) serveStandin(address string, s standin.Standin) (func(context.Context) error, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		return standin.Serve(ctx, ln, s, stopTimeout/2, d.opts.Logger)
	}, nil
}

// Operator returns a client of the operator API at one control replica that authenticates
// with key.
func (d *Deployment) Operator(replica int, key string) filberthookv1connect.OperatorServiceClient {
	bearer := connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, req)
		}
	}))
	return filberthookv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+d.Controls[replica].Operators, bearer)
}

// AwaitReady waits until all entry hosts are ready for callers.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for _, e := range d.Entries {
		if err := awaitOK(ctx, "http://"+e.Status+"/readyz"); err != nil {
			return fmt.Errorf("%s not ready: %w", e.Name, err)
		}
	}
	return nil
}

// pollInterval is the time between readiness checks.
const pollInterval = 50 * time.Millisecond

func awaitOK(ctx context.Context, url string) error {
	for {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %s", resp.Status)
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(pollInterval):
		}
	}
}
