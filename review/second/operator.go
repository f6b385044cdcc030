package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// operator sends configurations as the pages say: to one control host after the other, a second
// each, until it is acknowledged.
type operator struct {
	run    *run
	client *http.Client

	mu       sync.Mutex
	controls []int // control hosts that it knows
	next     int
}

func (r *run) newOperator(controls ...int) *operator {
	return &operator{run: r, controls: controls, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// know sets the control hosts that serve.
func (o *operator) know(controls ...int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controls = controls
}

func (o *operator) pick() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return o.run.controlAddress(o.controls[o.next%len(o.controls)])
}

// routeOf is a route of a plain service.
type routeOf struct {
	name, prefix, kind, service string
}

// Names on the wire.
const (
	authority = "ficu95.example"
	service   = "ziti2b"
)

// configuration returns a configuration with some routes.
func configuration(version int, routes ...routeOf) []byte {
	var list []map[string]any
	for _, route := range routes {
		list = append(list, map[string]any{
			"name": route.name, "host": authority, "path_prefix": route.prefix, "kind": route.kind, "timeout_ms": 1500,
			"latency_goal_ms": 150, "priority": 1, "service": route.service, "max_attempts": 2, "sticky": false, "resumable": false,
		})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// replace sends a configuration until it is acknowledged, and returns when that was.
func (o *operator) replace(version int, body []byte, within time.Duration) (acked time.Time, ok bool) {
	last, begin, pause := "", time.Now(), 100*time.Millisecond
	for time.Since(begin) < within {
		to := o.pick()
		resp, err := o.client.Post("http://"+to+"/-/Config.Replace", "application/json", bytes.NewReader(body))
		outcome := ""
		if err != nil {
			outcome = "no answer"
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			outcome = fmt.Sprint(resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				o.run.record.log("operator: version %d acknowledged by %s", version, to)
				return time.Now(), true
			}
		}
		if outcome != last {
			o.run.record.log("operator: version %d sent to %s: %s", version, to, outcome)
			last = outcome
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	o.run.record.log("operator: version %d not acknowledged within %v", version, within)
	return time.Time{}, false
}
