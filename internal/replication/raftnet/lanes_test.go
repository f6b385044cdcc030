package raftnet

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/peer"
	"filberthook/internal/replication/consensus"
)

// Guards against heartbeats that wait behind large appends: leaders stepped down while a replica
// was receiving one.
func TestHeartbeatsPassAnAppendThatIsBeingReceived(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	options := peer.Options{Self: peer.Identity{Host: "a"}}
	appendBegan, heartbeats, received := make(chan struct{}, 1), make(chan struct{}, 10), make(chan struct{})
	mux := peer.NewMux()
	peer.Handle(mux, Method, func(_ context.Context, _ peer.Identity, batch Batch) (struct{}, error) {
		for _, msg := range batch.Messages {
			if consensus.Urgent(msg) {
				heartbeats <- struct{}{}
				continue
			}
			appendBegan <- struct{}{}
			<-received
		}
		return struct{}{}, nil
	})
	served := make(chan struct{})
	go func() { defer close(served); _ = peer.NewServer(options, mux).Serve(ctx, ln) }()
	clients := NewPool(options)
	tr := NewTransport(ctx, clients, func(uint64) string { return ln.Addr().String() }, metrics.NewSet())
	defer func() { close(received); cancel(); tr.Wait(); clients.Close(); <-served }()

	tr.Send(2, consensus.EncodeMessage(&consensus.Message{Type: consensus.MessageAppend, From: 1, To: 2, Entries: []consensus.Entry{
		{Term: 1, Index: 1, Type: consensus.EntryNormal, Data: make([]byte, 4<<20)},
	}}))
	await(t, appendBegan, "the append")
	for range 3 {
		tr.Send(2, consensus.EncodeMessage(&consensus.Message{Type: consensus.MessageHeartbeat, From: 1, To: 2}))
		await(t, heartbeats, "a heartbeat")
	}
}

func await(t *testing.T, event <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(5 * time.Second):
		t.Fatalf("%s was not received", what)
	}
}

// Guards against a leader that waits for the answer to an append that was never sent.
func TestUnsentAppendsAreReported(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	refuse := func(string, string, time.Duration) (net.Conn, error) { return nil, errors.New("refused") }
	clients := NewPool(peer.Options{Self: peer.Identity{Host: "a"}, Dial: refuse})
	tr := NewTransport(ctx, clients, func(uint64) string { return "127.0.0.1:1" }, metrics.NewSet())
	defer func() { cancel(); tr.Wait(); clients.Close() }()
	var reports atomic.Int64
	reported := make(chan struct{}, 10)
	tr.OnUnsent(func(to uint64) {
		if to == 2 {
			reports.Add(1)
			reported <- struct{}{}
		}
	})
	tr.Send(2, consensus.EncodeMessage(&consensus.Message{Type: consensus.MessageHeartbeat, From: 1, To: 2}))
	tr.Send(2, consensus.EncodeMessage(&consensus.Message{Type: consensus.MessageAppend, From: 1, To: 2}))
	await(t, reported, "a report")
	time.Sleep(50 * time.Millisecond)
	if n := reports.Load(); n != 1 {
		t.Errorf("%d reports for one append", n)
	}
}

// Guards against messages of a replica that has ended: the next replica on the same disk may have
// lost what they answer, and a leader ended with a broken invariant.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serving, stop := context.WithCancel(context.Background())
	options := peer.Options{Self: peer.Identity{Host: "a"}}
	var received atomic.Int64
	mux := peer.NewMux()
	peer.Handle(mux, Method, func(_ context.Context, _ peer.Identity, batch Batch) (struct{}, error) {
		received.Add(int64(len(batch.Messages)))
		return struct{}{}, nil
	})
	served := make(chan struct{})
	go func() { defer close(served); _ = peer.NewServer(options, mux).Serve(serving, ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	clients := NewPool(options)
	ended := make(chan struct{})
	tr := NewTransport(ctx, clients, func(uint64) string { <-ended; return ln.Addr().String() }, metrics.NewSet())
	for range 10 {
		tr.Send(2, consensus.EncodeMessage(&consensus.Message{Type: consensus.MessageHeartbeat, From: 1, To: 2}))
		tr.Send(2, consensus.EncodeMessage(&consensus.Message{Type: consensus.MessageAppend, From: 1, To: 2}))
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	clients.Close()
	close(ended)
	tr.Wait()
	time.Sleep(100 * time.Millisecond) // for what may have been sent
	stop()
	<-served
	if n := received.Load(); n != 0 {
		t.Errorf("%d messages were sent after the end", n)
	}
}
