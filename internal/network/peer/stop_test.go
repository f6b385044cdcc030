package peer

import (
	"context"
	"errors"
	"io"
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

// lateListener accepts a connection just as the server is stopped, and takes its time to close.
type lateListener struct {
	net.Listener
	stop   context.CancelFunc
	conn   net.Conn
	closed atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	l.stop()
	return l.conn, nil
}

func (l *lateListener) Close() error {
	time.Sleep(100 * time.Millisecond)
	l.closed.Store(true)
	return nil
}

func TestAddressIsFreeAndConnectionsAreClosedOnceAServerHasStopped(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	near, far := net.Pipe()
	defer far.Close()
	if err := far.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	ln := &lateListener{stop: stop, conn: near}
	if err := NewServer(Options{}, NewMux()).Serve(ctx, ln); err != nil {
		t.Fatal(err)
	}
	if !ln.closed.Load() {
		t.Error("the listener is open: another server cannot listen at its address")
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("error %v of a connection accepted during the stop, want its end", err)
	}
}
