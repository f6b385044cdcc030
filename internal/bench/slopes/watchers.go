package slopes

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"filberthook/internal/bench/faultnet"
	"filberthook/internal/bench/faultrun"
	"filberthook/internal/bench/loadgen"
	"filberthook/internal/control/distribution"
	"filberthook/internal/network/peer"
)

// Sizes and timing of the watcher measurement.
const (
	watchedReplicas   = 3
	watchedChanges    = 10
	watchPollInterval = time.Millisecond
	watchTimeout      = 30 * time.Second
)

// Watchers measures clients that watch the configuration of a control group, and
// how long a change takes until it is in force at all of them.
func Watchers(ctx context.Context, sizes []int, length time.Duration) (s Series, err error) {
	s = Series{Name: fmt.Sprintf("watchers of the configuration, %d control replicas, both ends", watchedReplicas), Unit: "watcher"}
	dir, err := os.MkdirTemp("", "filberthook-slopes-")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	cluster, err := faultrun.StartCluster(ctx, faultrun.ClusterConfig{
		Dir: dir, Zones: []string{"z1"}, Controls: watchedReplicas, EntriesPerZone: 1, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, cluster.Close()) }()
	for _, size := range sizes {
		w := &watcherGroup{cluster: cluster}
		sample, changes, err := w.run(ctx, size, length)
		if err != nil {
			return s, fmt.Errorf("%d watchers: %w", size, err)
		}
		s.Samples = append(s.Samples, sample)
		s.Notes = append(s.Notes, fmt.Sprintf("%d watchers: a change was asked for and in force at all after %s", size, changes))
	}
	return s, nil
}

// watcherGroup is a set of configuration watchers in this process.
type watcherGroup struct {
	cluster *faultrun.Cluster
	relays  []*faultnet.Relay // one in front of each replica
	peers   []*peer.Client
	clients []*distribution.Client
}

func (w *watcherGroup) run(ctx context.Context, size int, length time.Duration) (Sample, loadgen.Quantiles, error) {
	base := newBaseline()
	running, stop := context.WithCancel(ctx)
	var group errgroup.Group
	defer func() {
		stop()
		_ = group.Wait()
		w.close()
	}()
	if err := w.build(size); err != nil {
		return Sample{}, loadgen.Quantiles{}, err
	}
	for _, c := range w.clients {
		group.Go(func() error { return c.Run(running) })
	}
	if _, err := w.awaitRevision(ctx, w.cluster.Revision()); err != nil {
		return Sample{}, loadgen.Quantiles{}, err
	}
	sample, err := base.measure(size, length, w.relayedBytes)
	if err != nil {
		return sample, loadgen.Quantiles{}, err
	}
	changes, err := w.measureChanges(ctx)
	return sample, changes, err
}

func (w *watcherGroup) build(size int) error {
	for _, address := range w.cluster.Replicas() {
		r, err := faultnet.NewRelay(address)
		if err != nil {
			return err
		}
		w.relays = append(w.relays, r)
	}
	log := slog.New(slog.DiscardHandler)
	for i := range size {
		set := metrics.NewSet()
		opts := peer.Options{Self: peer.Identity{Host: fmt.Sprintf("watcher-%d", i), Zone: "z1"}, Metrics: set, Logger: log}
		var replicas []distribution.Caller
		for _, r := range w.relays {
			c := peer.NewClient(r.Address(), opts)
			w.peers = append(w.peers, c)
			replicas = append(replicas, c)
		}
		c, err := distribution.NewClient(distribution.Settings{Replicas: replicas, Logger: log, Metrics: set}, nil)
		if err != nil {
			return err
		}
		w.clients = append(w.clients, c)
	}
	return nil
}

func (w *watcherGroup) close() {
	for _, p := range w.peers {
		p.Close()
	}
	for _, r := range w.relays {
		_ = r.Close()
	}
}

func (w *watcherGroup) relayedBytes() uint64 {
	var sum uint64
	for _, r := range w.relays {
		there, back := r.Bytes()
		sum += there + back
	}
	return sum
}

// measureChanges makes changes one after another and measures how long each takes
// until it is in force at all watchers.
func (w *watcherGroup) measureChanges(ctx context.Context) (loadgen.Quantiles, error) {
	rng := rand.New(rand.NewPCG(1, 1))
	latencies := loadgen.NewLatencies()
	for range watchedChanges {
		start := time.Now()
		if err := w.cluster.ChangeDeclared(ctx, rng); err != nil {
			return loadgen.Quantiles{}, err
		}
		if _, err := w.awaitRevision(ctx, w.cluster.Revision()); err != nil {
			return loadgen.Quantiles{}, err
		}
		latencies.Add(time.Since(start))
	}
	return latencies.Quantiles(), nil
}

// awaitRevision waits until all watchers have reached a revision.
func (w *watcherGroup) awaitRevision(ctx context.Context, revision uint64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	start := time.Now()
	for i, c := range w.clients {
		for c.Snapshot().Revision < revision {
			if ctx.Err() != nil {
				return 0, fmt.Errorf("watcher %d is at revision %d, not %d, after %s", i, c.Snapshot().Revision, revision, watchTimeout)
			}
			time.Sleep(watchPollInterval)
		}
	}
	return time.Since(start), nil
}
