package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"filberthook/internal/engines/engineapi"
)

func TestAnswerWhoseHeadIsCutIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct{ path, body string }{
		"booking": {pathBook, "chair 7"},
		"stream":  {engineapi.PathCompletions, streamBody},
		"whole":   {engineapi.PathCompletions, strings.Replace(streamBody, "true", "false", 1)},
	} {
		for cut := range 6 {
			t.Run(fmt.Sprint(name, cut), func(t *testing.T) {
				t.Parallel()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { ln.Close() })
				go serveCutHeads(ln, cut)
				e := newEntry(t, newMemoryLog(), []string{ln.Addr().String()})
				r := e.do(http.MethodPost, tt.path, tt.body, engineapi.HeaderIdempotencyKey, "k", engineapi.HeaderDeadline, "600")
				if r.status < http.StatusInternalServerError {
					t.Errorf("cut after %d lines of the head: status %d, body %q", cut, r.status, r.body)
				}
			})
		}
	}
}

// serveCutHeads answers with the first lines of a head, and a part of the next one.
func serveCutHeads(ln net.Listener, lines int) {
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
			head := []string{"HTTP/1.1 200 OK\r\n", engineapi.HeaderAttemptID + ": " + r.Header.Get(engineapi.HeaderAttemptID) + "\r\n", "Content-Type: text/event-stream\r\n", "X-A: b\r\n", "Content-Length: 10\r\n", "X-C: d\r\n"}
			io.WriteString(c, strings.Join(head[:lines], "")+head[lines][:len(head[lines])/2])
		}()
	}
}
