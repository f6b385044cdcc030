package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines, from the sheet of pmr-norte.
const (
	switchTime       = 3 * time.Second // a change of stage
	eventPause       = 20 * time.Millisecond
	events           = 5
	prefillPerSecond = 63900 // tokens
)

// engine is a stand-in for a model worker.
type engine struct {
	run     *run
	id      string
	address string
	born    int64
	client  *http.Client
	server  *http.Server

	mu       sync.Mutex
	sequence int
	state    string
	stage    string
	limit    float64 // requests a second that it names in its answers, 0 for none
	handles  int
	free     time.Time // when all prompts that wait here have been read
	changing bool      // of the stage
	arrivals []arrival // runs, not prefills
	stop     chan struct{}
	beating  sync.WaitGroup
}

func (r *run) startEngine(n int, id, stage string) (*engine, error) {
	e := &engine{
		run: r, id: id, address: r.address(outer, firstWorker+n, portFront), born: time.Now().UnixMilli(), state: "ready", stage: stage,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }() // ends with Close
	r.onClose(func() { close(e.stop); e.beating.Wait(); e.server.Close() })
	return e, nil
}

// beat sends a heartbeat to a control host, and reports whether it is acknowledged.
func (e *engine) beat(to string) bool {
	e.mu.Lock()
	e.sequence++
	body, err := json.Marshal(map[string]any{
		"service": modelService, "address": e.address, "zone": "z0", "version": "v1", "slots": 64, "state": e.state,
		"cold_remaining_ms": 0, "stage": e.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": e.sequence, "born": e.born,
	})
	e.mu.Unlock()
	if err != nil {
		panic(err)
	}
	resp, err := e.client.Post("http://"+to+"/-/Instances.Heartbeat/"+e.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

func (e *engine) announce(to string) {
	e.beating.Add(1)
	go func() {
		defer e.beating.Done()
		for {
			e.beat(to)
			select {
			case <-e.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// drain reports that the engine leaves, and returns when that was acknowledged.
func (e *engine) drain(to string) (acked time.Time, ok bool) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	ok = e.beat(to)
	e.run.record.log("engine %s: draining, acknowledged by %s: %v", e.id, to, ok)
	return time.Now(), ok
}

func (e *engine) stageNow() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage
}

// name has the engine name a limit in its answers from now on.
func (e *engine) name(limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Filberthook-Request-Id")
	rw.Header().Set("Filberthook-Request-Id", id)
	if expected := r.Header.Get("Filberthook-Expect-Instance"); expected != "" && expected != e.id {
		rw.Header().Set("Filberthook-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/order":
		e.order(rw, body)
		return
	case r.Method == http.MethodDelete:
		return // frees a handle
	}
	e.mu.Lock()
	stage, limit, changing := e.stage, e.limit, e.changing
	e.mu.Unlock()
	if limit > 0 {
		rw.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', 1, 64))
	}
	if changing {
		rw.Header().Set("Filberthook-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	prefill := r.Header.Get("Filberthook-Stage") == "prefill"
	if prefill != (stage == "prefill") {
		rw.Header().Set("Filberthook-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Filberthook-Server-Stamp", "stamp-"+e.id+"-"+id)
	if prefill {
		e.prefill(rw, r)
		return
	}
	e.decode(rw, r, id)
}

func (e *engine) order(rw http.ResponseWriter, body []byte) {
	var o struct {
		Op, Stage, Holder string
		Fence             uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.changing:
		rw.WriteHeader(http.StatusConflict)
		return
	case e.stage == o.Stage:
		return // it already holds
	}
	e.changing = true
	e.run.record.log("engine %s: order to change to %s by %s, fence %d", e.id, o.Stage, o.Holder, o.Fence)
	time.AfterFunc(switchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stage, e.changing = o.Stage, false
	})
	rw.WriteHeader(http.StatusAccepted)
}

func (e *engine) prefill(rw http.ResponseWriter, r *http.Request) {
	in, _, _ := strings.Cut(r.Header.Get("Filberthook-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(in)
	e.mu.Lock() // prompts of the same priority, in the order of their arrival
	if now := time.Now(); e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(time.Duration(tokens) * time.Second / prefillPerSecond)
	read := time.Until(e.free)
	e.mu.Unlock()
	select {
	case <-time.After(read):
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	e.handles++
	handle := fmt.Sprintf("%s-%x-%d", e.id, e.born, e.handles)
	e.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(rw, `{"kv_handle":%q,"tokens":%d,"version":1}`, handle, tokens)
}

func (e *engine) decode(rw http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id, r.URL.Path, time.Now()})
	e.mu.Unlock()
	e.run.record.log("engine %s runs %s %s", e.id, id, r.URL.Path)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Filberthook-Weight-Versions", "1")
	for n := range events {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n+1, n+1); err != nil {
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// ran returns the requests that have reached the engine since a time.
func (e *engine) ran(since time.Time) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []arrival
	for _, a := range e.arrivals {
		if a.at.After(since) {
			out = append(out, a)
		}
	}
	return out
}

// modelService is the name of the model workers' service on the wire.
const modelService = "seny25a"

// modelConfiguration returns a configuration with one route, that of shift-handover on the sheet of pmr-norte.
func modelConfiguration(version int) []byte {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-m", "host": authority, "path_prefix": "/m/", "kind": "streaming", "timeout_ms": 3000, "latency_goal_ms": 1000,
			"priority": 1, "service": modelService, "max_attempts": 1, "sticky": true, "resumable": false, "gap_goal_ms": 250,
		}},
		"services": []map[string]any{{
			"name": modelService, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_tokens": 505550, "kv_token_bytes": 327680, "link_mbps": 3800000.0, "moves": true, "backups": true, "stride": 10, "most": 12,
				"kv_ttl_s": 5.0, "switch_s": switchTime.Seconds(), "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// prompt sends a prompt of some tokens, and returns the status of the answer, 0 for none.
func (c *client) prompt(to, path string, tokens int) int {
	id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+c.count.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+to+path, strings.NewReader("prompt of "+id))
	if err != nil {
		panic(err)
	}
	req.Host = authority
	req.Header.Set("Filberthook-Request-Id", id)
	req.Header.Set("Filberthook-Deadline-Ms", "3000")
	req.Header.Set("Filberthook-Model", "m")
	req.Header.Set("Filberthook-Token-Usage", fmt.Sprintf("%d,50", tokens))
	req.Header.Set("Filberthook-Prefix-Hash", fmt.Sprintf("%x:%d", 0x5c1e0000+c.count.Load(), tokens))
	caller := &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := caller.Do(req)
	if err != nil {
		c.run.record.log("client: %s %s, %d tokens: no answer", id, path, tokens)
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	c.run.record.log("client: %s %s, %d tokens: %d, %d events", id, path, tokens, resp.StatusCode, strings.Count(string(text), "data:"))
	return resp.StatusCode
}
