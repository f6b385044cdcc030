package distribution

import (
	"context"
	"net"
	"testing"

	"filberthook/internal/network/peer"
)

// servePeer serves a mux on loopback until the test ends.
func servePeer(t *testing.T, mux *peer.Mux) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.NewServer(peer.Options{Self: peer.Identity{Host: "r0"}}, mux).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}
