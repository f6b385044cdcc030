package controlhost

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
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
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/raftnet"
)

// largestBody is the size of the largest configuration that operators send.
const largestBody = 4 << 20

// routeText returns a configuration body that shrinks to a fraction, as routes do.
func routeText(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size-400; i++ {
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"h%d.example","path_prefix":"/p%d/","kind":"safe","timeout_ms":1500,"priority":2,"service":"s%d"},`, i*7919, i%40, i*31, i%3)
	}
	return append(b.Bytes(), bytes.Repeat([]byte(" "), size-b.Len())...)
}

// noise returns a body that cannot be compressed.
func noise(size int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// Guards against a limit on the way of a configuration that is below that of operators' calls:
// one over 1 MiB was proposed again and again, and never acknowledged.
func TestLargestConfigurationsAreAcknowledgedAndReachAllHosts(t *testing.T) {
	acknowledgeAtAll(t, routeText(largestBody), 1, 2, 3, 4)
}

// Guards against a limit that only what cannot be compressed exceeds.
func TestLargestConfigurationThatCannotBeCompressedIsAcknowledged(t *testing.T) {
	acknowledgeAtAll(t, noise(largestBody), 1, 2)
}

// acknowledgeAtAll proposes versions with a body at hosts, of which at most one leads.
func acknowledgeAtAll(t *testing.T, body []byte, at ...int) {
	g := newGroup(t, 1, 2, 3)
	hosts := []int{1, 2, 3, 4}
	for _, n := range hosts {
		g.start(n, true)
	}
	accept(t, g.nodes[1].host, 1, "first")
	for _, n := range hosts {
		waitForRead(t, g.nodes[n].host, 1, "first")
	}
	before, _ := g.nodes[1].host.membership.status()
	version := uint64(1)
	for _, n := range at {
		version++
		begin := time.Now()
		accept(t, g.nodes[n].host, version, string(body))
		t.Logf("version %d of %d bytes acknowledged after %v", version, len(body), time.Since(begin))
		for _, other := range hosts {
			waitForRead(t, g.nodes[other].host, version, string(body))
		}
	}
	if after, _ := g.nodes[1].host.membership.status(); after.Term != before.Term {
		t.Errorf("leaders changed from term %d to %d while configurations were replicated", before.Term, after.Term)
	}
	for _, n := range hosts {
		g.stop(n)
	}
	for _, n := range hosts {
		g.start(n, false)
	}
	for _, n := range hosts {
		eventually(t, 10*time.Second, "the newest version is read from the log after a restart", func() bool {
			d, err := g.nodes[n].host.Read(context.Background())
			return err == nil && d.Version == version && len(d.Body) == len(body)
		})
	}
}

// Guards against a configuration that crosses the link of an entry host uncompressed: 4 MiB take
// 3.4 s at 10 Mbit/s, and it is to be in force within 2 s.
func TestLargestConfigurationReachesEntryHostsInTime(t *testing.T) {
	for _, perSecond := range []int{1_250_000, 937_500} { // 10 and 7.5 Mbit/s
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) { configurationOver(t, dir, perSecond) })
		})
	}
}

func configurationOver(t *testing.T, dir string, perSecond int) {
	s := Settings{
		Host: "c", Zone: "z", DataDir: dir, Seeds: []string{"127.0.0.1:7480"}, Heartbeat: tomltime.Of(time.Hour), TrustedNetwork: true,
		Listen: Listen{Control: "127.0.0.1:7480", Peers: "127.0.0.1:7481", Status: "127.0.0.1:7482"},
	}
	quiet := slog.New(slog.DiscardHandler)
	h, err := New(s, func(Service) http.Handler { return http.NotFoundHandler() }, nil, quiet, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	link := newSlowLink(perSecond)
	options := controlapi.PeerOptions(peer.Identity{Host: "e", Zone: "z"}, true, metrics.NewSet(), quiet)
	options.Dial = link.dial
	clients := raftnet.NewPool(options)
	config := &entryConfiguration{version: 1}
	w := controlwatch.New(clients, instances.NewView(time.Second), config, quiet)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer time.Sleep(time.Second) // readers of closed connections end
	defer running.Wait()
	defer clients.Close()
	defer stop()
	running.Go(func() { _ = peer.NewServer(options, h.mux()).Serve(ctx, link) })
	running.Go(func() { w.Run(ctx, func() []string { return []string{"127.0.0.1:7481"} }) })
	time.Sleep(time.Second)
	begin := time.Now()
	h.configurationChanged(document.Document{Version: 2, Body: routeText(largestBody)})
	for config.Version() < 2 && time.Since(begin) < 10*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("in force after %v", took)
	} else {
		t.Logf("in force after %v", took)
	}
}
