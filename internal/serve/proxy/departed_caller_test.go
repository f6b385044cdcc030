package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filberthook/internal/bench/loopback"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/caller"
)

func TestCallWhoseCallerLeftBeforeItWasReadIsNotSent(t *testing.T) {
	const callers = 10
	service := newService(t, nil)
	var streams atomic.Int64
	model := newEngine(t, engine{tokens: 2, fault: func(_ http.ResponseWriter, _ *http.Request, token int) {
		if token == 1 {
			streams.Add(1)
		}
	}})
	for name, tt := range map[string]struct {
		instance, path, body string
		serve                func(e *entry) // leaves a connection to the instance
		ran                  func(key string) int
	}{
		"booking": {service.address(), pathBook, "chair 7", func(*entry) {}, service.ran},
		"stream":  {model, engineapi.PathCompletions, streamBody, func(e *entry) { e.stream(); streams.Store(0) }, func(string) int { return int(streams.Load()) }},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, newMemoryLog(), []string{tt.instance})
			front := httptest.NewUnstartedServer(e.chain)
			front.Config.ConnContext = caller.ConnContext
			l := &loopback.SlowListener{Listener: front.Listener}
			front.Listener = l
			front.Start()
			defer front.Close()
			for n := range callers {
				tt.serve(e)
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				key := fmt.Sprint("left-", n)
				l.Gate.Lock()
				fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
					tt.path, teamKey, engineapi.HeaderIdempotencyKey, key, len(tt.body), tt.body)
				c.Close()
				time.Sleep(10 * time.Millisecond)
				l.Gate.Unlock()
				time.Sleep(50 * time.Millisecond)
				if got := tt.ran(key); got != 0 {
					t.Errorf("%d runs for caller %d, which had left before the host read its request", got, n)
				}
			}
		})
	}
}

func TestCallEndsWhenItsCallerLeavesAfterBytesOfAFurtherRequest(t *testing.T) {
	began, ended := make(chan bool, 1), make(chan bool, 1)
	model := newEngine(t, engine{tokens: 2, fault: func(_ http.ResponseWriter, r *http.Request, token int) {
		if token != 2 {
			return
		}
		began <- true
		select {
		case <-r.Context().Done():
			ended <- true
		case <-time.After(2 * time.Second):
			ended <- false
		}
	}})
	e := newEntry(t, newMemoryLog(), []string{model})
	c, err := net.Dial("tcp", e.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		engineapi.PathCompletions, teamKey, len(streamBody), streamBody)
	<-began
	fmt.Fprint(c, "P")
	time.Sleep(20 * time.Millisecond)
	left := time.Now()
	c.Close()
	if !<-ended || time.Since(left) > 500*time.Millisecond {
		t.Errorf("the engine still worked %v after the caller left, 500 ms are allowed", time.Since(left))
	}
}

func TestAbandonedCallThatHasNotArrivedIsDiscarded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e := newEntry(t, newMemoryLog(), []string{ln.Addr().String()})
	body := fmt.Sprintf(`{"model":"chat","stream":true,"prompt":"%s"}`, strings.Repeat("hello ", 1<<20))
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		defer close(ended)
		if resp, err := e.send(ctx, http.MethodPost, engineapi.PathCompletions, body); err == nil {
			resp.Body.Close()
		}
	}()
	instance, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer instance.Close()
	time.Sleep(200 * time.Millisecond)
	leave()
	<-ended
	time.Sleep(300 * time.Millisecond)
	instance.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.Copy(io.Discard, instance); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the instance's connection ended with %v behind the bytes that waited, want a reset in their place", err)
	}
}
