// Package brokenanswer is a stand-in for instances whose answers are broken, so that no caller may get
// them: malformed heads, and bodies without a length that a reset cuts.
package brokenanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is a way to break an answer.
type Answer struct {
	Name string
	// Early is set if the answer comes before the request's body is read, and the connection is reset
	// after it. The body must not fit the buffers of the connection; see RequestBody.
	Early bool
	wait  time.Duration // between an early answer and the reset
	frame func(head, body string) string
}

// All returns all ways to break an answer.
func All() []Answer {
	list := []Answer{
		{Name: "reset during the upload", frame: toItsEnd, Early: true},
		{Name: "reset soon during the upload", frame: toItsEnd, Early: true, wait: 3 * time.Millisecond},
		{Name: "reset during the upload, HTTP/1.0", frame: replaced(toItsEnd, "HTTP/1.1", "HTTP/1.0"), Early: true},
		{Name: "status 099, without a length", frame: replaced(toItsEnd, "200 OK", "099 Failed")},
		{Name: "status 000 before an answer", frame: after("HTTP/1.1 000 Failed\r\n\r\n")},
		{Name: "status 101 before an answer", frame: after("HTTP/1.1 101 Switching Protocols\r\n\r\n")},
		{Name: "blank in the name of a hint", frame: after("HTTP/1.1 103 Early Hints\r\nX Other: a\r\n\r\n")},
		{Name: "blank in a name, chunks", frame: replaced(chunked, "\r\n", "\r\nX Other: a\r\n")},
		{Name: "blank before the length's colon", frame: replaced(sized, "Content-Length:", "Content-Length :")},
		{Name: "blank before the chunks' colon", frame: replaced(chunked, "Transfer-Encoding:", "Transfer-Encoding :")},
		{Name: "chunks in HTTP/1.0", frame: replaced(chunked, "HTTP/1.1", "HTTP/1.0")},
		{Name: "HTTP/2.0 as text", frame: replaced(sized, "HTTP/1.1", "HTTP/2.0")},
	}
	for _, status := range []string{"000", "007", "101", "600", "999"} {
		list = append(list, Answer{Name: "status " + status, frame: replaced(sized, "200 OK", status+" Failed")})
	}
	for name, line := range map[string]string{
		"blank in a name": "X Other: a", "blank before a colon": "X-Other : a", "tab in a name": "X\tOther: a",
		"tab before a colon": "X-Other\t: a", "control byte in a name": "X\x01Other: a", "NUL in a name": "X\x00Other: a",
		"byte of no character in a name": "X\xffOther: a", "empty name": ": a", "control byte in a value": "X-Other: a\x01",
		"line without a colon": "X-Other",
	} {
		list = append(list, Answer{Name: name, frame: replaced(sized, "\r\n", "\r\n"+line+"\r\n")})
	}
	return list
}

func sized(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func chunked(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

func toItsEnd(head, body string) string { return "HTTP/1.1 200 OK\r\n" + head + "\r\n" + body }

// after returns a framing of answers that come right after other bytes.
func after(text string) func(head, body string) string {
	return func(head, body string) string { return text + sized(head, body) }
}

func replaced(frame func(head, body string) string, old, by string) func(head, body string) string {
	return func(head, body string) string { return strings.Replace(frame(head, body), old, by, 1) }
}

// RequestBody returns the body of a request that the answer needs.
func (a Answer) RequestBody() string {
	if a.Early {
		return strings.Repeat("x", 8<<20)
	}
	return "body"
}

// Send answers a request whose head was read, with fields of the head, each with its line's end, and a
// body. The caller closes the connection then.
func (a Answer) Send(c *net.TCPConn, r *http.Request, head, body string) {
	if !a.Early {
		_, _ = io.Copy(io.Discard, r.Body) // if it is cut, the caller has left
	}
	_, _ = io.WriteString(c, a.frame(head, body)) // likewise
	if a.Early {
		time.Sleep(a.wait)
		_ = c.SetLinger(0)
	}
}

// Listen starts an instance that serves one request a connection, whose body it need not read, until the
// listener is closed.
func Listen(serve func(c *net.TCPConn, r *http.Request)) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return ln, nil
}
