package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"

	"filberthook/internal/bench/loopback"
)

type echoRequest struct{ Text string }

type echoReply struct {
	Text string
	From string
}

func startServer(t *testing.T, opts Options) (addr string, set *metrics.Set) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux()
	Handle(mux, "echo", func(_ context.Context, from Identity, req echoRequest) (echoReply, error) {
		if req.Text == "" {
			return echoReply{}, errors.New("text is empty: send some")
		}
		return echoReply{Text: req.Text, From: from.Host}, nil
	})
	opts.Metrics = metrics.NewSet()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(opts, mux).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return ln.Addr().String(), opts.Metrics
}

func TestCall(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("calls", func(t *testing.T) {
		addr, _ := startServer(t, Options{})
		c := NewClient(addr, Options{Self: Identity{Host: "entry-1"}})
		defer c.Close()
		var got echoReply
		if err := c.Call(context.Background(), "echo", echoRequest{Text: "hi"}, &got); err != nil {
			t.Fatal(err)
		}
		if got != (echoReply{Text: "hi", From: "entry-1"}) {
			t.Errorf("got %+v", got)
		}
		var remote *RemoteError
		if err := c.Call(context.Background(), "echo", echoRequest{}, &got); !errors.As(err, &remote) {
			t.Errorf("got %v, want a RemoteError", err)
		}
		if err := c.Call(context.Background(), "nothing", nil, nil); !errors.As(err, &remote) || remote.Code != CodeNoSuchCall {
			t.Errorf("got %v, want code %d", err, CodeNoSuchCall)
		}
	})
}

func TestUnreachablePeerIsNotCalled(t *testing.T) {
	c := NewClient(loopback.String(), Options{}) // nothing listens there
	var unreachable *UnreachableError
	if err := c.Call(context.Background(), "echo", echoRequest{}, nil); !errors.As(err, &unreachable) {
		t.Errorf("got %v, want an UnreachableError", err)
	}
}

func TestMalformedStreamsAreClosed(t *testing.T) {
	cases := []struct {
		name string
		send []byte
	}{
		{"oversized frame", []byte{0xff, 0xff, 0xff, 0xff, 'x'}},
		{"not JSON", []byte{0, 0, 0, 3, 'a', 'b', 'c'}},
		{"HTTP", []byte("GET / HTTP/1.1\r\n\r\n")},
	}
	addr, _ := startServer(t, Options{MaxMessageBytes: 1024})
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(tc.send); err != nil {
				t.Fatal(err)
			}
			buf := make([]byte, 1)
			if n, err := conn.Read(buf); err == nil {
				t.Errorf("read %d bytes, want a closed connection", n)
			}
		})
	}
}

func TestFirstCallMustBeHello(t *testing.T) {
	addr, set := startServer(t, Options{})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	cd := codec{maxBytes: 1024}
	request := struct {
		JSONRPC string `json:"jsonrpc"`
		ID      int    `json:"id"`
		Method  string `json:"method"`
	}{"2.0", 1, "echo"}
	if err := cd.WriteObject(conn, request); err != nil {
		t.Fatal(err)
	}
	var answer struct {
		Error struct{ Code int64 }
	}
	if err := cd.ReadObject(bufio.NewReader(conn), &answer); err != nil {
		t.Fatal(err)
	}
	if answer.Error.Code != CodeNoHello {
		t.Errorf("code %d, want %d", answer.Error.Code, CodeNoHello)
	}
	if got := set.GetOrCreateCounter(`filberthook_peer_refused_total{reason="hello"}`).Get(); got != 1 {
		t.Errorf("refusals counted: %d, want 1", got)
	}
}

func TestNegotiate(t *testing.T) {
	cases := []struct {
		name     string
		min, max int
		want     int
		refused  bool
	}{
		{"same", ProtocolMin, ProtocolMax, ProtocolMax, false},
		{"newer that still speaks ours", ProtocolMin, ProtocolMax + 3, ProtocolMax, false},
		{"newer only", ProtocolMax + 1, ProtocolMax + 3, 0, true},
		{"older only", 0, ProtocolMin - 1, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := negotiate(hello{ProtocolMin: tc.min, ProtocolMax: tc.max})
			if got != tc.want || (err != nil) != tc.refused {
				t.Errorf("got %d, %v", got, err)
			}
		})
	}
}

func TestPlaintextNeedsLoopback(t *testing.T) {
	if err := requireLoopback(&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)}); err == nil {
		t.Error("plaintext from another machine accepted")
	}
	if err := requireLoopback(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Error(err)
	}
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{0xff, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v any
		_ = codec{maxBytes: 1 << 16}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
	})
}

func TestSlowServerTimesOut(t *testing.T) {
	mux := NewMux()
	release := make(chan struct{})
	Handle(mux, "wait", func(ctx context.Context, _ Identity, _ struct{}) (struct{}, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return struct{}{}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(Options{}, mux).Serve(ctx, ln) }()
	c := NewClient(ln.Addr().String(), Options{CallTimeout: 20 * time.Millisecond})
	if err := c.Call(context.Background(), "wait", struct{}{}, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want a deadline error", err)
	}
	close(release)
	c.Close()
	cancel()
	<-done
}
