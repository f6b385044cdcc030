package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
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

// lateListener accepts a connection right after the server was told to stop.
type lateListener struct {
	net.Listener
	stop   context.CancelFunc
	closed atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	l.stop()
	conn, _ := net.Pipe()
	return conn, nil
}

func (l *lateListener) Close() error {
	l.closed.Store(true)
	return nil
}

func (*lateListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestListenerIsClosedThoughAConnectionCameDuringTheStop(t *testing.T) {
	for range 200 {
		ctx, stop := context.WithCancel(context.Background())
		ln := &lateListener{stop: stop}
		server := NewServer(Options{}, NewMux())
		if err := server.Serve(ctx, ln); err != nil {
			t.Fatal(err)
		}
		if !ln.closed.Load() {
			t.Fatal("the listener is open after the server has stopped")
		}
	}
}
