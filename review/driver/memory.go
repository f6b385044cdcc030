package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// Load of the memory case. Bodies are as long as the configuration's limits allow. All uploads
// together stay under uploadRate. The entry host sends each body once more, to a worker, and both
// together are below its link of 1,000 Mbit/s, also if the two directions share it.
const (
	bodyBytes    = 4 << 20
	usualClients = 38
	burstClients = 72 // 1.9 times as many, for burstFor
	workTime     = 3500 * time.Millisecond
	routeTimeout = 6 * time.Second
	clientTime   = 6 * time.Second
	burstAt      = 14 * time.Second
	burstFor     = 10 * time.Second
	uploadRate   = 58_000_000 // bytes per second
	restartDelay = 500 * time.Millisecond
	cutAllowed   = 3 // of rule LOST
)

// memoryCase has clients send bodies within the limits, and a burst of 1.9 times as many clients.
// The platform's stand-in kills the entry host when it uses more memory than its machine has.
func memoryCase(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 3, 1)
	if err != nil {
		return couldNot, err
	}
	defer c.close()
	m := &memoryRun{record: rec, cluster: c, limiter: &limiter{}}
	for n := range 4 {
		w, err := c.startWorker(n, "charter", "", 64, m.serve)
		if err != nil {
			return couldNot, err
		}
		defer w.close()
	}
	err = c.configure(map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r-charter", "host": routeHost, "path_prefix": "/charter/", "kind": "safe", "timeout_ms": routeTimeout.Milliseconds(),
			"latency_goal_ms": routeTimeout.Milliseconds(), "priority": 1, "service": "charter", "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": "charter", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second) // contact_ms
	return m.play(trouble), nil
}

type memoryRun struct {
	record  *recorder
	cluster *cluster
	limiter *limiter

	mu     sync.Mutex
	passed map[string]bool // ids that reached a worker
	cut    int             // passed on from a kept connection, closed without an answer
	served int
	others int // other outcomes than 200
	ends   int // ends of the entry host over its memory
}

// serve is a sound worker that answers within the route's time.
func (m *memoryRun) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Filberthook-Request-Id")
	m.mu.Lock()
	if m.passed == nil {
		m.passed = map[string]bool{}
	}
	m.passed[id] = true
	m.mu.Unlock()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	m.record.log("worker runs %s, body of %d bytes", id, n)
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		m.record.log("worker: connection of %s closed", id)
		return
	}
	rw.Header().Set("Filberthook-Server-Stamp", "stamp-"+id)
	fmt.Fprintf(rw, "answer to %s", id)
}

func (m *memoryRun) play(trouble bool) int {
	begin := time.Now()
	end := begin.Add(burstAt + burstFor)
	ctx, stop := context.WithCancel(context.Background())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		m.watchMemory(ctx)
	}()
	var clients sync.WaitGroup
	for i := range usualClients {
		clients.Go(func() {
			time.Sleep(workTime * time.Duration(i) / usualClients)
			m.client(fmt.Sprint("usual-", i), end)
		})
	}
	if trouble {
		more := burstClients - usualClients
		time.Sleep(time.Until(begin.Add(burstAt)))
		m.record.log("burst: %d more clients", more)
		for i := range more {
			clients.Go(func() {
				time.Sleep(workTime * time.Duration(i) / time.Duration(more))
				m.client(fmt.Sprint("burst-", i), end)
			})
		}
	}
	clients.Wait()
	stop()
	<-watched
	m.record.log("served %d, other outcomes %d, ends of the entry host over its memory %d", m.served, m.others, m.ends)
	m.record.log("LOST: %d requests from kept connections were passed on to a sound worker and their connection closed without an answer; %d allowed", m.cut, cutAllowed)
	if m.cut > cutAllowed {
		return broken
	}
	return held
}

// watchMemory does what the platform does: it kills a process that uses more memory than its
// machine has, and starts it again.
func (m *memoryRun) watchMemory(ctx context.Context) {
	h, peak := m.cluster.entries[0], 0
	defer func() { m.record.log("platform: %s used %d MB at most", h.name, peak) }()
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		used := h.memory()
		peak = max(peak, used)
		if used <= memoryMB {
			continue
		}
		m.record.log("platform: %s uses %d MB of %d and is killed", h.name, used, memoryMB)
		m.ends++
		h.signal(syscall.SIGKILL)
		<-h.ended
		time.Sleep(restartDelay)
		if err := m.cluster.start(h); err != nil {
			m.record.log("%v", err)
			return
		}
	}
}

// client sends requests over one kept connection until the end.
func (m *memoryRun) client(name string, end time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	for n := 0; time.Now().Before(end); n++ {
		if !m.send(client, fmt.Sprint(name, "-", n), body) {
			time.Sleep(time.Second)
		}
	}
}

func (m *memoryRun) send(client *http.Client, id string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }})
	address := fmt.Sprintf("http://%s:%d/charter/file", m.cluster.entries[0].ip, publicPort)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, &pacedBody{bytes.NewReader(body), m.limiter})
	if err != nil {
		m.record.log("%s: %v", id, err)
		return false
	}
	r.ContentLength, r.Host = int64(len(body)), routeHost
	r.Header.Set("Filberthook-Request-Id", id)
	r.Header.Set("Filberthook-Deadline-Ms", fmt.Sprint(clientTime.Milliseconds()))
	m.record.log("client sends %s", id)
	resp, err := client.Do(r)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if status == http.StatusOK && err == nil {
		m.served++
		m.record.log("client got 200 for %s", id)
		return true
	}
	m.others++
	closed := status == 0 && ctx.Err() == nil
	if closed && kept && m.passed[id] {
		m.cut++
	}
	m.record.log("client got status %d for %s: kept connection %v, passed on %v, connection closed %v: %v", status, id, kept, m.passed[id], closed, err)
	return false
}

// limiter paces all uploads together.
type limiter struct {
	mu   sync.Mutex
	next time.Time
}

func (l *limiter) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	until := l.next
	l.next = l.next.Add(time.Duration(n) * time.Second / uploadRate)
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// pacedBody is a body that is sent at the pace of a limiter.
type pacedBody struct {
	from    *bytes.Reader
	limiter *limiter
}

func (p *pacedBody) Read(b []byte) (int, error) {
	n, err := p.from.Read(b[:min(len(b), 64<<10)])
	p.limiter.wait(n)
	return n, err
}
