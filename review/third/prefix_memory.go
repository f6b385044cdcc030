package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	callers         = 16
	callerPause     = 10 * time.Millisecond  // between two requests of a caller
	workTime        = 30 * time.Millisecond  // of escort-booking and booking-lookup on the sheet
	bookingBytes    = 600                    // of a body
	plainWorkers    = 4                      // on the sheet
	prefixMemoryEnd = 105 * time.Second      // after the start of the program
	afterKill       = 2 * time.Second        // in which the cut requests are counted
	restartDelay    = 500 * time.Millisecond // of a process that was killed
	maxCut          = 3                      // requests that may be cut
	longID          = 15000                  // bytes of the identifier of a part of a prompt
	shortID         = 16                     // the same without the disruption
	sampleInterval  = 100 * time.Millisecond // of the memory
	recordEvery     = 20                     // samples
)

// plainConfig is a configuration with one route of a plain service. The limits are those of the example of
// PROTOCOL.md, the route is that of escort-booking.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-1", "host": "a.example", "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 800,
			"latency_goal_ms": 150, "priority": 2, "service": "app", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startPlain starts the hosts and the workers, and puts the first configuration into force.
func startPlain(d *deployment, controls, entries int, handler http.HandlerFunc) error {
	if err := d.start(controls, entries); err != nil {
		return err
	}
	for n := range plainWorkers {
		if _, err := d.startWorker(n, "app", "", handler); err != nil {
			return err
		}
	}
	if err := d.configure(plainConfig(), 20*time.Second); err != nil {
		return err
	}
	if err := d.ready(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * heartbeat)
	return nil
}

// bookings is what workers and callers have seen.
type bookings struct {
	begun                       sync.Map // ids of requests that a worker runs or has run
	ended                       sync.Map // ids of requests that a worker has run to the end
	sent, served, refused, lost atomic.Int64
	cut                         atomic.Int64 // from kept connections, begun, and ended without an answer
}

// work runs a booking.
func (b *bookings) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Filberthook-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.begun.Store(id, true)
	time.Sleep(workTime)
	b.ended.Store(id, true)
	w.Header().Set("Filberthook-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	fmt.Fprint(w, "booked")
}

// call has a caller send one booking after the other on a kept connection until ctx ends.
func (b *bookings) call(ctx context.Context, front string, caller, idBytes int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	body := bytes.Repeat([]byte("b"), bookingBytes)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%04x%012x", caller, n)
		kept := false
		traced := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused },
		})
		traced, cancel := context.WithTimeout(traced, 1500*time.Millisecond)
		req, err := http.NewRequestWithContext(traced, "POST", "http://"+front+"/book/1", bytes.NewReader(body))
		if err != nil {
			panic(err) // a fault of this program
		}
		req.GetBody = nil // the transport sends nothing again
		req.Host = "a.example"
		req.Header.Set("Filberthook-Request-Id", id)
		req.Header.Set("Filberthook-Deadline-Ms", "1500")
		req.Header.Set("Filberthook-Prefix-Hash", id+strings.Repeat("0", idBytes-len(id))+":250,1:10")
		b.sent.Add(1)
		resp, err := transport.RoundTrip(req)
		status := 0
		if err == nil {
			if _, err = io.Copy(io.Discard, resp.Body); err == nil {
				status = resp.StatusCode
			}
			resp.Body.Close()
		}
		switch {
		case status == http.StatusOK:
			b.served.Add(1)
		case status > 0:
			b.refused.Add(1)
		default:
			b.noteLost(id, kept, err)
		}
		cancel()
		time.Sleep(callerPause)
	}
}

// noteLost records a request that ended without an answer.
func (b *bookings) noteLost(id string, kept bool, err error) {
	b.lost.Add(1)
	_, begun := b.begun.Load(id)
	if timeout := errors.Is(err, context.DeadlineExceeded); kept && begun && !timeout {
		b.cut.Add(1)
		record("caller: request %s on a kept connection ended without an answer: %v; a worker had begun it", id, err)
		return
	}
	if b.lost.Load() < 100 {
		record("caller: request %s ended without an answer: %v; kept connection %v, begun %v", id, err, kept, begun)
	}
}

// prefixMemory has callers send bookings within the limits whose prompts have parts with long identifiers, no
// two alike. The platform kills a process that uses more than its memory.
func prefixMemory(d *deployment, trouble bool) (int, error) {
	b := &bookings{}
	if err := startPlain(d, 3, 1, b.work); err != nil {
		return 0, err
	}
	idBytes := shortID
	if trouble {
		idBytes = longID
	}
	record("%d callers send POST /book/1 with Filberthook-Prefix-Hash: ID:250,1:10, ID of %d bytes", callers, idBytes)
	ctx, stop := context.WithDeadline(context.Background(), began.Add(prefixMemoryEnd))
	defer stop()
	var calling sync.WaitGroup
	for c := range callers {
		calling.Go(func() { b.call(ctx, d.front(0), c, idBytes) })
	}
	edge, most, killed := d.entries[0], 0, false
	for sample := 0; ctx.Err() == nil && !killed; sample++ {
		time.Sleep(sampleInterval)
		used := edge.anonymousMB()
		most = max(most, used)
		if sample%recordEvery == 0 {
			record("%s: %d MB; requests sent %d, served %d, refused %d, without an answer %d", edge.name, used, b.sent.Load(), b.served.Load(), b.refused.Load(), b.lost.Load())
		}
		if edge.hasEnded() {
			return 0, errors.New("the entry host has ended by itself")
		}
		if killed = used > memoryMB; killed {
			record("platform: %s uses %d MB of %d MB and is killed, after %d requests", edge.name, used, memoryMB, b.sent.Load())
			edge.signal(syscall.SIGKILL)
		}
	}
	if killed {
		<-edge.ended
		time.Sleep(restartDelay)
		if err := d.exec(edge); err != nil {
			return 0, err
		}
		time.Sleep(afterKill)
		stop()
	}
	calling.Wait()
	record("killed %v, most %d MB, sent %d, served %d; cut from kept connections while a worker ran them: %d", killed, most, b.sent.Load(), b.served.Load(), b.cut.Load())
	fmt.Printf("killed for its memory: %v, most %d MB, requests sent %d, cut %d\n", killed, most, b.sent.Load(), b.cut.Load())
	if b.cut.Load() > maxCut {
		return broken, nil
	}
	return held, nil
}
