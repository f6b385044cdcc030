package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// ending is how an instance ends the connection of an answer.
type ending int

const (
	orderly ending = iota // FIN
	halfClose
	reset
)

// unframed returns an instance whose answers have neither a length nor chunks. It counts the
// connections made to it.
func unframed(t *testing.T, stage instances.Stage, proto, body string, end ending) (*instance, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	connections := &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go answerUnframed(c.(*net.TCPConn), proto, body, end)
		}
	}()
	return &instance{id: "unframed", stage: stage, raw: ln}, connections
}

func answerUnframed(c *net.TCPConn, proto, body string, end ending) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	fmt.Fprintf(c, "%s 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n\r\n%s", proto, r.Header.Get("X-Id"), body)
	switch end {
	case halfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c) // until the other side closes
	case reset:
		_ = c.SetLinger(0)
	}
}

func TestStreamsWithoutLengthOrChunksAreWholeOnlyAtAnEventsEnd(t *testing.T) {
	t.Parallel()
	const whole = "id: 1\ndata: é\n\nid: 2\ndata: b\n\n"
	accent := strings.Index(whole, "é") + 1 // between the two bytes of the character
	tests := []struct {
		name, body string
		end        ending
		whole      bool
	}{
		{"orderly end", whole, orderly, true},
		{"half close", whole, halfClose, true},
		{"reset after the last event", whole, reset, false},
		{"ended within an event", whole[:len(whole)-4], orderly, false},
		{"ended before the blank line", whole[:len(whole)-1], orderly, false},
		{"ended within a character", whole[:accent], orderly, false},
		{"CR LF, whole", strings.ReplaceAll(whole, "\n", "\r\n"), orderly, true},
		{"CR LF, ended before the blank line", strings.ReplaceAll(whole, "\n", "\r\n")[:len(whole)], orderly, false},
		{"ended after a line end only", "\r\n", orderly, false},
		{"without any byte", "", orderly, false},
	}
	for _, tt := range tests {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(tt.name+", "+proto, func(t *testing.T) {
				t.Parallel()
				engine, connections := unframed(t, instances.Decode, proto, tt.body, tt.end)
				h := start(t, route(routes.Stream, nil), engine)
				status, _, body, err := h.do(t, nil)
				if looksWhole := err == nil && status == http.StatusOK; looksWhole != tt.whole {
					t.Errorf("status %d, %q, error %v: looks complete %v, want %v", status, body, err, looksWhole, tt.whole)
				}
				if tt.whole && body != tt.body {
					t.Errorf("got %q, want %q", body, tt.body)
				}
				if strings.Contains(body, "é") != strings.Contains(body, "\xc3") {
					t.Errorf("half a character was passed on: %q", body)
				}
				for _, callerProto := range []string{"HTTP/1.0", "HTTP/1.1"} {
					if got := h.endsOrderly(t, callerProto); got != tt.whole {
						t.Errorf("the answer to an %s caller looks complete: %v, want %v", callerProto, got, tt.whole)
					}
				}
				if connections.Load() < 3 {
					t.Error("a connection that ends an answer was used for another request")
				}
			})
		}
	}
}

// endsOrderly sends a request in a protocol version and reports whether the answer is a
// success that looks complete.
func (h *harness) endsOrderly(t *testing.T, proto string) bool {
	t.Helper()
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /x/1 %s\r\nHost: a.example\r\nX-Id: raw\r\nContent-Length: 0\r\n\r\n", proto)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func TestWholeAnswersWithoutLengthAreWholeUnlessReset(t *testing.T) {
	t.Parallel()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for end, whole := range map[ending]bool{orderly: true, halfClose: true, reset: false} {
			t.Run(fmt.Sprint(proto, " ", end), func(t *testing.T) {
				t.Parallel()
				i, connections := unframed(t, instances.AnyStage, proto, "done", end)
				h := start(t, route(routes.Safe, func(r *routes.Route) { r.MaxAttempts = 1 }), i)
				for range 2 {
					status, _, body, err := h.do(t, nil)
					if got := err == nil && status == http.StatusOK; got != whole || whole && body != "done" {
						t.Errorf("status %d, %q, %v; want a success: %v", status, body, err, whole)
					}
				}
				// After a reset further connections check whether the instance has ended.
				if got := connections.Load(); whole && got != 2 || got < 2 || got > 2+2*presenceAttempts {
					t.Errorf("%d connections for 2 answers that end with theirs", connections.Load())
				}
			})
		}
	}
}
