package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker that announces itself and serves requests.
type worker struct {
	cluster *cluster
	id      string
	service string
	address string
	stage   string // empty for a plain service
	slots   int
	born    int64
	serve   http.HandlerFunc

	mu       sync.Mutex
	sequence int
	state    string
	server   *http.Server
	stop     chan struct{}
	stopped  bool
}

func (c *cluster) startWorker(n int, service, stage string, slots int, serve http.HandlerFunc) (*worker, error) {
	w := &worker{
		cluster: c, id: fmt.Sprintf("i-%08x", 0x1000+n), service: service, stage: stage, slots: slots, state: "ready",
		address: c.address(100+n, publicPort), born: time.Now().UnixMilli(), serve: serve, stop: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }() // ends with close
	go w.announce()
	return w, nil
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		close(w.stop)
		w.server.Close()
	}
}

// announce sends heartbeats to one control host, and to the next one after a failure.
func (w *worker) announce() {
	client := &http.Client{Timeout: time.Second}
	at := int(w.born % 1000)
	for {
		if !w.beat(client, at) {
			at++
			select {
			case <-w.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) beat(client *http.Client, at int) bool {
	w.mu.Lock()
	w.sequence++
	message := map[string]any{
		"service": w.service, "address": w.address, "zone": "z0", "version": "v1", "slots": w.slots, "state": w.state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.stage != "" {
		message["stage"] = w.stage
		message["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	w.mu.Unlock()
	body, err := json.Marshal(message)
	if err != nil {
		return false
	}
	controls := w.cluster.controlHosts()
	h := controls[at%len(controls)]
	resp, err := client.Post(fmt.Sprintf("http://%s:%d/-/Instances.Heartbeat/%s", h.ip, publicPort, w.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP answers what concerns every worker and hands requests on.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Filberthook-Request-Id"); id != "" {
		rw.Header().Set("Filberthook-Request-Id", id)
	}
	if r.Method == http.MethodDelete && len(r.URL.Path) > 3 && r.URL.Path[:3] == "/-/" {
		return
	}
	if r.URL.Path == "/-/order" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("Filberthook-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.serve(rw, r)
}
