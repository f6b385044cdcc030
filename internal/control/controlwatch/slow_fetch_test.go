package controlwatch

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"filberthook/internal/replication/document"
)

// slowLink is shared by the transfers that are under way.
type slowLink struct {
	mu     sync.Mutex
	active int
}

func (l *slowLink) add(n int) (active int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
	return l.active
}

// transfer returns after a time that it needs alone on the link, later beside others.
func (l *slowLink) transfer(ctx context.Context, alone time.Duration) {
	l.add(1)
	defer l.add(-1)
	end := time.Now().Add(fetchTimeout) // then the caller has given up
	for last := time.Now(); alone > 0 && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(5 * time.Millisecond)
		now := time.Now()
		alone -= now.Sub(last) / time.Duration(l.add(0))
		last = now
	}
}

func TestConfigurationArrivesOverALinkThatNeedsTwoThirdsOfTheTimeout(t *testing.T) {
	t.Parallel()
	link := &slowLink{}
	var hosts []*playedControl
	for range 4 {
		c := &playedControl{version: 4}
		c.document = func(ctx context.Context) (document.Packed, error) {
			link.transfer(ctx, 2200*time.Millisecond)
			return c.packed()
		}
		hosts = append(hosts, c)
	}
	config := &fixedConfiguration{version: 3}
	begin := time.Now()
	followPlayed(t, config, firstWait, hosts...)
	within(t, 2*fetchTimeout, "version 4 in force", func() bool { return config.Version() == 4 })
	t.Logf("in force after %v", time.Since(begin))
}

// pacedLink carries what several connections send at a limited rate.
type pacedLink struct {
	mu   sync.Mutex
	free time.Time // when all that was sent has crossed it
}

const (
	pacedRate  = 100_000 // bytes per second
	pacedChunk = 2000
)

func (l *pacedLink) cross(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.free) > 100*time.Millisecond {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / pacedRate)
	time.Sleep(time.Until(l.free))
}

type pacedListener struct {
	net.Listener
	link *pacedLink
}

func (l pacedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return pacedConn{conn, l.link}, err
}

type pacedConn struct {
	net.Conn
	link *pacedLink
}

func (c pacedConn) Write(p []byte) (sent int, err error) {
	for sent < len(p) && err == nil {
		chunk := p[sent:min(len(p), sent+pacedChunk)]
		c.link.cross(len(chunk))
		_, err = c.Conn.Write(chunk)
		sent += len(chunk)
	}
	return sent, err
}

// Attempts that are given up while bytes come need 6.7 s in all.
func TestFetchIsNotGivenUpWhileBytesCome(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	body := make([]byte, 187_500) // 250 kB as JSON
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	link := &pacedLink{}
	var hosts []*playedControl
	for range 4 {
		hosts = append(hosts, &playedControl{version: 4, link: link, document: func(context.Context) (document.Packed, error) {
			return document.Pack(document.Document{Version: 4, Body: body})
		}})
	}
	config := &fixedConfiguration{version: 3}
	begin := time.Now()
	followPlayed(t, config, firstWait, hosts...)
	within(t, 2*fetchTimeout, "version 4 in force", func() bool { return config.Version() == 4 })
	t.Logf("in force after %v", time.Since(begin))
}
