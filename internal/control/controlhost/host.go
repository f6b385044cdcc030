// Package controlhost runs a control host that finds its group from seeds. It holds a
// replica of the configuration and the registry of the instances that send their
// heartbeats here, and serves the watch calls by which entry hosts follow both. It also
// exchanges load and cache updates between entry hosts.
package controlhost

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/controlwatch"
	"filberthook/internal/control/formation"
	"filberthook/internal/control/stagereconciler"
	"filberthook/internal/control/usagereport"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/boottime"
	"filberthook/internal/process/loglimit"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/raftnet"
)

// Timing of the host.
const (
	// expireInterval is how often the registry is checked for silent instances.
	expireInterval = 300 * time.Millisecond
	// deliveryTimeout bounds how long the answer to an instance that leaves is delayed
	// until all entry hosts know. Instances wait a second for the answer.
	deliveryTimeout = 600 * time.Millisecond
	// proposeTimeout bounds an operator's change. It is longer than the second after
	// which operators try another host.
	proposeTimeout = 2500 * time.Millisecond
	// transferRate is the rate in bytes per second at which a large document is at least
	// replicated: half of a core encodes and decodes about 4 MB/s, for several replicas.
	transferRate = 1 << 20
	// entryTimeout bounds how long a log entry waits for a quorum before the same version
	// may be appended to the log again.
	entryTimeout = 10 * time.Second
	// readTimeout bounds an operator's read. It is shorter than the second after which
	// operators try another host.
	readTimeout = 900 * time.Millisecond
	// maxWatchWait bounds how long an answer to a watch call is delayed.
	maxWatchWait = 2 * time.Second
	// watchBatch is how long changes are collected for one answer to a watch call: when a
	// fleet starts, each instance announces itself to hosts that all watch.
	watchBatch = 25 * time.Millisecond
	// stopTimeout bounds the wait for operators' calls to end at shutdown.
	stopTimeout = 1500 * time.Millisecond
)

// Service is what a control host does for operators and endpoint instances.
type Service interface {
	// Announce records a heartbeat. When the instance leaves, it returns once the entry
	// hosts know, or after a timeout. It returns an *instances.InvalidError for what no
	// instance can announce.
	Announce(ctx context.Context, in instances.Instance) error
	// Leave records that an instance has ended; born may be 0 when it is not known. It returns
	// an *instances.InvalidError for an id or a start that no instance can have.
	Leave(ctx context.Context, id string, born int64) error
	// Replace puts a valid configuration into force unless one with the same or a
	// higher version already is. It returns an *UnavailableError when the outcome is
	// unknown.
	Replace(ctx context.Context, d document.Document) error
	// Read returns the newest configuration, or an *UnavailableError when no quorum
	// confirms which that is.
	Read(ctx context.Context) (document.Document, error)
}

// Host is one control host.
type Host struct {
	settings Settings
	logger   *slog.Logger
	metrics  *metrics.Set
	peerPort uint16
	epoch    string // identifies this run of the process to watching hosts
	handler  func(Service) http.Handler
	engines  stagereconciler.Engines // nil if this host gives no orders
	duties   duties
	usage    *usagereport.Collector

	membership *membership
	view       *instances.View // merged from all control hosts: each gets a part of the heartbeats
	watcher    *controlwatch.Watcher
	joins      joins
	leaves     *leaves
	registry   *instances.Registry
	watchers   *watchers
	loads      *loads
	proposing  singleflight.Group // proposals by replica, term and version
	rpc        *raftnet.Pool      // calls to other control hosts
	raftRPC    *raftnet.Pool      // messages of the replicated log
	digestRPC  *raftnet.Pool      // load digests, which may be large
	bulkRPC    *raftnet.Pool      // proposals of large documents, which would delay other calls
	transport  *raftnet.Transport
	seedList   atomic.Pointer[[]string]
	quorum     quorumState
	former     atomic.Pointer[[]uint64] // ids of the members of the group that this host's has replaced, nil for none
	expelLines loglimit.Limiter
	copies     wordCopies
	capacity   *capacity // nil if this host orders no instances
	confirms   *sharedReads

	mu      sync.Mutex
	version uint64        // highest version that came into force here
	body    []byte        // of that version
	changed chan struct{} // closed when version changes

	packMu sync.Mutex      // guards packed; separate from mu, which must stay free during packing
	packed document.Packed // configuration that entry hosts requested last

	proposals  *metrics.Histogram
	heartbeats *metrics.Counter
}

