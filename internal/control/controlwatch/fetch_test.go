package controlwatch

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/raftnet"
)

// playedControl is a control host of which a test decides when it announces its version and
// what it answers to a fetch.
type playedControl struct {
	version  uint64
	announce <-chan struct{}                                // nil to announce at once
	document func(context.Context) (document.Packed, error) // nil to answer at once
	newest   bool                                           // confirmed to be the newest
	elected  <-chan struct{}                                // once closed, next is the version and confirmed
	next     uint64
	link     *pacedLink // nil for one without limit
	address  string
	watches  atomic.Int64 // calls
	fetches  atomic.Int64 // calls
}

func (c *playedControl) watch(ctx context.Context, _ peer.Identity, req controlapi.WatchRequest) (controlapi.WatchResponse, error) {
	c.watches.Add(1)
	if c.announce != nil {
		select {
		case <-c.announce:
		case <-ctx.Done():
		}
	}
	if version, _ := c.inForce(); version <= req.Version {
		elected := c.elected
		if version == c.next {
			elected = nil
		}
		select {
		case <-elected:
		case <-time.After(time.Duration(req.WaitMS) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	version, _ := c.inForce()
	return controlapi.WatchResponse{Epoch: c.address, Version: version}, nil
}

// inForce returns the version in force and whether it is confirmed to be the newest.
func (c *playedControl) inForce() (version uint64, newest bool) {
	select {
	case <-c.elected:
		return c.next, true
	default:
		return c.version, c.newest
	}
}

func (c *playedControl) packed() (document.Packed, error) {
	version, _ := c.inForce()
	return document.Pack(document.Document{Version: version, Body: []byte("routes")})
}

func (c *playedControl) serve(t *testing.T, running *sync.WaitGroup, ctx context.Context) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.address = ln.Addr().String()
	if c.link != nil {
		ln = pacedListener{ln, c.link}
	}
	mux := peer.NewMux()
	peer.Handle(mux, controlapi.MethodWatch, c.watch)
	peer.Handle(mux, controlapi.MethodDocument, func(ctx context.Context, _ peer.Identity, req controlapi.DocumentRequest) (controlapi.DocumentResponse, error) {
		_, newest := c.inForce()
		if req.VersionOnly && c.document == nil {
			version, newest := c.inForce()
			return controlapi.DocumentResponse{Packed: document.Packed{Version: version}, Confirmed: req.Confirm && newest}, nil
		}
		c.fetches.Add(1)
		send := func(context.Context) (document.Packed, error) { return c.packed() }
		if c.document != nil {
			send = c.document
		}
		packed, err := send(ctx)
		return controlapi.DocumentResponse{Packed: packed, Confirmed: req.Confirm && newest}, err
	})
	running.Go(func() { _ = peer.NewServer(peer.Options{Self: peer.Identity{Host: "c"}}, mux).Serve(ctx, ln) })
}

// followPlayed follows control hosts until the test ends. The first configuration waits as long as firstWait.
func followPlayed(t *testing.T, config Configuration, firstWait time.Duration, hosts ...*playedControl) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var seeds []string
	for _, h := range hosts {
		h.serve(t, &running, ctx)
		seeds = append(seeds, h.address)
	}
	clients := raftnet.NewPool(peer.Options{Self: peer.Identity{Host: "e"}, DropOnTimeout: true})
	w := New(clients, instances.NewView(time.Second), config, slog.New(slog.DiscardHandler))
	w.firstWait = firstWait
	running.Go(func() { w.Run(ctx, func() []string { return seeds }) })
	t.Cleanup(func() { stop(); running.Wait(); clients.Close() })
}

// within fails the test unless a condition holds in time.
func within(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// The limit is the time in which a change is to be in force.
func TestControlHostThatFallsSilentDuringAFetchDelaysNoChange(t *testing.T) {
	t.Parallel()
	asked := make(chan struct{})
	var once sync.Once
	silent := &playedControl{version: 4, document: func(ctx context.Context) (document.Packed, error) {
		once.Do(func() { close(asked) })
		<-ctx.Done()
		return document.Packed{}, ctx.Err()
	}}
	sound := &playedControl{version: 4, announce: asked}
	config := &fixedConfiguration{}
	followPlayed(t, config, firstWait, silent, sound)
	<-asked
	within(t, 2*time.Second, "version 4 in force", func() bool { return config.Version() == 4 })
}

// unreadable is a Configuration that cannot read any document.
type unreadable struct{ fixedConfiguration }

func (*unreadable) Offer(document.Document, string) error {
	return errors.New("written by a later release")
}

func TestConfigurationThatCannotBeReadIsNotFetchedWithoutEnd(t *testing.T) {
	t.Parallel()
	host := &playedControl{version: 4}
	followPlayed(t, &unreadable{}, firstWait, host)
	within(t, 5*time.Second, "a fetch", func() bool { return host.fetches.Load() > 0 })
	time.Sleep(time.Second)
	if watches, fetches := host.watches.Load(), host.fetches.Load(); watches > 20 || fetches > 10 {
		t.Errorf("%d watch calls and %d fetches within a second", watches, fetches)
	}
}

func TestSlowFetchKeepsNoOtherWatchBusy(t *testing.T) {
	t.Parallel()
	asked, answer := make(chan struct{}), make(chan struct{})
	var once sync.Once
	slow := &playedControl{version: 4}
	slow.document = func(context.Context) (document.Packed, error) {
		once.Do(func() { close(asked) })
		<-answer
		return slow.packed()
	}
	other := &playedControl{version: 4, announce: asked}
	config := &fixedConfiguration{}
	followPlayed(t, config, firstWait, slow, other)
	<-asked
	begin := time.Now()
	time.Sleep(300 * time.Millisecond)
	watches, slept := other.watches.Load(), time.Since(begin) // the sleep may last longer
	close(answer)
	if limit := int64(10 * slept / (300 * time.Millisecond)); watches > limit {
		t.Errorf("%d watch calls at the other control host within %v, want at most %d", watches, slept, limit)
	}
	within(t, 2*time.Second, "version 4 in force", func() bool { return config.Version() == 4 })
}

// taken is a Configuration that records the versions that it was offered.
type taken struct {
	fixedConfiguration
	versions []uint64
}

func (c *taken) Offer(d document.Document, from string) error {
	c.mu.Lock()
	c.versions = append(c.versions, d.Version)
	c.mu.Unlock()
	return c.fixedConfiguration.Offer(d, from)
}

func TestEntryHostThatStartsTakesNoOlderConfigurationThanAReachableControlHostKnows(t *testing.T) {
	t.Parallel()
	later := make(chan struct{})
	var announced sync.Once
	lagging := &playedControl{version: 4}
	lagging.document = func(context.Context) (document.Packed, error) {
		announced.Do(func() { time.AfterFunc(200*time.Millisecond, func() { close(later) }) })
		return lagging.packed()
	}
	current := &playedControl{version: 9, announce: later, newest: true}
	config := &taken{}
	followPlayed(t, config, 20*time.Second, lagging, current)
	within(t, 10*time.Second, "version 9 in force", func() bool { return config.Version() == 9 })
	if config.versions[0] != 9 {
		t.Errorf("versions in force, in order: %v", config.versions)
	}
}

func TestFirstConfigurationThatAQuorumConfirmsWaitsForNoOtherControlHost(t *testing.T) {
	t.Parallel()
	config := &fixedConfiguration{}
	followPlayed(t, config, time.Minute, &playedControl{version: 4, newest: true}, &playedControl{announce: make(chan struct{})})
	within(t, 10*time.Second, "version 4 in force", func() bool { return config.Version() == 4 })
}

func TestFirstConfigurationWaitsABoundedTimeForControlHostsThatDoNotAnswer(t *testing.T) {
	t.Parallel()
	config := &fixedConfiguration{}
	begin := time.Now()
	followPlayed(t, config, time.Second, &playedControl{version: 4}, &playedControl{announce: make(chan struct{})})
	within(t, 10*time.Second, "version 4 in force", func() bool { return config.Version() == 4 })
	if waited := time.Since(begin); waited < time.Second {
		t.Errorf("in force after %v, want %v for the other control host", waited, time.Second)
	}
}
