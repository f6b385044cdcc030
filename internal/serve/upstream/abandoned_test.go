package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestAbandonedRequestThatHasNotArrivedIsDiscarded(t *testing.T) {
	listenSmall := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := listenSmall.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	r := get("1")
	r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 300<<10))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	var lost *LostError
	if _, err := newPool(t).Send(ctx, ln.Addr().String(), r); !errors.As(err, &lost) || lost.Unacknowledged == 0 {
		t.Errorf("sending ended with %v, want an error that tells the bytes that did not arrive", err)
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	got, err := io.ReadAll(c)
	if len(got) >= len(r.Body) {
		t.Errorf("the instance got all %d bytes of a request that had been abandoned (end: %v)", len(got), err)
	}
}
