package slopes

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"filberthook/internal/bench/faultrun"
	"filberthook/internal/bench/standin"
)

// instanceSettle is the time between starting the instances and measuring.
const instanceSettle = 2 * time.Second

// Instances measures instances of a plain service that announce themselves to
// one entry host, including the cost of that host.
func Instances(ctx context.Context, sizes []int, length time.Duration) (Series, error) {
	s := Series{Name: fmt.Sprintf("instances that announce themselves to one entry host every %s, both ends", standin.DefaultAnnounceEvery), Unit: "instance"}
	for _, size := range sizes {
		sample, err := measureInstances(ctx, size, length)
		if err != nil {
			return s, fmt.Errorf("%d instances: %w", size, err)
		}
		s.Samples = append(s.Samples, sample)
	}
	return s, nil
}

func measureInstances(ctx context.Context, size int, length time.Duration) (sample Sample, err error) {
	dir, err := os.MkdirTemp("", "filberthook-slopes-")
	if err != nil {
		return sample, err
	}
	defer os.RemoveAll(dir)
	cluster, err := faultrun.StartCluster(ctx, faultrun.ClusterConfig{
		Dir: dir, Zones: []string{"z1"}, Controls: 1, EntriesPerZone: 1, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return sample, err
	}
	defer func() { err = errors.Join(err, cluster.Close()) }()
	return measureAnnouncements(ctx, cluster.System(), size, length)
}

func measureAnnouncements(ctx context.Context, sys faultrun.System, size int, length time.Duration) (Sample, error) {
	base := newBaseline()
	running, stop := context.WithCancel(ctx)
	var group errgroup.Group
	defer func() {
		stop()
		_ = group.Wait()
	}()
	for i := range size {
		id := standin.Identity{
			Instance: fmt.Sprintf("worker-%d", i),
			Endpoint: sys.Service,
			Zone:     "z1",
			Address:  fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Entries:  []string{sys.Entries[0].Announce()},
		}
		service, err := standin.NewService(standin.ServiceConfig{Identity: id}, metrics.NewSet(), slog.New(slog.DiscardHandler))
		if err != nil {
			return Sample{}, err
		}
		group.Go(func() error { return service.Run(running) })
	}
	time.Sleep(instanceSettle)
	return base.measure(size, length, nil)
}
