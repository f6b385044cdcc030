package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// plainConfig is a configuration with one route of a plain service.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-1", "host": "a.example", "path_prefix": "/book/", "kind": "safe", "timeout_ms": 800,
			"latency_goal_ms": 150, "priority": 2, "service": "app", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startPlain starts the hosts and two workers of a plain service, and puts the first configuration into force.
func startPlain(d *deployment, controls, entries int) error {
	if err := d.start(controls, entries); err != nil {
		return err
	}
	for n := range 2 {
		work := func(w http.ResponseWriter, r *http.Request) {
			record("worker %d runs %s %s, id %s", n, r.Method, r.RequestURI, r.Header.Get("Filberthook-Request-Id"))
			w.Header().Set("Filberthook-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
			fmt.Fprint(w, "booked")
		}
		if _, err := d.startWorker(n, "app", "", work); err != nil {
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

// exchange sends a request as text on a new connection and returns the answer.
func exchange(front, method, target, id string) (*http.Response, []byte, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nFilberthook-Request-Id: %s\r\nFilberthook-Deadline-Ms: 1500\r\n\r\n", method, target, id); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// options has callers send OPTIONS requests: one that a worker answers, one of a route that never
// existed, and as the disruption one with the target *, which no route has either.
func options(d *deployment, trouble bool) (int, error) {
	if err := startPlain(d, 4, 2); err != nil {
		return 0, err
	}
	targets := []string{"/book/1", "/never/1"}
	if trouble {
		targets = append(targets, "*")
	}
	unsigned := 0
	for i := range d.entries {
		for n, target := range targets {
			id := fmt.Sprintf("%04x%04x", i, n)
			resp, body, err := exchange(d.front(i), "OPTIONS", target, id)
			if err != nil {
				return 0, err
			}
			stamp := resp.Header.Get("Filberthook-Server-Stamp")
			record("caller to edge-%d: OPTIONS %s, id %s: %d, stamp %q, body %q, header %v", i, target, id, resp.StatusCode, stamp, body, resp.Header)
			if resp.StatusCode/100 == 2 && stamp == "" {
				unsigned++
			}
			if target == "/book/1" && (resp.StatusCode != http.StatusOK || stamp == "") {
				return 0, fmt.Errorf("the worker did not answer: %d", resp.StatusCode)
			}
		}
	}
	record("successes without the stamp of a worker: %d", unsigned)
	if unsigned > 0 {
		return broken, nil
	}
	return held, nil
}