// New returns a Host that serves operators and instances with the handler and sends
// orders through engines, unless that is nil.
func New(s Settings, handler func(Service) http.Handler, engines stagereconciler.Engines, logger *slog.Logger, set *metrics.Set) (*Host, error) {
	at, err := netip.ParseAddrPort(s.Listen.peersAddress())
	if err != nil {
		return nil, fmt.Errorf("listen.peers: %w", err)
	}
	h := &Host{
		settings: s,
		logger:   logger.With("host", s.Host, "zone", s.Zone),
		metrics:  set,
		peerPort: at.Port(),
		epoch:    s.Host + "/" + strconv.FormatInt(time.Now().UnixNano(), 36),
		handler:  handler,
		engines:  engines,
		joins:    joins{pending: map[string]controlapi.JoinRequest{}},
		leaves:   newLeaves(),
		registry: instances.NewRegistry(s.Heartbeat.Duration),
		watchers: newWatchers(time.Now()),
		changed:  make(chan struct{}),
	}
	h.loads = newLoads(h.epoch)
	h.confirms = &sharedReads{now: boottime.Now, read: h.confirmedNewest}
	h.usage = usagereport.NewCollector(h.epoch, usagereport.Windows{Length: s.Usage.Window.Duration, Late: s.Usage.Late.Duration})
	h.seedList.Store(&s.Seeds)
	h.membership = &membership{host: h, fs: fsys.OS{}, snapshotBytes: defaultSnapshotBytes}
	h.rpc = raftnet.NewPool(h.peerOptions())
	h.raftRPC = raftnet.NewPool(h.peerOptions())
	h.digestRPC = raftnet.NewPool(h.peerOptions())
	h.bulkRPC = raftnet.NewPool(h.peerOptions())
	h.view = instances.NewView(s.Heartbeat.Duration)
	h.watcher = controlwatch.NewObserver(h.rpc, h.view, replicatedConfiguration{}, h.logger)
	h.watcher.OnReached(h.quorum.heardFrom)
	h.proposals = set.GetOrCreateHistogram("filberthook_control_replace_seconds")
	h.heartbeats = set.GetOrCreateCounter("filberthook_control_heartbeats_total")
	set.GetOrCreateGauge("filberthook_control_quorum", h.quorumGauge)
	set.GetOrCreateGauge("filberthook_control_config_version", func() float64 { return float64(h.currentVersion()) })
	return h, nil
}

func (h *Host) peerOptions() peer.Options {
	self := peer.Identity{Host: h.settings.Host, Zone: h.settings.Zone}
	return controlapi.PeerOptions(self, h.settings.TrustedNetwork, h.metrics, h.logger)
}

// SetSeeds replaces the seeds.
func (h *Host) SetSeeds(seeds []string) {
	h.seedList.Store(&seeds)
	h.logger.Info("seeds replaced", "seeds", seeds)
}

func (h *Host) seeds() []string { return *h.seedList.Load() }

