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

// silentListener returns a listener with a full accept queue: the kernel drops further
// connection attempts without an answer, as if the host were down.
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

// fixedConfiguration is a Configuration that stores the document it was offered last.
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

// After a power loss entry hosts may start before control hosts. They must find a control
// host soon after it starts, because they refuse every request until they have the
// configuration.
func TestControlHostThatStartsLaterIsFoundAtOnce(t *testing.T) {
	for _, down := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(down.String(), func(t *testing.T) {
			t.Parallel()
			findAfter(t, down)
		})
	}
}

// findAfter starts a control host after a time. It fails unless a running watcher gets
// the configuration soon after.
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
	peer.Handle(mux, controlapi.MethodDocument, func(context.Context, peer.Identity, controlapi.DocumentRequest) (controlapi.DocumentResponse, error) {
		packed, err := document.Pack(document.Document{Version: 4, Body: []byte("routes")})
		return controlapi.DocumentResponse{Packed: packed, Confirmed: true}, err
	})
	running.Go(func() { _ = peer.NewServer(options, mux).Serve(ctx, ln) })
	up := time.Now()
	for config.Version() != 4 {
		if time.Since(up) > 5*time.Second {
			t.Fatal("no configuration within 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The limit is a third of the two seconds that a power loss takes.
	if elapsed := time.Since(up); elapsed > 667*time.Millisecond {
		t.Errorf("configuration in force %v after the control host was up", elapsed)
	}
	if config.body != "routes" {
		t.Errorf("body %q", config.body)
	}
}
