package peer

import (
	"context"
	"errors"
	"math"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// flakyListener fails its first accepts, like a process that has no free file descriptors.
type flakyListener struct {
	net.Listener
	mu    sync.Mutex
	fails int
}

func (l *flakyListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fails > 0 {
		l.fails--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestFailedAcceptDoesNotEndTheProcess(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux()
	Handle(mux, "echo", func(_ context.Context, _ Identity, req echoRequest) (echoReply, error) {
		return echoReply{Text: req.Text}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- NewServer(Options{}, mux).Serve(ctx, &flakyListener{Listener: ln, fails: 3}) }()
	c := NewClient(ln.Addr().String(), Options{})
	defer c.Close()
	var got echoReply
	callCtx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	if err := c.Call(callCtx, "echo", echoRequest{Text: "hi"}, &got); err != nil || got.Text != "hi" {
		t.Errorf("got %q, %v", got.Text, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("serve: %v", err)
	}
}

func TestPanicOfAHandlerFailsItsCallOnly(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux()
	Handle(mux, "fails", func(context.Context, Identity, echoRequest) (echoReply, error) {
		var list []int
		return echoReply{}, errors.New(string(rune(list[0]))) // out of range
	})
	Handle(mux, "echo", func(_ context.Context, _ Identity, req echoRequest) (echoReply, error) {
		return echoReply{Text: req.Text}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = NewServer(Options{}, mux).Serve(ctx, ln) }() // ends with ctx
	c := NewClient(ln.Addr().String(), Options{})
	defer c.Close()
	var got echoReply
	err = c.Call(context.Background(), "fails", echoRequest{}, &got)
	var remote *RemoteError
	if !errors.As(err, &remote) || !strings.Contains(err.Error(), "fails") {
		t.Errorf("error %v, want one of the remote call", err)
	}
	if err := c.Call(context.Background(), "echo", echoRequest{Text: "hi"}, &got); err != nil || got.Text != "hi" {
		t.Errorf("the next call got %q, %v", got.Text, err)
	}
}

func TestResultThatCannotBeSentFailsItsCallAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux()
	Handle(mux, "infinite", func(context.Context, Identity, echoRequest) (float64, error) { return math.Inf(1), nil })
	Handle(mux, "large", func(context.Context, Identity, echoRequest) (string, error) { return strings.Repeat("x", 2000), nil })
	Handle(mux, "echo", func(_ context.Context, _ Identity, req echoRequest) (echoReply, error) {
		return echoReply{Text: req.Text}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = NewServer(Options{MaxMessageBytes: 1000}, mux).Serve(ctx, ln) }() // ends with ctx
	c := NewClient(ln.Addr().String(), Options{})
	defer c.Close()
	for _, method := range []string{"infinite", "large"} {
		callCtx, stop := context.WithTimeout(context.Background(), time.Second)
		var remote *RemoteError
		var got any
		if err := c.Call(callCtx, method, echoRequest{}, &got); !errors.As(err, &remote) {
			t.Errorf("%s: error %v, want one of the remote call", method, err)
		}
		stop()
	}
	var got echoReply
	if err := c.Call(context.Background(), "echo", echoRequest{Text: "hi"}, &got); err != nil || got.Text != "hi" {
		t.Errorf("the next call: got %q, %v", got.Text, err)
	}
}