// peers returns the peer addresses of the seeds' hosts.
func (h *Host) peers() []string { return formation.PeerAddresses(h.seeds(), h.peerPort) }

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", h.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	control, err := net.Listen("tcp", h.settings.Listen.Control)
	if err != nil {
		peers.Close()
		return fmt.Errorf("listen.control: %w", err)
	}
	if h.settings.TrustedNetwork {
		h.logger.Warn("plaintext between hosts: trusted_network is set", "peers", h.settings.Listen.Peers)
	}
	background, stop := context.WithCancel(context.Background())
	defer func() { h.transport.Wait() }() // last, so that nothing is sent after the host has stopped
	defer stop()
	h.transport = raftnet.NewTransport(background, h.raftRPC, h.membership.addressOf, h.metrics)
	h.transport.OnUnsent(h.membership.unsent)
	defer h.rpc.Close()
	defer h.raftRPC.Close()
	defer h.digestRPC.Close()
	defer h.bulkRPC.Close()
	h.logger.Info("control host started", "control", h.settings.Listen.Control, "peers", h.settings.Listen.Peers,
		"seeds", h.seeds(), "bootstrap", h.settings.Bootstrap, "epoch", h.epoch)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		defer stop() // peers are served until the replica has transferred leadership
		return h.membership.run(ctx)
	})
	tasks.Go(func() error { return peer.NewServer(h.peerOptions(), h.mux()).Serve(background, peers) })
	tasks.Go(func() error { return h.serveControl(ctx, control) })
	tasks.Go(func() error { h.adjustMembership(ctx); return nil })
	tasks.Go(func() error { h.watchQuorum(ctx); return nil })
	tasks.Go(func() error { h.expelFormer(ctx); return nil })
	tasks.Go(func() error { h.expireInstances(ctx); return nil })
	tasks.Go(func() error { h.shareLoads(ctx); return nil })
	tasks.Go(func() error { h.watcher.Run(ctx, h.peers); return nil })
	if h.engines != nil {
		tasks.Go(func() error { h.reconcileStages(ctx); return nil })
	}
	h.runDuties(ctx, tasks)
	if h.capacity != nil && h.duties.set.Instances {
		tasks.Go(func() error { h.reconcileCapacity(ctx); return nil })
	}
	err = tasks.Wait()
	h.logger.Info("control host stopped", "err", err)
	return err
}

func (h *Host) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, raftnet.Method, func(_ context.Context, _ peer.Identity, batch raftnet.Batch) (struct{}, error) {
		return struct{}{}, h.receive(batch)
	})
	peer.Handle(m, controlapi.MethodWatch, func(ctx context.Context, from peer.Identity, req controlapi.WatchRequest) (controlapi.WatchResponse, error) {
		return h.serveWatch(ctx, from.Host, req)
	})
	peer.Handle(m, controlapi.MethodDocument, func(ctx context.Context, _ peer.Identity, req controlapi.DocumentRequest) (controlapi.DocumentResponse, error) {
		return h.serveDocument(ctx, req)
	})
	peer.Handle(m, controlapi.MethodPropose, func(ctx context.Context, _ peer.Identity, d document.Document) (controlapi.ProposeResponse, error) {
		p, err := newProposal(d)
		if err != nil {
			return controlapi.ProposeResponse{}, err
		}
		return h.serveProposal(ctx, p)
	})
	peer.Handle(m, controlapi.MethodProposePacked, func(ctx context.Context, _ peer.Identity, p document.Packed) (controlapi.ProposeResponse, error) {
		return h.serveProposal(ctx, proposal{version: p.Version, command: p.Encode()})
	})
	h.handleMembership(m)
	peer.Handle(m, controlapi.MethodLoad, func(_ context.Context, from peer.Identity, report controlapi.LoadReport) (controlapi.LoadReport, error) {
		return h.loads.exchange(from.Host, report, time.Now()), nil
	})
	peer.Handle(m, controlapi.MethodProbe, func(ctx context.Context, from peer.Identity, p quarantine.Probe) (controlapi.ProbeResponse, error) {
		return h.grantProbe(ctx, from.Host, p), nil
	})
	peer.Handle(m, controlapi.MethodBlocks, func(ctx context.Context, from peer.Identity, req controlapi.BlocksRequest) (controlapi.BlocksResponse, error) {
		return h.serveBlocks(ctx, from, req)
	})
	if h.reportsUsage() {
		peer.Handle(m, controlapi.MethodUsage, h.serveUsage)
	}
	peer.Handle(m, controlapi.MethodDigest, func(_ context.Context, from peer.Identity, digest controlapi.LoadReport) (controlapi.LoadReport, error) {
		h.loads.receiveDigest(from.Host, digest, time.Now())
		return controlapi.LoadReport{UpdatesEpoch: h.epoch}, nil
	})
	return m
}

