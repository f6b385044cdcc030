// Package controlnode assembles one control daemon: a replica of the replicated state,
// the operators' service and the distribution of the configuration.
package controlnode

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"filberthook/internal/control/distribution"
	"filberthook/internal/control/keys"
	"filberthook/internal/control/lease"
	"filberthook/internal/control/operator"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/buildinfo"
	"filberthook/internal/process/settings"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/replication/replica"
	"filberthook/internal/replication/statemachine"
)

// Timing of the node.
const (
	// shutdownTimeout is longer than the 5 s after which net/http closes connections that
	// have never sent a request.
	shutdownTimeout = 8 * time.Second
	transferTimeout = 2 * time.Second
	sweepInterval   = time.Second
)

// replicaFolder holds the replicated log within the data folder.
const replicaFolder = "replica"

// Node is one control daemon.
type Node struct {
	settings settings.Control
	logger   *slog.Logger
	metrics  *metrics.Set
	keys     *keys.Source // nil for plaintext on loopback

	machine  *statemachine.Machine
	claims   *claims
	hub      *distribution.Hub
	gate     *lease.Gate
	registry *distribution.Registry
	replica  *replica.Replica
	group    *group
	raft     *raftnet.Transport
	rpc      *raftnet.Pool // calls to other replicas
	raftRPC  *raftnet.Pool // messages of the replicated log
	mux      *peer.Mux

	raftContext context.Context // ends with the replica
	stopRaft    context.CancelFunc
	listeners   listeners
}

// listeners holds the open listeners; a nil one is not open yet.
type listeners struct{ peers, operators, status net.Listener }

func (l listeners) close() {
	for _, ln := range []net.Listener{l.peers, l.operators, l.status} {
		if ln != nil {
			ln.Close()
		}
	}
}

// New opens the data folder and the listeners. Run must be called next.
func New(s settings.Control, logger *slog.Logger, set *metrics.Set) (*Node, error) {
	n := &Node{settings: s, logger: logger.With("host", s.Host, "zone", s.Zone), metrics: set}
	buildinfo.Register(set)
	if err := n.openKeys(); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.buildState()
	if err := n.openReplica(); err != nil {
		n.listeners.close()
		return nil, err
	}
	n.buildCalls()
	return n, nil
}

func (n *Node) openKeys() error {
	if !n.settings.TLS.Enabled() {
		return nil
	}
	files := keys.Files{CA: n.settings.TLS.CA, Certificate: n.settings.TLS.Certificate, Key: n.settings.TLS.Key}
	source, err := keys.Open(files, n.logger, n.metrics)
	if err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	n.keys = source
	return nil
}

func (n *Node) peerOptions() peer.Options {
	options := peer.Options{
		Self:    peer.Identity{Host: n.settings.Host, Zone: n.settings.Zone},
		Metrics: n.metrics,
		Logger:  n.logger,
	}
	if n.keys != nil {
		options.TLS = n.keys.Config()
	}
	return options
}

func (n *Node) buildState() {
	n.rpc = raftnet.NewPool(n.peerOptions())
	n.raftRPC = raftnet.NewPool(n.peerOptions())
	n.claims = newClaims()
	n.group = &group{
		clock:     newClock(),
		clients:   n.rpc,
		bootstrap: fleet.KeyHash(n.settings.Operators.BootstrapKeySHA256),
		retries:   n.metrics.GetOrCreateCounter(`filberthook_control_proposal_retries_total{reason="no_leader"}`),
	}
	n.hub = distribution.NewHub(n.group.clock.elapsed, n.group, n.logger)
	n.registry = distribution.NewRegistry(n.group.clock.elapsed, n.settings.Host)
	n.gate = lease.NewGate()
	n.machine = statemachine.New(&observer{Hub: n.hub, gate: n.gate, clock: n.group.clock}, n.claims)
	n.group.state = n.machine
}

func (n *Node) openReplica() error {
	n.raftContext, n.stopRaft = context.WithCancel(context.Background())
	n.raft = raftnet.NewTransport(n.raftContext, n.raftRPC, n.memberAddress, n.metrics)
	config := replica.Config{
		ID:      n.settings.Replica.ID,
		Dir:     filepath.Join(n.settings.DataDir, replicaFolder),
		Metrics: n.metrics,
		Logger:  n.logger,
	}
	if !n.settings.Replica.Join {
		for _, m := range n.settings.Replica.Members {
			config.Members = append(config.Members, replica.Member{ID: m.ID, Address: m.Address, Zone: m.Zone})
		}
	}
	r, err := replica.Open(config, n.machine, n.raft)
	if err != nil {
		n.stopRaft()
		return err
	}
	n.replica = r
	n.raft.OnUnsent(r.Unsent)
	n.group.log = r
	return nil
}

