package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests to the front of an entry host.
type client struct {
	run   *run
	http  *http.Client
	count atomic.Int64
}

func (r *run) newClient() *client {
	return &client{run: r, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends a request and returns its id and the status of the answer, 0 for none.
func (c *client) send(to, path string) (id string, status int) {
	id = fmt.Sprintf("%016x", 0x1c41d07be2a30000+c.count.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+to+path, strings.NewReader("body of "+id))
	if err != nil {
		panic(err)
	}
	req.Host = authority
	req.Header.Set("Filberthook-Request-Id", id)
	req.Header.Set("Filberthook-Deadline-Ms", "1500")
	resp, err := c.http.Do(req)
	if err != nil {
		c.run.record.log("client: %s %s to %s: no answer", id, path, to)
		return id, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	c.run.record.log("client: %s %s to %s: %d", id, path, to, resp.StatusCode)
	return id, resp.StatusCode
}

// until sends requests until one gets a status, and reports whether that came in time.
func (c *client) until(to, path string, status int, within time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(200 * time.Millisecond) {
		if _, got := c.send(to, path); got == status {
			return true
		}
	}
	return false
}

// ready reports whether the host answers the platform's question with 200.
func (r *run) ready(entry int) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.address(outer, firstEntry+entry, portReady) + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
