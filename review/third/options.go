package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

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
	if err := startPlain(d, 3, 2, (&bookings{}).work); err != nil {
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