// configurationChanged stores a document that came into force at this replica and wakes
// the watch calls.
func (h *Host) configurationChanged(d document.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Version <= h.version {
		return
	}
	h.version, h.body = d.Version, d.Body
	close(h.changed)
	h.changed = make(chan struct{})
	h.logger.Info("configuration in force", "version", d.Version, "bytes", len(d.Body))
}

func (h *Host) currentVersion() uint64 {
	version, _ := h.versionAndChange()
	return version
}

func (h *Host) versionAndChange() (uint64, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.changed
}

// watch returns once something has changed since the last answer to the calling host, or
// without changes after the wait that the host asks for. A host whose last answer came
// from another run of this process gets all instances at once.
func (h *Host) watch(ctx context.Context, from string, req controlapi.WatchRequest) controlapi.WatchResponse {
	position := req.Position
	if req.Epoch != h.epoch {
		position = 0
	}
	timer := time.NewTimer(min(time.Duration(req.WaitMS)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	hosts := 0
	if !req.Observer {
		hosts = h.watchers.recordRequest(from, position, time.Now())
	}
	for waiting := true; ; {
		changes, reached, changed := h.registry.Since(position, req.PageBytes)
		version, newVersion := h.versionAndChange()
		if len(changes) > 0 || version > req.Version || req.Epoch != h.epoch || !waiting {
			return controlapi.WatchResponse{
				Epoch: h.epoch, Position: reached, Changes: changes,
				Version: version, Peers: h.membership.addresses(), Hosts: hosts, Leader: h.membership.leader(), Zone: h.settings.Zone,
			}
		}
		select {
		case <-changed:
			pause.For(ctx, watchBatch)
		case <-newVersion:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// Announce implements Service.
func (h *Host) Announce(ctx context.Context, in instances.Instance) error {
	h.heartbeats.Inc()
	if err := in.Validate(time.Now()); err != nil {
		return err
	}
	if err := h.registry.MakeRoom(in.ID); err != nil {
		return err
	}
	position, changed := h.registry.Observe(in, time.Now())
	if !changed {
		return nil
	}
	h.logger.Info("instance changed", "instance", in.ID, "born", in.Born, "sequence", in.Sequence, "endpoint", in.Endpoint,
		"address", in.Address, "instance_zone", in.Zone, "state", in.State.String(), "stage", in.Stage.String())
	if in.State != instances.Ready {
		h.awaitDelivery(ctx, in.ID, position)
	}
	return nil
}

// Leave implements Service.
func (h *Host) Leave(ctx context.Context, id string, born int64) error {
	if err := errors.Join(instances.ValidateID(id), instances.ValidateStart(born, time.Now())); err != nil {
		return err
	}
	if err := h.registry.MakeRoom(id); err != nil {
		return err
	}
	position, changed := h.registry.Leave(id, born, time.Now())
	if changed {
		h.logger.Info("instance changed", "instance", id, "born", born, "state", instances.Gone.String())
		h.awaitDelivery(ctx, id, position)
	}
	return nil
}

// Replace implements Service.
func (h *Host) Replace(ctx context.Context, d document.Document) error {
	start := time.Now()
	p, err := newProposal(d)
	if err != nil {
		return fmt.Errorf("configuration %d not packed: %w", d.Version, err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout+p.transferTime())
	defer cancel()
	version, err := h.propose(ctx, p)
	h.proposals.UpdateDuration(start)
	h.logger.Info("configuration proposed", "version", d.Version, "in_force", version, "bytes", len(d.Body),
		"ms", time.Since(start).Milliseconds(), "err", err)
	return err
}

// Read implements Service.
func (h *Host) Read(ctx context.Context) (document.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	d, err := h.membership.linearizableRead(ctx)
	if err == nil && d.Version == 0 {
		err = &UnavailableError{errors.New("no configuration was accepted yet")}
	}
	return d, err
}