// memberAddresses returns the addresses of the replicas, learners included.
func (n *Node) memberAddresses() []string {
	var out []string
	for _, m := range n.replica.Status().Members {
		out = append(out, m.Address)
	}
	return out
}

// memberAddress returns the address of a replica from the replicated membership or,
// before that is known, from the settings.
func (n *Node) memberAddress(id uint64) string {
	for _, m := range n.replica.Status().Members {
		if m.ID == id {
			return m.Address
		}
	}
	for _, m := range n.settings.Replica.Members {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}

func (n *Node) listen() error {
	var err error
	if n.listeners.peers, err = net.Listen("tcp", n.settings.Listen.Peers); err != nil {
		return n.listenError("listen.peers", err)
	}
	if n.listeners.operators, err = n.listenOperators(); err != nil {
		return n.listenError("listen.operators", err)
	}
	if n.listeners.status, err = net.Listen("tcp", n.settings.Listen.Status); err != nil {
		return n.listenError("listen.status", err)
	}
	return nil
}

func (n *Node) listenError(key string, err error) error {
	n.listeners.close()
	return fmt.Errorf("%s: %w; choose a free address of this host, or stop the process that uses it", key, err)
}

func (n *Node) listenOperators() (net.Listener, error) {
	ln, err := net.Listen("tcp", n.settings.Listen.Operators)
	if err != nil || n.keys == nil {
		return ln, err
	}
	return tls.NewListener(ln, n.keys.ServerConfig()), nil
}

// Run serves until ctx ends, then transfers leadership and stops. It returns nil after a
// graceful stop.
func (n *Node) Run(ctx context.Context) error {
	defer n.rpc.Close()
	defer n.raftRPC.Close()
	defer n.stopRaft()
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return n.runReplica(ctx) })
	tasks.Go(func() error { return peer.NewServer(n.peerOptions(), n.mux).Serve(n.raftContext, n.listeners.peers) })
	tasks.Go(func() error { return n.serveHTTP(ctx, n.listeners.operators, n.operatorHandler()) })
	tasks.Go(func() error { return n.serveHTTP(ctx, n.listeners.status, n.statusHandler()) })
	tasks.Go(func() error { distribution.RunConfirmations(ctx, n.hub); return nil })
	tasks.Go(func() error { n.sweepClaims(ctx); return nil })
	if n.keys != nil {
		tasks.Go(func() error { return n.keys.Run(ctx) })
	}
	n.logger.Info("control replica started", "id", n.settings.Replica.ID, "revision", n.machine.Configuration().Revision,
		"peers", n.settings.Listen.Peers, "operators", n.settings.Listen.Operators)
	err := tasks.Wait()
	n.logger.Info("control replica stopped", "err", err)
	return err
}

// runReplica runs the replica a little longer than ctx, so that a leader can transfer
// leadership.
func (n *Node) runReplica(ctx context.Context) error {
	defer n.raft.Wait()
	defer n.stopRaft()
	stopped := make(chan error, 1)
	go func() { stopped <- n.replica.Run(n.raftContext) }()
	select {
	case err := <-stopped:
		if err == nil {
			err = errors.New("the replica stopped by itself")
		}
		return fmt.Errorf("replica: %w", err)
	case <-ctx.Done():
	}
	n.replica.TransferLeadershipToAny(transferTimeout)
	n.stopRaft()
	return <-stopped
}

// emptyBatch is an encoded claim.Batch without commands.
var emptyBatch = []byte(`{"commands":[]}`)

// sweepClaims proposes empty batches while there are claims and this replica leads. They
// advance the time of the replicated log, by which claims expire.
func (n *Node) sweepClaims(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.claims.count.Load() == 0 || n.replica.Status().Role != replica.RoleLeader {
			continue
		}
		// If a sweep fails, the next one advances the time by as much more.
		_, _ = n.group.proposeHere(ctx, statemachine.Command{Claim: emptyBatch})
	}
}

func (n *Node) operatorHandler() http.Handler {
	s := operator.Settings{
		Replica:   n.settings.Host,
		Bootstrap: n.group.bootstrap,
		Now:       time.Now,
		Logger:    n.logger,
		Metrics:   n.metrics,
	}
	h := &hosts{registry: n.registry, self: n.settings.Replica.ID, log: n.replica, clients: n.rpc}
	mux := http.NewServeMux()
	mux.Handle(operator.Handler(s, n.machine, n.group, h))
	return mux
}
