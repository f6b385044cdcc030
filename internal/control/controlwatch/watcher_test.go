package controlwatch

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/netopt"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/raftnet"
)

// silentListener returns a listener whose queue is full, so that the kernel drops
// further connections without an answer, as a machine does that is down.
func silentListener(t *testing.T) net.Listener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	for {
		conn, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// fixedConfiguration takes documents.
type fixedConfiguration struct {
	mu      sync.Mutex
	version uint64
	body    string
}

func (c *fixedConfiguration) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *fixedConfiguration) Offer(d document.Document, _ string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.body = d.Version, string(d.Body)
	return nil
}

// After a loss of power entry hosts are up before control hosts are. They are found
// soon after, with the configuration: until then every request is refused.
func TestControlHostThatStartsLaterIsFoundAtOnce(t *testing.T) {
	for _, down := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(down.String(), func(t *testing.T) {
			t.Parallel()
			findAfter(t, down)
		})
	}
}

// findAfter fails when a control host that starts after a time is not found at once.
func findAfter(t *testing.T, down time.Duration) {
	ln := silentListener(t)
	options := peer.Options{
		Self: peer.Identity{Host: "e"}, DialTimeout: netopt.DialTimeout, Dial: netopt.Dial, RedialDelay: netopt.RedialDelay,
	}
	clients := raftnet.NewPool(options)
	defer clients.Close()
	config := &fixedConfiguration{}
	w := New(clients, instances.NewView(time.Second), config, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { w.Run(ctx, func() []string { return []string{ln.Addr().String()} }) })

	time.Sleep(down)
	mux := peer.NewMux()
	peer.Handle(mux, controlapi.MethodWatch, func(context.Context, peer.Identity, controlapi.WatchRequest) (controlapi.WatchResponse, error) {
		return controlapi.WatchResponse{Epoch: "1", Version: 4}, nil
	})
	peer.Handle(mux, controlapi.MethodDocument, func(context.Context, peer.Identity, controlapi.DocumentRequest) (document.Packed, error) {
		return document.Pack(document.Document{Version: 4, Body: []byte("routes")})
	})
	running.Go(func() { _ = peer.NewServer(options, mux).Serve(ctx, ln) })
	up := time.Now()
	for config.Version() != 4 {
		if time.Since(up) > 5*time.Second {
			t.Fatal("not found")
		}
		time.Sleep(5 * time.Millisecond)
	}
	// Two thirds of a second are a third of the time that a loss of power takes.
	if elapsed := time.Since(up); elapsed > 667*time.Millisecond {
		t.Errorf("configuration in force %v after the control host was up", elapsed)
	}
	if config.body != "routes" {
		t.Errorf("body %q", config.body)
	}
}
