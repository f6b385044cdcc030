package raftnet

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/network/peer"
)

// A 300 kB configuration changes repeatedly while a replica is unreachable. The queue to
// that replica must be bounded in bytes, or a host with 280 MB would run out of memory.
func TestQueueToAnUnreachableReplicaIsBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	clients := NewPool(peer.Options{Self: peer.Identity{Host: "a"}, DialTimeout: 50 * time.Millisecond})
	set := metrics.NewSet()
	blocked := make(chan struct{})
	tr := NewTransport(ctx, clients, func(uint64) string { <-blocked; return "" }, set)
	defer func() { close(blocked); cancel(); tr.Wait(); clients.Close() }()
	const size = 300 << 10
	for range 300 {
		tr.Send(2, make([]byte, size))
	}
	tr.mu.Lock()
	queued := tr.queues[2].bytes.Load()
	tr.mu.Unlock()
	if queued > queueBytes+batchBytes {
		t.Errorf("%d MB queued for one replica", queued>>20)
	}
	if tr.dropped.Get() == 0 {
		t.Error("nothing was dropped")
	}
	tr.Send(3, make([]byte, queueBytes+1))
	if queued := tr.queue(3).bytes.Load(); queued == 0 {
		t.Error("a message larger than the bound was not queued")
	}
}

func TestQueueIsFreedOnceSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	clients := NewPool(peer.Options{Self: peer.Identity{Host: "a"}})
	tr := NewTransport(ctx, clients, func(uint64) string { return "" }, metrics.NewSet())
	defer func() { cancel(); tr.Wait(); clients.Close() }()
	for range 1000 {
		tr.Send(2, make([]byte, 1<<10))
	}
	for end := time.Now().Add(2 * time.Second); tr.queue(2).bytes.Load() != 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes still counted", tr.queue(2).bytes.Load())
		}
	}
}
