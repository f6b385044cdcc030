package distribution

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/fleet"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/invariant"
	"filberthook/internal/process/saturate"
)

// Timing of retries and of the start without a stored configuration.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 2 * time.Second
	// coldStartTimeout is how long a host without a configuration waits for a replica
	// that can confirm its revision before it uses an unconfirmed one.
	coldStartTimeout = 5 * time.Second
)

// Caller calls one replica. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, method string, params, result any) error
	Address() string
}

// Settings are the settings of a Client.
type Settings struct {
	Replicas []Caller              // replicas of the control group
	Dir      string                // data folder; empty stores nothing on disk
	Clock    Clock                 // nil for the process's monotonic clock
	Random   func() float64        // in [0,1), for jitter; nil for math/rand
	Engines  func() []EngineReport // report of the zone's engines, nil when this host is not its planner
	// OnReplicas is called with the control group's addresses when they have changed
	// since its last call; it may be nil.
	OnReplicas func(addresses []string)
	Logger     *slog.Logger
	Metrics    *metrics.Set
}

// Status is the state of a host's configuration.
type Status struct {
	Revision uint64
	Age      time.Duration // since a replica last confirmed that no newer revision is committed
	Known    bool          // Age is set
	Replica  string        // address of the replica that is watched
	Stored   bool          // the revision in force is on disk, or no folder is set
}

// Client keeps a host's configuration up to date. Its methods are safe for
// concurrent use; Run may be called once.
type Client struct {
	settings Settings
	store    Store
	onChange func(*fleet.Snapshot) // called with each snapshot in force; may be nil
	metrics  clientMetrics

	snapshot    atomic.Pointer[fleet.Snapshot] // never nil; only moves to higher revisions
	stored      atomic.Bool
	confirmedAt atomic.Int64 // Clock reading, or neverConfirmed
	watched     atomic.Pointer[string]

	// The fields below belong to the goroutine of Run.
	replicaIndex        int    // replica in use
	addressesHash       uint64 // hash of the addresses reported last; 0 without OnReplicas
	needFull            bool
	consecutiveFailures int // failed watches in a row
	startedAt           time.Duration
	reported            bool // a report of engines was sent, at reportedAt
	reportedAt          time.Duration
}

const neverConfirmed = -1

type clientMetrics struct {
	updates, switches, behind, stale, callErrors, storeErrors *metrics.Counter
}

// NewClient returns a client that starts from the stored configuration. It
// calls onChange, if given, with each snapshot in force, the stored one
// included, from the goroutine of Run.
func NewClient(settings Settings, onChange func(*fleet.Snapshot)) (*Client, error) {
	if len(settings.Replicas) == 0 {
		return nil, errors.New("no replica of the control group is set; list at least one address")
	}
	c := &Client{settings: settings.withDefaults(), store: NewStore(settings.Dir), onChange: onChange}
	c.metrics = newClientMetrics(c.settings.Metrics, c)
	c.confirmedAt.Store(neverConfirmed)
	c.replicaIndex = int(c.settings.Random() * float64(len(settings.Replicas)))
	snapshot, err := c.store.Load()
	if err != nil {
		return nil, err
	}
	if snapshot == nil {
		snapshot = fleet.NewSnapshot(fleet.Configuration{})
	}
	c.snapshot.Store(snapshot)
	c.stored.Store(true)
	if settings.OnReplicas != nil {
		c.addressesHash = unknownAddressesHash
	}
	return c, nil
}

// unknownAddressesHash stands for the hash of addresses before any were received.
const unknownAddressesHash = 1

func (s Settings) withDefaults() Settings {
	if s.Clock == nil {
		start := time.Now()
		s.Clock = func() time.Duration { return time.Since(start) }
	}
	if s.Random == nil {
		s.Random = rand.Float64
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewSet()
	}
	return s
}

func newClientMetrics(set *metrics.Set, c *Client) clientMetrics {
	retries := func(reason string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`filberthook_configuration_retries_total{reason=%q}`, reason))
	}
	set.GetOrCreateGauge("filberthook_configuration_revision", func() float64 { return float64(c.Snapshot().Revision) })
	created := c.settings.Clock()
	set.GetOrCreateGauge("filberthook_configuration_age_seconds", func() float64 {
		status := c.Status()
		if !status.Known {
			return (c.settings.Clock() - created).Seconds()
		}
		return status.Age.Seconds()
	})
	return clientMetrics{
		updates:     set.GetOrCreateCounter("filberthook_configuration_updates_total"),
		switches:    set.GetOrCreateCounter("filberthook_configuration_replica_switches_total"),
		storeErrors: set.GetOrCreateCounter("filberthook_configuration_store_errors_total"),
		behind:      retries("replica_behind"),
		stale:       retries("replica_stale"),
		callErrors:  retries("call_failed"),
	}
}

// Snapshot returns the configuration in force. It is never nil; revision 0
// means that the host has none yet.
func (c *Client) Snapshot() *fleet.Snapshot { return c.snapshot.Load() }

// Status returns the state of the host's configuration.
func (c *Client) Status() Status {
	s := Status{Revision: c.Snapshot().Revision, Stored: c.stored.Load()}
	if at := c.confirmedAt.Load(); at != neverConfirmed {
		s.Known = true
		s.Age = c.settings.Clock() - time.Duration(at)
	}
	if address := c.watched.Load(); address != nil {
		s.Replica = *address
	}
	return s
}

