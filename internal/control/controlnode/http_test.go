package controlnode

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// TestStopWithAConnectionThatNeverSentARequest checks that such a connection does not
// turn a graceful stop into an error. HTTP clients keep such connections in reserve.
func TestStopWithAConnectionThatNeverSentARequest(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- (&Node{}).serveHTTP(ctx, ln, handler) }()
	silent, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	resp, err := http.Get("http://" + ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	<-served
	cancel()
	if err := <-done; err != nil {
		t.Errorf("stopped with %v", err)
	}
}
