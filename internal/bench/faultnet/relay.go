// Package faultnet provides a TCP relay on loopback that can cut, delay and
// reset connections, one direction at a time. It simulates the network between
// two processes in failure tests.
package faultnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Sizes of the relay's buffers and the time limit for connecting to the target.
const (
	chunkBytes   = 32 << 10
	queuedChunks = 64
	dialTimeout  = 2 * time.Second
)

// Relay forwards connections to one target.
type Relay struct {
	ln       net.Listener
	toTarget *direction // from the caller to the target
	toCaller *direction // from the target to the caller
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	target string                // IP:port; guarded by mu
	conns  map[net.Conn]struct{} // open connections of both sides; guarded by mu
	down   bool                  // new connections are closed at once; guarded by mu
}

// NewRelay returns a relay on a free loopback port. The target may be empty
// until Retarget. Close ends it.
func NewRelay(target string) (*Relay, error) { return NewRelayAt("127.0.0.1:0", target) }

// NewRelayAt returns a relay at a loopback address.
func NewRelayAt(address, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("faultnet: no relay at %s: %w", address, err)
	}
	r := &Relay{
		target:   target,
		ln:       ln,
		toTarget: newDirection(),
		toCaller: newDirection(),
		conns:    make(map[net.Conn]struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the IP:port that the relay listens on.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// Retarget sends new connections to another target.
func (r *Relay) Retarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// CutToTarget holds back all bytes from callers to the target until Heal. Connections
// stay open, as when a network silently drops packets.
func (r *Relay) CutToTarget() { r.toTarget.cut() }

// CutToCaller holds back all bytes from the target to callers until Heal.
func (r *Relay) CutToCaller() { r.toCaller.cut() }

// Cut holds back all bytes in both directions until Heal.
func (r *Relay) Cut() {
	r.CutToTarget()
	r.CutToCaller()
}

// Bytes returns how many bytes have been forwarded in each direction.
func (r *Relay) Bytes() (toTarget, toCaller uint64) {
	return r.toTarget.bytes.Load(), r.toCaller.bytes.Load()
}

// Delay delays each chunk of bytes in both directions.
func (r *Relay) Delay(d time.Duration) {
	r.toTarget.setDelay(d)
	r.toCaller.setDelay(d)
}

// Heal ends cuts and delays. Bytes held back are forwarded.
func (r *Relay) Heal() {
	r.Delay(0)
	r.toTarget.heal()
	r.toCaller.heal()
}

// Down closes all open connections and each new one until Up, as a crash of the target
// process would.
func (r *Relay) Down() {
	r.mu.Lock()
	r.down = true
	r.mu.Unlock()
	r.Reset()
}

// Up ends Down.
func (r *Relay) Up() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
}

// Reset closes all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	r.cancel()
	err := r.ln.Close()
	r.Reset()
	r.wg.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		if !r.track(conn) {
			_ = conn.Close()
			continue
		}
		r.wg.Go(func() { r.serve(conn) })
	}
}

// track registers an open connection. It reports false if the relay is closed or down.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.ctx.Err() != nil {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// serve connects to the target once bytes can reach it and forwards until a
// side closes.
func (r *Relay) serve(caller net.Conn) {
	defer r.untrack(caller)
	if !r.toTarget.wait(r.ctx, time.Now()) {
		return
	}
	r.mu.Lock()
	address := r.target
	r.mu.Unlock()
	target, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	if !r.track(target) {
		_ = target.Close()
		return
	}
	defer r.untrack(target)
	var both sync.WaitGroup
	both.Go(func() { r.forward(target, caller, r.toTarget) })
	both.Go(func() { r.forward(caller, target, r.toCaller) })
	both.Wait()
}

// chunk is a block of bytes and the time at which it was read.
type chunk struct {
	data []byte
	at   time.Time
}

// forward copies bytes in one direction. The end of the stream is cut and delayed like
// bytes.
func (r *Relay) forward(to, from net.Conn, d *direction) {
	queue := make(chan chunk, queuedChunks)
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	go read(ctx, from, queue)
	for c := range queue {
		if !d.wait(ctx, c.at) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		d.bytes.Add(uint64(len(c.data)))
	}
	if d.wait(ctx, time.Now()) {
		closeWrite(to)
	}
}

func read(ctx context.Context, from io.Reader, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{data: buf[:n], at: time.Now()}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// closeWrite forwards the end of a stream; if the connection is already closed or not
// TCP, it closes it completely.
func closeWrite(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok || errors.Is(tcp.CloseWrite(), net.ErrClosed) {
		_ = c.Close()
	}
}