// Run watches the control group until ctx ends, and returns nil then.
func (c *Client) Run(ctx context.Context) error {
	c.startedAt = c.settings.Clock()
	if c.onChange != nil && c.Snapshot().Revision > 0 {
		c.onChange(c.Snapshot())
	}
	for ctx.Err() == nil {
		c.step(ctx)
	}
	return nil
}

// step makes one watch call and applies the response.
func (c *Client) step(ctx context.Context) {
	replica := c.settings.Replicas[c.replicaIndex]
	address := replica.Address()
	c.watched.Store(&address)
	requestedAt := c.settings.Clock()
	resp, err := c.watch(ctx, replica)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = c.applyResponse(requestedAt, resp)
	}
	if err == nil {
		c.consecutiveFailures = 0
		return
	}
	c.settings.Logger.Warn("watch failed, trying another replica", "replica", address, "err", err)
	c.switchReplica(ctx)
}

func (c *Client) watch(ctx context.Context, replica Caller) (WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+WatchGrace)
	defer cancel()
	have := c.Snapshot().Revision
	req := WatchRequest{
		Have:       have,
		Full:       c.needFull,
		Confirm:    have == 0 && c.confirmedAt.Load() == neverConfirmed,
		WaitMillis: WatchWait.Milliseconds(),
		Replicas:   c.addressesHash,
	}
	req.Engines = c.engineReport()
	var resp WatchResponse
	err := replica.Call(ctx, MethodWatch, req, &resp)
	if err != nil {
		c.metrics.callErrors.Inc()
	}
	return resp, err
}

// engineReport returns the report of engines if one is due, nil otherwise.
func (c *Client) engineReport() []EngineReport {
	now := c.settings.Clock()
	if c.settings.Engines == nil || (c.reported && now-c.reportedAt < EngineReportInterval) {
		return nil
	}
	c.reported = true
	c.reportedAt = now
	return c.settings.Engines()
}

// errBehind and errStale make the client try another replica.
var (
	errBehind = errors.New("the replica is older than this host; another one may be newer")
	errStale  = errors.New("the replica cannot reach the leader; another one may")
)

// applyResponse puts the configuration of a response in force if it is newer.
func (c *Client) applyResponse(requestedAt time.Duration, resp WatchResponse) error {
	if resp.Behind {
		c.metrics.behind.Inc()
		return errBehind
	}
	if resp.Stale && c.mustConfirm() {
		c.metrics.stale.Inc()
		return errStale
	}
	snapshot, err := nextSnapshot(c.Snapshot(), resp)
	if err != nil {
		c.needFull = true
		return err
	}
	c.needFull = false
	c.putInForce(snapshot)
	if resp.Stale {
		c.metrics.stale.Inc()
		return errStale
	}
	c.confirmedAt.Store(int64(requestedAt))
	c.reportReplicas(resp.Replicas)
	return nil
}

// reportReplicas passes the control group's addresses to OnReplicas. They come from
// a replica that has confirmed its revision.
func (c *Client) reportReplicas(addresses []string) {
	if len(addresses) == 0 || c.settings.OnReplicas == nil {
		return
	}
	c.addressesHash = hashAddresses(addresses)
	c.settings.OnReplicas(addresses)
}

// mustConfirm reports whether an unconfirmed response is refused: a host without a
// configuration may have had a newer one before its restart.
func (c *Client) mustConfirm() bool {
	return c.Snapshot().Revision == 0 && c.settings.Clock()-c.startedAt < coldStartTimeout
}

// putInForce stores a newer snapshot and puts it in force. It is stored first, so
// that a restart does not return to an older revision. After a disk error it comes
// into force all the same, so that a withdrawn approval takes effect at once.
func (c *Client) putInForce(snapshot *fleet.Snapshot) {
	current := c.Snapshot()
	if snapshot.Revision == current.Revision {
		c.retrySave(current)
		return
	}
	invariant.Check(snapshot.Revision > current.Revision, "revision-grows",
		"this host would go from revision %d to %d", current.Revision, snapshot.Revision)
	c.save(snapshot)
	c.snapshot.Store(snapshot)
	c.metrics.updates.Inc()
	if c.onChange != nil {
		c.onChange(snapshot)
	}
}

func (c *Client) retrySave(snapshot *fleet.Snapshot) {
	if !c.stored.Load() {
		c.save(snapshot)
	}
}

func (c *Client) save(snapshot *fleet.Snapshot) {
	err := c.store.Save(snapshot)
	c.stored.Store(err == nil)
	if err != nil {
		c.metrics.storeErrors.Inc()
		c.settings.Logger.Error("configuration not stored; free the disk or correct the data folder",
			"revision", snapshot.Revision, "err", err)
	}
}

// switchReplica switches to the next replica after a backoff with jitter.
func (c *Client) switchReplica(ctx context.Context) {
	c.metrics.switches.Inc()
	c.replicaIndex = (c.replicaIndex + 1) % len(c.settings.Replicas)
	c.consecutiveFailures++
	rounds := min(c.consecutiveFailures/len(c.settings.Replicas), 10)
	limit := min(retryMin<<rounds, retryMax)
	pause := saturate.Nanoseconds((0.5 + 0.5*c.settings.Random()) * float64(limit))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Compile-time check of the interface.
var _ Caller = (*peer.Client)(nil)
