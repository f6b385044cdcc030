package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the pages, and how long the operator tries.
const (
	contact      = 3 * time.Second
	ackBound     = 4 * time.Second
	lossAfter    = 200 * time.Millisecond // from the start of the machine that is lost
	successorIn  = time.Second            // replace_core: x = 1
	operatorTime = 40 * time.Second
)

// firstStartCase starts the system for the first time. With trouble, one control machine is lost
// for good right after its start, and an empty one comes at another address a second later.
func firstStartCase(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 4, 2)
	if err != nil {
		return couldNot, err
	}
	defer c.close()
	var served, sent, answered atomic.Int64
	for n := range 2 {
		w, err := c.startWorker(n, "saksverk", "", 6, func(rw http.ResponseWriter, r *http.Request) {
			served.Add(1)
			rw.Header().Set("Filberthook-Server-Stamp", "stamp")
			fmt.Fprint(rw, "answer")
		})
		if err != nil {
			return couldNot, err
		}
		defer w.close()
	}
	calm := time.Now()
	if trouble {
		time.Sleep(lossAfter)
		controls := c.controlHosts()
		lost := controls[0]
		lost.signal(syscall.SIGKILL)
		<-lost.ended
		rec.log("platform: %s is gone for good", lost.name)
		c.setControls(controls[1:])
		time.Sleep(successorIn)
		if err := c.addSuccessor(); err != nil {
			return couldNot, err
		}
		calm = time.Now()
	}
	calm = calm.Add(contact) // the core is stable from here on: all of its machines run and are connected
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	clients := make(chan struct{})
	go func() {
		defer close(clients)
		for n := 0; ctx.Err() == nil; n++ {
			sent.Add(1)
			if c.get(c.entries[n%2], n) {
				answered.Add(1)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
	acked, err := c.operate(calm, operatorTime)
	if err != nil {
		return couldNot, err
	}
	stop()
	<-clients
	rec.log("clients sent %d requests and got %d answers of workers; workers ran %d", sent.Load(), answered.Load(), served.Load())
	if acked || answered.Load() > 0 {
		return held, nil
	}
	rec.log("Acks: acknowledged %v within %v of a stable core, %v allowed; Fault: %d requests served", acked, operatorTime, ackBound, answered.Load())
	return broken, nil
}

// addSuccessor starts an empty control machine at a new address, which joins the others.
func (c *cluster) addSuccessor() error {
	controls := c.controlHosts()
	var seeds []string
	for _, h := range controls {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", h.ip, publicPort)))
	}
	h := &host{name: "core-5", kind: "control", ip: c.ip(14)}
	text, err := os.ReadFile(controls[0].settings)
	if err != nil {
		return err
	}
	old := controls[0]
	lines := strings.Split(strings.NewReplacer(old.name, h.name, old.ip+":", h.ip+":", filepath.Join(c.dir, old.name), filepath.Join(c.dir, h.name)).Replace(string(text)), "\n")
	for i, line := range lines {
		switch {
		case strings.HasPrefix(line, "seeds"):
			lines[i] = "seeds = [" + strings.Join(seeds, ",") + "]"
		case strings.HasPrefix(line, "bootstrap"):
			lines[i] = "bootstrap = false"
		case strings.HasPrefix(line, "zone = "):
			lines[i] = `zone = "z0"`
		}
	}
	if err := c.add(h, strings.Join(lines, "\n")); err != nil {
		return err
	}
	c.setControls(append(controls, h))
	return nil
}

// operate sends the first configuration, which is resent to any node until it is accepted. It
// reports whether that happened within a time after the core was stable.
func (c *cluster) operate(calm time.Time, within time.Duration) (bool, error) {
	body, err := json.Marshal(map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r-sak", "host": routeHost, "path_prefix": "/sak/", "kind": "safe", "timeout_ms": 600,
			"latency_goal_ms": 100, "priority": 1, "service": "saksverk", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "saksverk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return false, err
	}
	client := &http.Client{Timeout: time.Second} // then callers move on to another node
	backoff := 100 * time.Millisecond
	for n := 0; time.Now().Before(calm.Add(within)); n++ {
		controls := c.controlHosts()
		h := controls[n%len(controls)]
		resp, err := client.Post(fmt.Sprintf("http://%s:%d/-/Config.Replace", h.ip, publicPort), "application/json", bytes.NewReader(body))
		if err != nil {
			c.record.log("operator: no answer of %s: %v", h.name, err)
		} else {
			text, _ := io.ReadAll(resp.Body) // a part of it is enough for the record
			resp.Body.Close()
			c.record.log("operator: %s answers %d %s", h.name, resp.StatusCode, strings.TrimSpace(string(text)))
			if resp.StatusCode == http.StatusOK {
				c.record.log("operator: acknowledged, %.1f s after the core was stable", time.Since(calm).Seconds())
				time.Sleep(4 * time.Second) // config_apply_ms, and some requests
				return true, nil
			}
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return false, nil
}

// get sends a request as a client does and reports whether a worker answered it.
func (c *cluster) get(h *host, n int) bool {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/sak/%d", h.ip, publicPort, n), nil)
	if err != nil {
		return false
	}
	r.Host, r.Close = routeHost, true
	r.Header.Set("Filberthook-Request-Id", fmt.Sprint("client-", n))
	r.Header.Set("Filberthook-Deadline-Ms", "600")
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		c.record.log("client-%d at %s: %v", n, h.name, err)
		return false
	}
	text, _ := io.ReadAll(resp.Body) // a part of it is enough for the record
	resp.Body.Close()
	c.record.log("client-%d at %s: status %d %s", n, h.name, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode == http.StatusOK && resp.Header.Get("Filberthook-Server-Stamp") != ""
}
