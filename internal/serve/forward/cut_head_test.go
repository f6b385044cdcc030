package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

// cutHead returns an instance that sends the beginning of an answer's head and closes.
func cutHead(t *testing.T, stage instances.Stage, beginning string, end ending) *instance {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				io.WriteString(c, beginning)
				if end == reset {
					c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return &instance{id: "cut", stage: stage, raw: ln}
}

func TestAnswerWhoseHeadIsCutIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()
	for _, beginning := range []string{
		"HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 1", "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 10\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 10\r\n\r", "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nTransfer-Encoding: chu",
	} {
		for _, end := range []ending{orderly, reset} {
			for name, kind := range map[string]routes.Kind{"safe": routes.Safe, "unsafe": routes.Unsafe, "stream": routes.Stream} {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					h := start(t, route(kind, nil), cutHead(t, instances.Decode, beginning, end))
					status, _, body, err := h.do(t, nil)
					if err != nil || status != http.StatusBadGateway {
						t.Errorf("head cut after %q: status %d, body %q, %v, want 502", beginning, status, body, err)
					}
				})
			}
			t.Run("safe, another instance", func(t *testing.T) {
				t.Parallel()
				h := start(t, route(routes.Safe, nil), cutHead(t, instances.Decode, beginning, end), service("whole", ok))
				if status, _, body, err := h.do(t, nil); err != nil || status != http.StatusOK || body != "done" {
					t.Errorf("head cut after %q: status %d, body %q, %v, want the whole answer of the other instance", beginning, status, body, err)
				}
			})
		}
	}
}
