package controlhost

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/controlwatch"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/replication/raftnet"
)

// slowLink carries connections in memory, each of them so many bytes a second to the dialling
// end.
type slowLink struct {
	perSecond int
	accepted  chan net.Conn
	closed    chan struct{}
	closing   sync.Once
}

func newSlowLink(perSecond int) *slowLink {
	return &slowLink{perSecond: perSecond, accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *slowLink) dial(string, string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return &slowConn{Conn: near, perSecond: l.perSecond}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (l *slowLink) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *slowLink) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *slowLink) Addr() net.Addr { return &net.TCPAddr{} }

// slowConn is the reading end of a connection of a slowLink.
type slowConn struct {
	net.Conn
	perSecond int
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 1+c.perSecond/100)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.perSecond))
	return n, err
}

func TestListReachesEntryHostsOverALinkOfAnySpeed(t *testing.T) {
	for _, perSecond := range []int{10 << 20, 250_000, 50_000, 20_000, 10_000, 7000} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) { listOver(t, dir, perSecond) })
		})
	}
}

// listOver lists instances at a control host and fails unless an entry host gets the list over
// a link of so many bytes a second.
func listOver(t *testing.T, dir string, perSecond int) {
	s := Settings{
		Host: "c", Zone: "z", DataDir: dir, Seeds: []string{"127.0.0.1:7480"}, Heartbeat: tomltime.Of(time.Hour), TrustedNetwork: true,
		Listen: Listen{Control: "127.0.0.1:7480", Peers: "127.0.0.1:7481", Status: "127.0.0.1:7482"},
	}
	quiet := slog.New(slog.DiscardHandler)
	h, err := New(s, func(Service) http.Handler { return http.NotFoundHandler() }, nil, quiet, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	const entries = 40
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range entries {
		in := sound(n, 1)
		in.Born = time.Now().UnixMilli()
		in.Models = make([]instances.Model, instances.MaxModels)
		for i := range in.Models {
			in.Models[i] = instances.Model{Name: drawName(rng), Version: math.MinInt64}
		}
		if err := h.Announce(t.Context(), in); err != nil {
			t.Fatal(err)
		}
	}
	link := newSlowLink(perSecond)
	options := controlapi.PeerOptions(peer.Identity{Host: "e", Zone: "z"}, true, metrics.NewSet(), quiet)
	options.Dial = link.dial
	clients := raftnet.NewPool(options)
	view := instances.NewView(time.Second)
	w := controlwatch.New(clients, view, replicatedConfiguration{}, quiet)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer time.Sleep(time.Second) // readers of closed connections end
	defer running.Wait()
	defer clients.Close()
	defer stop()
	running.Go(func() { _ = peer.NewServer(options, h.mux()).Serve(ctx, link) })
	running.Go(func() { w.Run(ctx, func() []string { return []string{"127.0.0.1:7481"} }) })

	text, err := json.Marshal(h.registryList())
	if err != nil {
		t.Fatal(err)
	}
	transfer := time.Duration(len(text)) * time.Second / time.Duration(perSecond)
	begin := time.Now()
	limit := 2*transfer + 10*time.Second
	for usable(view) < entries && time.Since(begin) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d of %d entries after %v; the transfer of %d bytes takes %v", usable(view), entries, time.Since(begin), len(text), transfer)
	if got := usable(view); got < entries {
		t.Errorf("%d of %d entries listed within %v", got, entries, limit)
	}
}

// drawName returns a name of the greatest length that cannot be compressed much.
func drawName(rng *rand.Rand) string {
	name := make([]byte, instances.MaxNameBytes)
	for i := range name {
		name[i] = byte('0' + rng.IntN('z'-'0'))
	}
	return string(name)
}

// registryList returns the whole list of a host.
func (h *Host) registryList() (all []instances.Change) {
	for position := uint64(0); ; {
		changes, reached, _ := h.registry.Since(position, 0)
		if len(changes) == 0 {
			return all
		}
		all, position = append(all, changes...), reached
	}
}
