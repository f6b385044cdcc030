// Package gossip runs the membership protocol over UDP and spreads instance and demand
// updates with it. A Node reads packets, passes them and the time to a membership.Core
// and sends the packets that the Core returns, with updates piggybacked in the remaining
// room.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/demand"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/membership"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
)

// tickInterval is how often the core's timers are checked.
const tickInterval = 50 * time.Millisecond

// DefaultSpreadBytes is the size up to which packets are filled with updates.
const DefaultSpreadBytes = 900

// Config holds the settings of a Node.
type Config struct {
	Membership  membership.Config
	Key         []byte // signs packets; the same on every host
	SpreadBytes int
	Now         func() time.Duration // monotonic clock
	Rand        *rand.Rand
	Metrics     *metrics.Set
	Logger      *slog.Logger
	OnEvent     func(membership.Event) // may be nil; called without locks held
}

// Node runs the protocol on one host.
type Node struct {
	cfg  Config
	conn *net.UDPConn

	mu             sync.Mutex // guards the fields below
	machine        *machine
	demandSequence uint64

	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter
	refused       *metrics.Counter
}

// New returns a Node that uses conn and closes it when Run returns. It stores received
// updates in the directory and the aggregator.
func New(cfg Config, dir *directory.Directory, aggregator *demand.Aggregator, conn *net.UDPConn) (*Node, error) {
	if len(cfg.Key) < MinKeyBytes && !conn.LocalAddr().(*net.UDPAddr).IP.IsLoopback() {
		return nil, fmt.Errorf("gossip key has %d bytes, at least %d are needed outside loopback: set gossip_key", len(cfg.Key), MinKeyBytes)
	}
	if cfg.SpreadBytes == 0 {
		cfg.SpreadBytes = DefaultSpreadBytes
	}
	return &Node{
		cfg:           cfg,
		conn:          conn,
		machine:       newMachine(cfg.Membership, cfg.Rand, cfg.SpreadBytes, dir, aggregator),
		sentBytes:     cfg.Metrics.GetOrCreateCounter("filberthook_gossip_sent_bytes_total"),
		receivedBytes: cfg.Metrics.GetOrCreateCounter("filberthook_gossip_received_bytes_total"),
		refused:       cfg.Metrics.GetOrCreateCounter("filberthook_gossip_refused_packets_total"),
	}, nil
}

// Run exchanges packets until ctx is done, then announces that this host leaves.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.receiveLoop(ctx) })
	group.Go(func() error { return n.tickLoop(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		n.leave()
		return n.conn.Close()
	})
	return group.Wait()
}

func (n *Node) leave() {
	n.mu.Lock()
	out := n.machine.core.Leave(n.cfg.Now())
	n.mu.Unlock()
	n.send(out)
}

func (n *Node) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.tick()
		}
	}
}

func (n *Node) tick() {
	n.mu.Lock()
	out := n.machine.tick(n.cfg.Now())
	events := n.machine.takeEvents()
	n.mu.Unlock()
	n.send(out)
	n.reportEvents(events)
}

func (n *Node) receiveLoop(ctx context.Context) error {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.cfg.Logger.Warn("gossip read failed", "err", err)
			continue
		}
		n.receivedBytes.Add(size)
		p, err := open(n.cfg.Key, buf[:size])
		if err != nil {
			n.refused.Inc()
			n.cfg.Logger.Debug("gossip packet refused", "from", from.String(), "err", err)
			continue
		}
		n.receive(from, p)
	}
}

func (n *Node) receive(from netip.AddrPort, p *gossipv1.Packet) {
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	n.mu.Lock()
	out := n.machine.receive(n.cfg.Now(), address, p)
	events := n.machine.takeEvents()
	n.mu.Unlock()
	n.send(out)
	n.reportEvents(events)
}

func (n *Node) reportEvents(events []membership.Event) {
	for _, e := range events {
		n.cfg.Logger.Info("host state changed", "host", e.Member.Name, "zone", e.Member.Zone,
			"state", e.Member.State.String(), "previous", e.Previous.String())
		if n.cfg.OnEvent != nil {
			n.cfg.OnEvent(e)
		}
	}
}

func (n *Node) send(out []membership.Outgoing) {
	for _, o := range out {
		if isEmptySpread(o) {
			continue
		}
		addr, err := netip.ParseAddrPort(o.Address)
		if err != nil {
			continue
		}
		data, err := seal(n.cfg.Key, o.Packet)
		if err != nil {
			n.cfg.Logger.Error("gossip packet not sent", "err", err)
			continue
		}
		if _, err := n.conn.WriteToUDPAddrPort(data, addr); err != nil {
			n.cfg.Logger.Debug("gossip send failed", "to", o.Address, "err", err)
			continue
		}
		n.sentBytes.Add(len(data))
	}
}

// Announced stores and spreads an announcement that an instance made to this host.
func (n *Node) Announced(a engineapi.Announcement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, err := n.machine.instances.receiveAnnouncement(n.cfg.Now(), a)
	return err
}

// PublishDemand spreads this host's demand rates to the hosts of its zone.
func (n *Node) PublishDemand(rates demand.Rates) {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.machine.core.Self()
	n.demandSequence++
	now := n.cfg.Now()
	n.machine.demands.put(now, demand.Report{
		Host:        self.Name,
		Incarnation: n.cfg.Membership.Incarnation,
		Sequence:    n.demandSequence,
		Rates:       rates,
		MadeAt:      now,
	})
}

// Members returns the other hosts, sorted by name.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.core.Members()
}
