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

// workTime is how long a worker works on a request, as the sheet of pmr-norte says.
const workTime = 30 * time.Millisecond

// worker is a stand-in for a worker of a plain service.
type worker struct {
	run     *run
	id      string
	address string
	born    int64
	client  *http.Client
	server  *http.Server

	mu       sync.Mutex
	sequence int
	arrivals []arrival
	stop     chan struct{}
	beating  sync.WaitGroup
}

// arrival is a request that a worker has run.
type arrival struct {
	id, path string
	at       time.Time
}

func (r *run) startWorker(n int, id string) (*worker, error) {
	w := &worker{
		run: r, id: id, address: r.address(outer, firstWorker+n, portFront), born: time.Now().UnixMilli(),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }() // ends with Close
	r.onClose(func() { w.server.Close() })
	return w, nil
}

// beat returns the body of the next heartbeat, and its number.
func (w *worker) beat(state string) ([]byte, int) {
	w.mu.Lock()
	w.sequence++
	n := w.sequence
	w.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": "z0", "version": "v1", "slots": 6, "state": state,
		"cold_remaining_ms": 0, "sequence": n, "born": w.born,
	})
	if err != nil {
		panic(err)
	}
	return body, n
}

// call sends a heartbeat or a deregistration to a control host, and reports whether it is acknowledged.
func (w *worker) call(to, method string, body []byte) bool {
	resp, err := w.client.Post("http://"+to+"/-/Instances."+method+"/"+w.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// announce sends heartbeats, each to the first of the control hosts that acknowledges it.
func (w *worker) announce(controls func() []int) {
	w.beating.Add(1)
	go func() {
		defer w.beating.Done()
		for {
			body, _ := w.beat("ready")
			for _, n := range controls() {
				if w.call(w.run.controlAddress(n), "Heartbeat", body) {
					break
				}
			}
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// silence ends the heartbeats.
func (w *worker) silence() {
	close(w.stop)
	w.beating.Wait()
}

// exit ends the worker at once, with the requests that it works on.
func (w *worker) exit() {
	w.server.Close()
	w.run.record.log("worker %s exits", w.id)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Filberthook-Request-Id")
	rw.Header().Set("Filberthook-Request-Id", id)
	if expected := r.Header.Get("Filberthook-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Filberthook-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		rw.Header().Set("Filberthook-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, r.URL.Path, time.Now()})
	w.mu.Unlock()
	w.run.record.log("worker %s runs %s %s (%d bytes)", w.id, id, r.URL.Path, len(body))
	time.Sleep(workTime)
	rw.Header().Set("Filberthook-Server-Stamp", "stamp-"+w.id+"-"+id)
	fmt.Fprintf(rw, "answer to %s by %s", id, w.id)
}

// ran returns the requests that a worker has run since a time.
func (w *worker) ran(since time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []arrival
	for _, a := range w.arrivals {
		if a.at.After(since) {
			out = append(out, a)
		}
	}
	return out
}
