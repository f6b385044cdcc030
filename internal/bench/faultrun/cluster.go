package faultrun

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/api/filberthook/v1/filberthookv1connect"
	"filberthook/internal/bench/deployment"
	"filberthook/internal/bench/faultnet"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/settings"
)

// Names and time limits of a cluster under faults.
const (
	clusterModel    = "assist-7b"
	clusterEndpoint = "summaries"
	clusterService  = "bookings"
	clusterTeam     = "dispatch"
	clusterOwner    = "operations"
	clusterDeadline = 15 * time.Second
	applyLimit      = 20 * time.Second
	applyPause      = 50 * time.Millisecond
	startAttempts   = 5
)

// ClusterConfig describes the system under faults.
type ClusterConfig struct {
	Dir            string // data folder of all hosts
	Zones          []string
	Controls       int
	EntriesPerZone int
	Logger         *slog.Logger
}

// Cluster is a deployment on loopback whose entry hosts are reached through
// relays.
type Cluster struct {
	deployment *deployment.Deployment
	entries    []*clusterEntry
	relays     []*faultnet.Relay
	relaysUsed int                          // number of relays that have a target
	control    map[string][]*faultnet.Relay // by entry host, one to each control replica
	teamKey    string
	changeIDs  atomic.Uint64 // number of changes requested, for their ids
	revision   atomic.Uint64 // newest revision applied
}

// StartCluster starts a deployment without stand-ins, creates its endpoints and
// approves one team.
func StartCluster(ctx context.Context, cfg ClusterConfig) (*Cluster, error) {
	c := &Cluster{control: make(map[string][]*faultnet.Relay)}
	hosts := len(cfg.Zones) * cfg.EntriesPerZone
	if err := c.openRelays(hosts * (1 + cfg.Controls)); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	d, err := c.start(cfg)
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	c.deployment = d
	if err := c.configureAndAwait(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// start starts the deployment. It retries with new addresses if a connection of this
// process has taken one that the deployment had chosen.
func (c *Cluster) start(cfg ClusterConfig) (*deployment.Deployment, error) {
	for attempt := 1; ; attempt++ {
		c.relaysUsed = 0
		clear(c.control)
		d, err := deployment.Start(deployment.Options{
			Dir:            filepath.Join(cfg.Dir, strconv.Itoa(attempt)),
			Zones:          cfg.Zones,
			Controls:       cfg.Controls,
			EntriesPerZone: cfg.EntriesPerZone,
			Logger:         cfg.Logger,
			Entry:          c.relayControl,
		})
		if err == nil || attempt == startAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return d, err
		}
	}
}

// openRelays opens all relays before the deployment chooses its addresses, so that
// no relay takes one of them.
func (c *Cluster) openRelays(n int) error {
	for range n {
		r, err := faultnet.NewRelay("")
		if err != nil {
			return err
		}
		c.relays = append(c.relays, r)
	}
	return nil
}

// nextRelay returns an unused relay to an address.
func (c *Cluster) nextRelay(target string) *faultnet.Relay {
	r := c.relays[c.relaysUsed]
	c.relaysUsed++
	r.Retarget(target)
	return r
}

// relayControl puts relays between an entry host and the control replicas.
func (c *Cluster) relayControl(s *settings.Entry) {
	relayed := make([]string, 0, len(s.Control.Replicas))
	for _, address := range s.Control.Replicas {
		r := c.nextRelay(address)
		c.control[s.Host] = append(c.control[s.Host], r)
		relayed = append(relayed, r.Address())
	}
	s.Control.Replicas = relayed
	s.Control.Follow = false // following the members' own addresses would bypass the relays
}

func (c *Cluster) configureAndAwait(ctx context.Context) error {
	for _, e := range c.deployment.Entries {
		c.entries = append(c.entries, &clusterEntry{host: e, relay: c.nextRelay(e.Callers), control: c.control[e.Name]})
	}
	if err := c.configure(ctx); err != nil {
		return err
	}
	return c.deployment.AwaitReady(ctx)
}

// Close stops everything.
func (c *Cluster) Close() error {
	for _, e := range c.entries {
		e.relay.Down()
	}
	var err error
	if c.deployment != nil {
		err = c.deployment.Stop()
	}
	for _, r := range c.relays {
		_ = r.Close()
	}
	return err
}

// System returns the cluster as the system under test.
func (c *Cluster) System() System {
	sys := System{
		TeamKey:        c.teamKey,
		Endpoint:       clusterEndpoint,
		Model:          clusterModel,
		Service:        clusterService,
		ChangeDeclared: c.ChangeDeclared,
	}
	for _, e := range c.entries {
		sys.Entries = append(sys.Entries, e)
	}
	for _, h := range c.deployment.Controls {
		sys.Controls = append(sys.Controls, clusterControl{h})
	}
	return sys
}

func (c *Cluster) configure(ctx context.Context) error {
	key, sum := fleet.NewKey()
	c.teamKey = key
	return c.apply(ctx, []*filberthookv1.Change{
		createEndpoint(&filberthookv1.Endpoint{
			Name: clusterEndpoint, Owner: clusterOwner, Kind: filberthookv1.Kind_KIND_MODEL,
			Repeatable: true, DefaultDeadlineMs: clusterDeadline.Milliseconds(), Model: clusterModel,
		}),
		createEndpoint(&filberthookv1.Endpoint{
			Name: clusterService, Owner: clusterOwner, Kind: filberthookv1.Kind_KIND_SERVICE,
			DefaultDeadlineMs: clusterDeadline.Milliseconds(),
		}),
		{Change: &filberthookv1.Change_CreateTeam{CreateTeam: &filberthookv1.CreateTeam{
			Team: clusterTeam, Key: &filberthookv1.TeamKey{Id: "first", Sha256: string(sum)},
		}}},
		approve(clusterEndpoint),
		approve(clusterService),
	})
}

func createEndpoint(e *filberthookv1.Endpoint) *filberthookv1.Change {
	return &filberthookv1.Change{Change: &filberthookv1.Change_CreateEndpoint{
		CreateEndpoint: &filberthookv1.CreateEndpoint{Endpoint: e},
	}}
}

func approve(endpoint string) *filberthookv1.Change {
	return &filberthookv1.Change{Change: &filberthookv1.Change_ApproveTeam{
		ApproveTeam: &filberthookv1.ApproveTeam{Endpoint: endpoint, Team: clusterTeam},
	}}
}

// ChangeDeclared changes the declared model version and adapters of one engine.
func (c *Cluster) ChangeDeclared(ctx context.Context, rng *rand.Rand) error {
	engine := fmt.Sprintf("engine-%d", rng.IntN(4))
	adapter := fmt.Sprintf("adapter-%d", rng.IntN(3))
	return c.apply(ctx, []*filberthookv1.Change{{Change: &filberthookv1.Change_SetDeclaration{
		SetDeclaration: &filberthookv1.SetDeclaration{Declaration: &filberthookv1.Declaration{
			Engine: engine,
			Models: []*filberthookv1.Model{{Name: clusterModel, Version: strconv.Itoa(1 + rng.IntN(2)), Adapters: []string{adapter}}},
		}},
	}}})
}

// apply sends changes to the control replicas in turn until one has applied them. A
// resend keeps its change id, so that the changes are applied once.
func (c *Cluster) apply(ctx context.Context, changes []*filberthookv1.Change) error {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	id := "faults-" + strconv.FormatUint(c.changeIDs.Add(1), 10)
	for replica := 0; ; replica++ {
		err := c.applyOnce(ctx, c.deployment.Operator(replica%len(c.deployment.Controls), c.deployment.AdminKey()), id, changes)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("change %s was not applied within %s: %w", id, applyLimit, err)
		}
		pause.For(ctx, applyPause)
	}
}

