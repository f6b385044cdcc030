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

// Figures of the case. Tokens, goals and times are those of flight-needs on the sheet of pmr-norte.
const (
	callers         = 24
	callerPause     = 10 * time.Millisecond // between two requests of a caller
	outputTokens    = 5
	deadline        = 6 * time.Second
	prefixMemoryEnd = 105 * time.Second      // after the start of the program
	afterKill       = 2 * time.Second        // in which the cut requests are counted
	restartDelay    = 500 * time.Millisecond // of a process that was killed
	maxCut          = 3                      // requests that may be cut
	longID          = 15000                  // bytes of the identifier of a part of a prompt
	shortID         = 16                     // the same without the disruption
	sampleInterval  = 100 * time.Millisecond // of the memory
	recordEvery     = 20                     // samples
)

// prompt is the size of a request to an engine.
type prompt struct {
	sharedTokens, ownTokens, bodyBytes int
	idBytes                            int // of the identifier of its shared part
}

// lmConfig is a configuration with one route to model engines, as in the example of PROTOCOL.md.
func lmConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-1", "host": "a.example", "path_prefix": "/needs/", "kind": "streaming", "timeout_ms": 6000,
			"latency_goal_ms": 1000, "priority": 0, "service": "lm", "max_attempts": 2, "sticky": true, "resumable": true, "gap_goal_ms": 250}},
		"services": []any{map[string]any{"name": "lm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_tokens": 505550, "kv_token_bytes": 327680, "link_mbps": 3800000.0, "moves": true, "backups": true,
				"stride": 10, "most": 12, "kv_ttl_s": 5.0, "switch_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// seen is what engines and callers have seen.
type seen struct {
	arrived                             sync.Map // by id, where the request arrived last
	sent, served, refused, broken, lost atomic.Int64
	cut                                 atomic.Int64 // from kept connections, passed on, and ended without an answer
	headBytes                           atomic.Int64 // of the largest head
}

// arrive records that an engine works on a request.
func (s *seen) arrive(id, engine, step string) { s.arrived.Store(id, step+" at "+engine) }

// call has a caller send one request after the other on a kept connection until ctx ends.
func (s *seen) call(ctx context.Context, front string, caller int, p prompt) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		s.request(transport, front, fmt.Sprintf("%04x%012x", caller, n), p)
		time.Sleep(callerPause)
	}
}

// request sends one request and records what came of it.
func (s *seen) request(transport *http.Transport, front, id string, p prompt) {
	kept := false
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused },
	})
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+front+"/needs/1", bytes.NewReader(bytes.Repeat([]byte("b"), p.bodyBytes)))
	if err != nil {
		panic(err) // a fault of this program
	}
	req.GetBody = nil // the transport sends nothing again
	req.Host = "a.example"
	req.Header.Set("Filberthook-Request-Id", id)
	req.Header.Set("Filberthook-Deadline-Ms", "6000")
	req.Header.Set("Filberthook-Model", "m")
	req.Header.Set("Filberthook-Token-Usage", fmt.Sprintf("%d,%d", p.sharedTokens+p.ownTokens, outputTokens))
	req.Header.Set("Filberthook-Prefix-Hash", fmt.Sprintf("%s%s:%d,%s:%d", id, strings.Repeat("0", p.idBytes-len(id)), p.sharedTokens, id, p.ownTokens))
	var head bytes.Buffer
	_ = req.Header.Write(&head)                                                             // writes to a buffer do not fail
	s.headBytes.Store(max(s.headBytes.Load(), int64(head.Len()+len(req.URL.Path)+len(id)))) // without what the transport adds
	s.sent.Add(1)
	sentAt := time.Since(began).Seconds()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.noteUnanswered(id, sentAt, kept, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	events := bytes.Count(body, []byte("id: "))
	at, _ := s.arrived.Load(id)
	result := "served"
	switch {
	case resp.StatusCode == http.StatusOK && err == nil && events == outputTokens:
		s.served.Add(1)
	case resp.StatusCode == http.StatusOK:
		s.broken.Add(1)
		result = "broken off"
	default:
		s.refused.Add(1)
		result = "not served"
	}
	record("request %s sent at %.3f, %v: %s, status %d, %d events, error %v", id, sentAt, at, result, resp.StatusCode, events, err)
}

// noteUnanswered records a request that ended without an answer. One whose time was over is none that
// the entry host closed.
func (s *seen) noteUnanswered(id string, sentAt float64, kept bool, err error) {
	s.lost.Add(1)
	at, passedOn := s.arrived.Load(id)
	result := "without an answer"
	if kept && passedOn && !errors.Is(err, context.DeadlineExceeded) {
		s.cut.Add(1)
		result = "CUT without an answer"
	}
	record("request %s sent at %.3f, %v: %s, kept connection %v, error %v", id, sentAt, at, result, kept, err)
}

// prefixMemory has callers send requests within the limits whose prompts have parts with long identifiers, no
// two alike. The platform kills a process that uses more than its memory.
func prefixMemory(d *deployment, trouble bool) (int, error) {
	s := &seen{}
	if err := d.start(4, 1); err != nil {
		return 0, err
	}
	if err := d.startEngines(s); err != nil {
		return 0, err
	}
	if err := d.configure(lmConfig(), 20*time.Second); err != nil {
		return 0, err
	}
	if err := d.ready(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * heartbeat)
	needs := prompt{sharedTokens: 350, ownTokens: 1110, bodyBytes: 1500, idBytes: shortID}
	if trouble {
		needs.idBytes = longID
	}
	record("%d callers, identifiers of %d bytes", callers, needs.idBytes)
	ctx, stop := context.WithDeadline(context.Background(), began.Add(prefixMemoryEnd))
	defer stop()
	var calling sync.WaitGroup
	for c := range callers {
		calling.Go(func() { s.call(ctx, d.front(0), c, needs) })
	}
	edge, most, killed := d.entries[0], 0, false
	for sample := 0; ctx.Err() == nil && !killed; sample++ {
		time.Sleep(sampleInterval)
		used := edge.anonymousMB()
		most = max(most, used)
		if sample%recordEvery == 0 {
			record("%s: %d MB, %.1f s of processor time; requests sent %d, served %d, not served %d, broken off %d, without an answer %d", edge.name, used, edge.processorTime(), s.sent.Load(), s.served.Load(), s.refused.Load(), s.broken.Load(), s.lost.Load())
		}
		if edge.hasEnded() {
			return 0, errors.New("the entry host has ended by itself")
		}
		if killed = used > memoryMB; killed {
			record("platform: %s uses %d MB of %d MB and is killed, after %d requests", edge.name, used, memoryMB, s.sent.Load())
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
	summary := fmt.Sprintf("killed for its memory: %v, most %d MB; sent %d, served %d, not served %d, broken off %d, without an answer %d, of these cut after they were passed on from kept connections %d; largest head %d bytes",
		killed, most, s.sent.Load(), s.served.Load(), s.refused.Load(), s.broken.Load(), s.lost.Load(), s.cut.Load(), s.headBytes.Load())
	record("%s", summary)
	fmt.Println(summary)
	if s.served.Load() == 0 {
		return 0, errors.New("nothing was served")
	}
	if s.cut.Load() > maxCut {
		return broken, nil
	}
	return held, nil
}
