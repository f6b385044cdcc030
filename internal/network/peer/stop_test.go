package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// Calls that arrive during shutdown are either dropped or served, and the server waits
// for those that it serves. The race detector reports a call that starts while the server
// is already waiting.
func TestCallsDuringShutdown(t *testing.T) {
	for range 20 {
		mux := NewMux()
		Handle(mux, "x", func(context.Context, Identity, struct{}) (struct{}, error) { return struct{}{}, nil })
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- NewServer(Options{}, mux).Serve(ctx, ln) }()
		c := NewClient(ln.Addr().String(), Options{CallTimeout: time.Second})
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() {
				for range 50 {
					if c.Call(context.Background(), "x", struct{}{}, &struct{}{}) != nil {
						return
					}
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		stop()
		if err := <-served; err != nil {
			t.Fatal(err)
		}
		calls.Wait()
		c.Close()
	}
}
