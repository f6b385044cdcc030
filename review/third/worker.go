package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker of the pages: it sends heartbeats and serves requests.
type worker struct {
	id, service, address, zone string
	slots                      int
	state                      string
	born                       int64
	stage                      string // empty for a plain service
	handler                    http.HandlerFunc

	mu       sync.Mutex
	sequence uint64
	stopped  chan struct{}
	server   *http.Server
}

// startWorker starts a worker at an address of its own.
func (d *deployment) startWorker(n int, service, stage string, handler http.HandlerFunc) (*worker, error) {
	w := &worker{id: fmt.Sprintf("i-%04x%04x", n, time.Now().UnixMilli()&0xffff), service: service, address: d.at(100+n, portWorker), zone: fmt.Sprintf("z%d", n%3), slots: 64,
		state: "ready", born: time.Now().UnixMilli(), stage: stage, handler: handler, stopped: make(chan struct{})}
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(ln) }()
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	go w.beats(d)
	return w, nil
}

// ServeHTTP refuses what is meant for another worker.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Filberthook-Request-Id"); id != "" {
		out.Header().Set("Filberthook-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		out.Header().Set("Filberthook-Instance-Id", w.id)
		return
	}
	if expected := r.Header.Get("Filberthook-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Filberthook-Not-Executed", "1")
		out.WriteHeader(421)
		return
	}
	w.handler(out, r)
}

// beats sends heartbeats, each to the next control host after a failure.
func (w *worker) beats(d *deployment) {
	for n := 0; ; {
		select {
		case <-w.stopped:
			return
		default:
		}
		if err := w.beat(d.controlAddress(n % len(d.controls))); err != nil {
			n++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeat)
	}
}

func (w *worker) beat(control string) error {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": w.state, "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born}
	if w.stage != "" {
		body["stage"] = w.stage
		body["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	w.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	status, _, err := call("POST", "http://"+control+"/-/Instances.Heartbeat/"+w.id, data, time.Second)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

func (w *worker) stop() {
	close(w.stopped)
	w.server.Close()
}
