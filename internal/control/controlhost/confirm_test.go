package controlhost

import (
	"context"
	"sync"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
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
