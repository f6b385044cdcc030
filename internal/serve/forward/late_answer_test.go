package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/serve/routes"
)

// listenRaw starts an endpoint instance that writes its answers to the connection itself.
// serve gets the number of the connection.

func listenRaw(t *testing.T, i *instance, serve func(number int, c net.Conn, next func() *http.Request)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	i.raw = ln
	go func() {
		for number := 0; ; number++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				serve(number, c, func() *http.Request {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return nil
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return nil
					}
					return r
				})
			}()
		}
	}()
}

func rawAnswer(status int, id, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Signature: i\r\nContent-Length: %d\r\n", status, len(body))
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + "\r\n" + body
}

func TestLateSecondAnswerIsNotPassedToTheNextCaller(t *testing.T) {
	for name, late := range map[string]func(id string) string{
		"right id":       func(id string) string { return rawAnswer(200, id, "of "+id) },
		"wrong id":       func(string) string { return rawAnswer(200, "other", "of other") },
		"failure, no id": func(string) string { return rawAnswer(500, "", "of nobody") },
		"refusal, no id": func(string) string {
			return strings.Replace(rawAnswer(503, "", "full"), "X-Sig", "X-Not-Run: 1\r\nX-Sig", 1)
		},
		"two, right id": func(id string) string { return strings.Repeat(rawAnswer(200, id, "of "+id), 2) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := service("i", nil)
			listenRaw(t, in, func(_ int, c net.Conn, next func() *http.Request) {
				before := ""
				for {
					r := next()
					if r == nil {
						return
					}
					id := r.Header.Get("X-Id")
					if before != "" {
						io.WriteString(c, late(before)) // arrives while the connection is in use again
						time.Sleep(10 * time.Millisecond)
					}
					io.WriteString(c, rawAnswer(200, id, "of "+id))
					before = id
				}
			})
			h := start(t, route(routes.Unsafe, nil), in)
			for n := range 6 {
				id := fmt.Sprint("id-", n)
				code, _, body, err := h.do(t, func(r *http.Request) { r.Header.Set("X-Id", id) })
				if err != nil || code != http.StatusOK || body != "of "+id {
					t.Errorf("request %s got status %d, %q, error %v", id, code, body, err)
				}
			}
		})
	}
}