func (c *Cluster) applyOnce(ctx context.Context, op filberthookv1connect.OperatorServiceClient, id string, changes []*filberthookv1.Change) error {
	ctx, cancel := context.WithTimeout(ctx, applyLimit/4)
	defer cancel()
	current, err := op.GetConfiguration(ctx, connect.NewRequest(&filberthookv1.GetConfigurationRequest{}))
	if err != nil {
		return err
	}
	revision := current.Msg.GetConfiguration().GetRevision()
	applied, err := op.Apply(ctx, connect.NewRequest(&filberthookv1.ApplyRequest{
		ChangeId: id, ExpectedRevision: &revision, Changes: changes,
	}))
	if err == nil {
		c.recordRevision(applied.Msg.GetRevision())
	}
	return err
}

// recordRevision keeps the highest revision reported to an operator.
func (c *Cluster) recordRevision(revision uint64) {
	for {
		old := c.revision.Load()
		if revision <= old || c.revision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// Revision returns the newest revision that was applied.
func (c *Cluster) Revision() uint64 { return c.revision.Load() }

// Replicas returns the peer addresses of all control replicas.
func (c *Cluster) Replicas() []string {
	var out []string
	for _, h := range c.deployment.Controls {
		out = append(out, h.Peers)
	}
	return out
}

// clusterEntry is one entry host behind a relay.
type clusterEntry struct {
	host    *deployment.EntryHost
	relay   *faultnet.Relay
	control []*faultnet.Relay
}

// Zone implements Entry.
func (e *clusterEntry) Zone() string { return e.host.Zone }

// Callers implements Entry.
func (e *clusterEntry) Callers() string { return e.relay.Address() }

// Network implements Entry.
func (e *clusterEntry) Network() EntryNetwork {
	return EntryNetwork{Callers: e.relay, Control: e.control}
}

// Announce implements Entry.
func (e *clusterEntry) Announce() string { return e.host.Announce }

// Kill implements Entry. Callers lose their connections at once and see nothing of
// what the host does afterwards.
func (e *clusterEntry) Kill() {
	e.relay.Down()
	_ = e.host.Stop()
}

// Stop implements Entry.
func (e *clusterEntry) Stop(context.Context) error {
	err := e.host.Stop()
	e.relay.Down()
	return err
}

// Start implements Entry.
func (e *clusterEntry) Start() error {
	err := e.host.Start()
	e.relay.Up()
	return err
}

// clusterControl is one control replica.
type clusterControl struct{ host *deployment.ControlHost }

// Kill implements Control. The replica stops without finishing pending requests; its
// data folder stays.
func (c clusterControl) Kill() { _ = c.host.Stop() }

// Start implements Control.
func (c clusterControl) Start() error { return c.host.Start() }

// Entries returns the caller addresses of all entry hosts, bypassing the relays.
func (c *Cluster) Entries() []string {
	var out []string
	for _, e := range c.deployment.Entries {
		out = append(out, e.Callers)
	}
	return out
}
