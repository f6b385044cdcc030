package controlwatch

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/boottime"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/raftnet"
)

// confirmingControl is a control host of which a test decides how it confirms.
type confirmingControl struct {
	confirm func(context.Context) (controlapi.DocumentResponse, error)
	calls   atomic.Int64
	address string
}

func (c *confirmingControl) serve(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.address = ln.Addr().String()
	mux := peer.NewMux()
	peer.Handle(mux, controlapi.MethodDocument, func(ctx context.Context, _ peer.Identity, req controlapi.DocumentRequest) (controlapi.DocumentResponse, error) {
		c.calls.Add(1)
		if !req.Confirm || !req.VersionOnly || req.MaxAgeMS == 0 {
			t.Errorf("asked for %+v", req)
		}
		return c.confirm(ctx)
	})
	running.Go(func() { _ = peer.NewServer(peer.Options{Self: peer.Identity{Host: "c"}}, mux).Serve(ctx, ln) })
}

// recorded is a Confirmations that stores the last confirmation.
type recorded struct {
	mu      sync.Mutex
	version uint64
	at      time.Duration
	count   int
	failed  int
}

func (r *recorded) Confirm(version uint64, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.at = version, at
	r.count++
}

func (r *recorded) Failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
}

func (r *recorded) last() (uint64, time.Duration, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.at, r.count
}

// confirmWith runs Confirm against control hosts until the test ends.
func confirmWith(t *testing.T, interval time.Duration, wake <-chan struct{}, hosts ...*confirmingControl) *recorded {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	clients := raftnet.NewPool(peer.Options{Self: peer.Identity{Host: "e"}, DropOnTimeout: true})
	w := New(clients, instances.NewView(time.Second), &fixedConfiguration{version: 4}, slog.New(slog.DiscardHandler))
	for _, h := range hosts {
		h.serve(t, ctx, &running)
		w.watched[h.address] = &controlHost{up: true}
	}
	r := &recorded{}
	running.Go(func() {
		w.Confirm(ctx, &Confirmer{Clients: clients, Interval: interval, Needed: func() bool { return true }, Record: r, Wake: wake})
	})
	t.Cleanup(func() { stop(); running.Wait(); clients.Close() })
	return r
}

func confirmed(version uint64, age int64, after time.Duration) func(context.Context) (controlapi.DocumentResponse, error) {
	return func(context.Context) (controlapi.DocumentResponse, error) {
		time.Sleep(after)
		return controlapi.DocumentResponse{Packed: document.Packed{Version: version}, Confirmed: true, ConfirmedAgeMS: age}, nil
	}
}

// A slow answer must not make the moment later than the read, which may have begun before the call.
func TestConfirmedMomentIsNotAfterTheRead(t *testing.T) {
	t.Parallel()
	began := make(chan time.Duration, 100)
	c := &confirmingControl{}
	c.confirm = func(ctx context.Context) (controlapi.DocumentResponse, error) {
		began <- boottime.Now()
		return confirmed(9, 200, 150*time.Millisecond)(ctx)
	}
	r := confirmWith(t, 10*time.Second, nil, c)
	within(t, 5*time.Second, "a confirmation", func() bool { _, _, n := r.last(); return n > 0 })
	version, at, _ := r.last()
	if received := <-began; version != 9 || at > received-200*time.Millisecond || at < received-2*time.Second {
		t.Errorf("version %d, %v before the call arrived; want 9, 200 ms or more", version, received-at)
	}
}

// With all but one control host frozen or without a quorum, the last one must be found well
// before confirmations run out.
func TestOneControlHostWithAQuorumIsFound(t *testing.T) {
	t.Parallel()
	frozen := func(ctx context.Context) (controlapi.DocumentResponse, error) {
		<-ctx.Done()
		return controlapi.DocumentResponse{}, ctx.Err()
	}
	cut := func(context.Context) (controlapi.DocumentResponse, error) {
		time.Sleep(100 * time.Millisecond)
		return controlapi.DocumentResponse{Packed: document.Packed{Version: 4}}, nil
	}
	good := &confirmingControl{confirm: confirmed(4, 0, 0)}
	r := confirmWith(t, 50*time.Millisecond, nil, &confirmingControl{confirm: frozen}, &confirmingControl{confirm: frozen}, &confirmingControl{confirm: cut}, good)
	within(t, 2*time.Second, "confirmations again and again", func() bool { _, _, n := r.last(); return n > 3 })
}

// Unconfirmed answers come at once when there is no quorum; all hosts ask then, and must not
// overload the control hosts.
func TestQuestionsWithoutAQuorumAreBounded(t *testing.T) {
	t.Parallel()
	wake := make(chan struct{}, 1)
	c := &confirmingControl{confirm: func(context.Context) (controlapi.DocumentResponse, error) {
		return controlapi.DocumentResponse{}, nil
	}}
	r := confirmWith(t, 50*time.Millisecond, wake, c)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	if n := c.calls.Load(); n < 2 || n > 12 {
		t.Errorf("%d calls in 2 s", n)
	}
	if _, _, n := r.last(); n > 0 || r.failed == 0 {
		t.Errorf("%d confirmations and %d failures recorded, want failures only", n, r.failed)
	}
}
