package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of the case.
const (
	edges           = 2
	callersPerEdge  = 24
	callerPause     = 10 * time.Millisecond // between two requests of a caller
	prefixMemoryEnd = 100 * time.Second     // after the start of the program
	endsToBreak     = 3                     // ends by memory of each of two machines
	longID          = 15000                 // bytes of the identifier of a part of a prompt
	shortID         = 16
	restartDelay    = 500 * time.Millisecond
)

// plainConfig is a configuration with one route of a plain service. The limits are those of the example of
// PROTOCOL.md.
func plainConfig(version int, kind string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-1", "host": "a.example", "path_prefix": "/book/", "kind": kind, "timeout_ms": 800,
			"latency_goal_ms": 150, "priority": 2, "service": "app", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// answer serves a request of the plain service.
func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Filberthook-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	fmt.Fprint(w, "booked")
}

// startPlain starts the hosts and two workers, and puts the first configuration into force.
func startPlain(d *deployment, controls, entries int) error {
	if err := d.start(controls, entries); err != nil {
		return err
	}
	for n := range 2 {
		if _, err := d.startWorker(n, "app", "", answer); err != nil {
			return err
		}
	}
	if err := d.configure(plainConfig(1, "safe"), 20*time.Second); err != nil {
		return err
	}
	if err := d.ready(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * heartbeat)
	return nil
}

// edgeLoad is what callers of one entry host have seen.
type edgeLoad struct{ sent, served, refused, failed atomic.Int64 }

// call sends requests of one caller until the end.
func (l *edgeLoad) call(front string, caller, idBytes int, end time.Time) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%04x%012x", caller, n)
		req, err := http.NewRequest("GET", "http://"+front+"/book/1", nil)
		if err != nil {
			panic(err) // a fault of this program
		}
		req.Host = "a.example"
		req.Header.Set("Filberthook-Request-Id", id)
		req.Header.Set("Filberthook-Deadline-Ms", "1500")
		req.Header.Set("Filberthook-Prefix-Hash", id+strings.Repeat("0", idBytes-len(id))+":250,1:10")
		resp, err := transport.RoundTrip(req)
		l.sent.Add(1)
		status := 0
		if err == nil {
			if _, err = io.Copy(io.Discard, resp.Body); err == nil {
				status = resp.StatusCode
			}
			resp.Body.Close()
		}
		switch {
		case status == http.StatusOK:
			l.served.Add(1)
		case status > 0:
			l.refused.Add(1)
		default:
			l.failed.Add(1)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(callerPause)
	}
}

// prefixMemory has callers send ordinary requests within the limits whose prompts have parts with long
// identifiers, no two alike. The platform kills a process that uses more than its memory.
func prefixMemory(d *deployment, trouble bool) (int, error) {
	if err := startPlain(d, 3, edges); err != nil {
		return 0, err
	}
	idBytes := shortID
	if trouble {
		idBytes = longID
	}
	record("callers send GET /book/1 with Filberthook-Prefix-Hash: ID:250,1:10, ID of %d bytes, %d callers at each entry host", idBytes, callersPerEdge)
	end := began.Add(prefixMemoryEnd)
	var loads [edges]edgeLoad
	var calling sync.WaitGroup
	for i := range edges {
		for c := range callersPerEdge {
			calling.Go(func() { loads[i].call(d.front(i), i*callersPerEdge+c, idBytes, end) })
		}
	}
	ends := [edges]int{}
	most := [edges]int{}
	broke := false
	for tick := 0; time.Now().Before(end) && !broke; tick++ {
		time.Sleep(100 * time.Millisecond)
		for i, p := range d.entries {
			rss := p.rssMB()
			most[i] = max(most[i], rss)
			if tick%20 == 0 {
				l := &loads[i]
				record("%s: %d MB; requests sent %d, served %d, refused %d, without an answer %d", p.name, rss, l.sent.Load(), l.served.Load(), l.refused.Load(), l.failed.Load())
			}
			if rss <= memoryMB && !p.hasEnded() {
				continue
			}
			ends[i]++
			record("platform: %s uses %d MB of %d MB and is killed, end %d; requests sent to it so far %d", p.name, rss, memoryMB, ends[i], loads[i].sent.Load())
			p.signal(syscall.SIGKILL)
			<-p.ended
			time.Sleep(restartDelay)
			if err := d.exec(p); err != nil {
				return 0, err
			}
		}
		broke = min(ends[0], ends[1]) >= endsToBreak
	}
	if !broke {
		calling.Wait()
	}
	record("ends by memory %v, most MB %v", ends, most)
	fmt.Printf("ends by memory: %v, most MB: %v\n", ends, most)
	if broke {
		return broken, nil
	}
	return held, nil
}
