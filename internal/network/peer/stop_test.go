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

// stoppingListener accepts a connection at the moment at which the server is stopped.
type stoppingListener struct {
	net.Listener
	stop   context.CancelFunc
	conn   net.Conn
	closed atomic.Bool
}

func (l *stoppingListener) Accept() (net.Conn, error) {
	l.stop()
	return l.conn, nil
}

func (l *stoppingListener) Close() error {
	time.Sleep(50 * time.Millisecond)
	defer l.closed.Store(true)
	return l.Listener.Close()
}

func TestAddressIsFreeOnceAServerHasStoppedWhileAConnectionCameIn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted, client := net.Pipe()
	ctx, stop := context.WithCancel(context.Background())
	stopping := &stoppingListener{Listener: ln, stop: stop, conn: accepted}
	if err := NewServer(Options{}, NewMux()).Serve(ctx, stopping); err != nil {
		t.Fatal(err)
	}
	if !stopping.closed.Load() {
		t.Error("the server has stopped and still listens")
	}
	closed := make(chan error, 1)
	go func() {
		_, err := client.Read(make([]byte, 1))
		closed <- err
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("the connection that came in is still open")
	}
}
