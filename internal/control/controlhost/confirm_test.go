package controlhost

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/document"
)

// playedReads is a sharedReads of which a test holds the clock and the quorum.
type playedReads struct {
	*sharedReads
	clock time.Duration
	count int
	open  chan struct{} // reads end once it is closed
	ok    bool
}

func newPlayedReads() *playedReads {
	p := &playedReads{clock: time.Minute, open: make(chan struct{}), ok: true}
	close(p.open)
	p.sharedReads = &sharedReads{
		now: func() time.Duration { return p.clock },
		read: func(context.Context) (document.Document, bool) {
			p.count++
			<-p.open
			return document.Document{Version: uint64(p.count)}, p.ok
		},
	}
	return p
}

func (p *playedReads) ask(t *testing.T, wantVersion uint64, wantAge time.Duration, wantConfirmed bool) {
	t.Helper()
	d, age, confirmed := p.newest(t.Context(), 250*time.Millisecond)
	if confirmed != wantConfirmed || confirmed && (d.Version != wantVersion || age != wantAge) {
		t.Errorf("version %d, age %v, confirmed %v; want %d, %v, %v", d.Version, age, confirmed, wantVersion, wantAge, wantConfirmed)
	}
}

// An age that is too small would let entry hosts use keys beyond the bound, as after a freeze of
// this host; a read for each call would overload the group when all hosts come back at once.
func TestReadIsSharedWithItsAge(t *testing.T) {
	p := newPlayedReads()
	p.ask(t, 1, 0, true)
	p.clock += 200 * time.Millisecond
	p.ask(t, 1, 200*time.Millisecond, true)
	p.clock += 10 * time.Second // frozen
	p.ask(t, 2, 0, true)
	p.clock += time.Second
	p.ok = false
	p.ask(t, 0, 0, false)
	p.ok = true
	p.ask(t, 4, 0, true)
}

func TestReadThatRunsIsAsOldAsItsStart(t *testing.T) {
	p := newPlayedReads()
	p.open = make(chan struct{})
	var asked sync.WaitGroup
	asked.Go(func() { p.ask(t, 1, 0, true) })
	eventually(t, time.Second, "a read runs", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.running != nil })
	p.mu.Lock()
	p.clock += 10 * time.Second // frozen during the read
	p.mu.Unlock()
	asked.Go(func() { p.ask(t, 1, 10*time.Second, true) })
	time.Sleep(50 * time.Millisecond)
	close(p.open)
	asked.Wait()
}

func TestVersionIsConfirmedWithAnAgeWhereACallAllowsOne(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	h := g.start(1, true)
	accept(t, h, 3, "three")
	var resp controlapi.DocumentResponse
	eventually(t, 10*time.Second, "a confirmed answer", func() bool {
		var err error
		resp, err = h.serveDocument(t.Context(), controlapi.DocumentRequest{Confirm: true, VersionOnly: true, MaxAgeMS: 250})
		return err == nil && resp.Confirmed
	})
	if resp.Version != 3 || resp.Deflate != nil || resp.ConfirmedAgeMS > 250 {
		t.Errorf("got %+v, want version 3 without body", resp)
	}
}

// After a cut of a zone or a power loss, all entry hosts ask at the same moment. The number of
// reads with a quorum must not grow with theirs.
func TestHostsThatAskAtOnceShareReads(t *testing.T) {
	t.Parallel()
	const hosts = 300 // the largest deployment
	g := newGroup(t, 1, 2, 3)
	h := g.start(1, true)
	g.start(2, true)
	g.start(3, true)
	accept(t, h, 3, "three")
	var reads atomic.Int64
	h.confirms.mu.Lock()
	read := h.confirms.read
	h.confirms.read = func(ctx context.Context) (document.Document, bool) { reads.Add(1); return read(ctx) }
	h.confirms.mu.Unlock()
	var asking sync.WaitGroup
	var confirmed atomic.Int64
	begin := time.Now()
	for n := range hosts {
		asking.Go(func() {
			client := peer.NewClient(g.address(1, peersPort), peer.Options{Self: peer.Identity{Host: fmt.Sprint("e", n)}, DialTimeout: 10 * time.Second})
			defer client.Close()
			for range 40 {
				var resp controlapi.DocumentResponse
				req := controlapi.DocumentRequest{Confirm: true, VersionOnly: true, MaxAgeMS: 250}
				if err := client.Call(t.Context(), controlapi.MethodDocument, req, &resp); err == nil && resp.Confirmed && resp.Version == 3 {
					confirmed.Add(1)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	elapsed := time.Since(begin)
	t.Logf("%d of %d hosts confirmed with %d reads in %v", confirmed.Load(), hosts, reads.Load(), elapsed)
	// Reads that fail last for confirmTimeout, others answer for 250 ms.
	if most := 2 + int64(elapsed/confirmTimeout); confirmed.Load() != hosts || reads.Load() > most {
		t.Errorf("%d of %d hosts confirmed with %d reads, at most %d wanted", confirmed.Load(), hosts, reads.Load(), most)
	}
}
