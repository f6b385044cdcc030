package slopes

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/demand"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/gossip"
	"filberthook/internal/network/membership"
)

// Load and timing of the gossip measurement.
const (
	gossipZones        = 4
	instancesPerHost   = 2 // announced to each host
	announceInterval   = 500 * time.Millisecond
	announceLease      = 3.0 // seconds
	gossipPollInterval = 100 * time.Millisecond
	gossipJoinTimeout  = 60 * time.Second
	sentBytesCounter   = "filberthook_gossip_sent_bytes_total"
)

// Hosts measures entry hosts that gossip membership and instance announcements.
func Hosts(ctx context.Context, sizes []int, length time.Duration) (Series, error) {
	s := Series{Name: fmt.Sprintf("entry hosts, gossip over UDP, %d instances announced at each every %s", instancesPerHost, announceInterval), Unit: "host"}
	for _, size := range sizes {
		sample, err := measureHosts(ctx, size, length)
		if err != nil {
			return s, fmt.Errorf("%d hosts: %w", size, err)
		}
		s.Samples = append(s.Samples, sample)
	}
	return s, nil
}

// gossipGroup is a set of gossiping hosts in this process.
type gossipGroup struct {
	nodes []*gossip.Node
	sets  []*metrics.Set
	start time.Time
}

func measureHosts(ctx context.Context, size int, length time.Duration) (Sample, error) {
	base := newBaseline()
	g := &gossipGroup{start: time.Now()}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	if err := g.startNodes(size, &group, running); err != nil {
		stop()
		return Sample{}, err
	}
	defer func() {
		stop()
		_ = group.Wait()
	}()
	group.Go(func() error { g.announce(running); return nil })
	if err := g.awaitMembers(ctx); err != nil {
		return Sample{}, err
	}
	return base.measure(size, length, g.sentBytes)
}

func (g *gossipGroup) startNodes(size int, group *errgroup.Group, ctx context.Context) error {
	seed := ""
	for i := range size {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		address := conn.LocalAddr().String()
		if i == 0 {
			seed = address
		}
		set := metrics.NewSet()
		n, err := gossip.New(gossip.Config{
			Membership: membership.Config{
				Self:        membership.Host{Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(i), Gossip: address, Announce: address},
				Incarnation: 1,
				Seeds:       []string{seed},
			},
			Now:     func() time.Duration { return time.Since(g.start) },
			Rand:    rand.New(rand.NewPCG(uint64(i), 1)),
			Metrics: set,
			Logger:  slog.New(slog.DiscardHandler),
		}, directory.New(), demand.NewAggregator(), conn)
		if err != nil {
			return err
		}
		g.nodes = append(g.nodes, n)
		g.sets = append(g.sets, set)
		group.Go(func() error { return n.Run(ctx) })
	}
	return nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%gossipZones) }

// announce renews the instances' announcements at all hosts until ctx ends.
func (g *gossipGroup) announce(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		for i, n := range g.nodes {
			for j := range instancesPerHost {
				_ = n.Announced(announcement(i, j, seq))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func announcement(host, instance int, seq uint64) engineapi.Announcement {
	return engineapi.Announcement{
		Instance:     fmt.Sprintf("engine-%d-%d", host, instance),
		Incarnation:  1,
		Sequence:     seq,
		Kind:         engineapi.KindModel,
		Zone:         zoneName(host),
		Address:      fmt.Sprintf("127.0.0.1:%d", 20000+2*host+instance),
		KVBlocks:     200,
		LeaseSeconds: announceLease,
		State:        engineapi.EngineState{Role: engineapi.RoleMixed, Models: []engineapi.Model{{Name: "assist", Version: "1"}}},
	}
}

// awaitMembers waits until every host has all others as members.
func (g *gossipGroup) awaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, gossipJoinTimeout)
	defer cancel()
	for _, n := range g.nodes {
		for len(n.Members()) < len(g.nodes)-1 {
			if ctx.Err() != nil {
				return fmt.Errorf("a host knows %d of %d others after %s", len(n.Members()), len(g.nodes)-1, gossipJoinTimeout)
			}
			time.Sleep(gossipPollInterval)
		}
	}
	return nil
}

func (g *gossipGroup) sentBytes() uint64 {
	var sum uint64
	for _, set := range g.sets {
		sum += set.GetOrCreateCounter(sentBytesCounter).Get()
	}
	return sum
}
