package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestAnswerWhoseHeadIsCutIsLost(t *testing.T) {
	const body = "0123456789"
	heads := map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\nContent-Type: text/plain\r\n\r\n",
		"length, last":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n",
		"no length":         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/plain\r\n\r\n",
		"chunked":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"hint before":       "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n",
		"other before":      answer("2", "other") + "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n",
		"line feeds only":   "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 10\n\n",
		"old, no length":    "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n",
		"no content status": "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
	}
	for name, head := range heads {
		for end, close := range map[string]func(net.Conn){
			"closed": func(net.Conn) {},
			"reset":  func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) },
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) {
					e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
						if r, _ := next(); r == nil {
							return
						}
						io.WriteString(c, head[:cut])
						close(c)
					})
					if got, err := fetch(t, newPool(t), e.address(), get("1")); err == nil {
						t.Errorf("cut after %q: got a whole answer with the body %q", head[:cut], got)
					}
					e.ln.Close()
				}
				if strings.Contains(head, "204") || end == "reset" {
					return
				}
				e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
					next()
					if strings.Contains(head, "chunked") {
						io.WriteString(c, head+"a\r\n"+body+"\r\n0\r\n\r\n")
						return
					}
					io.WriteString(c, head+body)
				})
				if got, err := fetch(t, newPool(t), e.address(), get("1")); err != nil || got != body {
					t.Errorf("the uncut answer: %q, %v", got, err)
				}
			})
		}
	}
}
