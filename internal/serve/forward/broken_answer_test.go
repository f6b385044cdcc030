package forward

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
)

// brokenAnswer is an answer that no caller may get.
type brokenAnswer struct {
	text  func(head, body string) string
	early bool          // it comes before the request's body is read, and the connection is reset
	wait  time.Duration // between the answer and the reset
}

var brokenAnswers = map[string]brokenAnswer{
	"reset during the upload":           {text: toItsEnd, early: true},
	"reset soon during the upload":      {text: toItsEnd, early: true, wait: 3 * time.Millisecond},
	"reset during the upload, HTTP/1.0": {text: replaced(toItsEnd, "HTTP/1.1", "HTTP/1.0"), early: true},
	"status 000":                        {text: replaced(sized, "200 OK", "000 Failed")},
	"status 007":                        {text: replaced(sized, "200 OK", "007 Failed")},
	"status 099, without a length":      {text: replaced(toItsEnd, "200 OK", "099 Failed")},
	"status 600":                        {text: replaced(sized, "200 OK", "600 Failed")},
	"status 999":                        {text: replaced(sized, "200 OK", "999 Failed")},
	"status 101":                        {text: replaced(sized, "200 OK", "101 Switching Protocols")},
	"status 000 before an answer":       {text: after("HTTP/1.1 000 Failed\r\n\r\n")},
	"status 101 before an answer":       {text: after("HTTP/1.1 101 Switching Protocols\r\n\r\n")},
	"blank in a name":                   {text: replaced(sized, "\r\n", "\r\nX Other: a\r\n")},
	"blank in a name, chunks":           {text: replaced(chunked, "\r\n", "\r\nX Other: a\r\n")},
	"blank before a colon":              {text: replaced(sized, "\r\n", "\r\nX-Other : a\r\n")},
	"blank before the length's colon":   {text: replaced(sized, "Content-Length:", "Content-Length :")},
	"blank before the chunks' colon":    {text: replaced(chunked, "Transfer-Encoding:", "Transfer-Encoding :")},
	"blank in the name of a hint":       {text: after("HTTP/1.1 103 Early Hints\r\nX Other: a\r\n\r\n")},
	"chunks in HTTP/1.0":                {text: replaced(chunked, "HTTP/1.1", "HTTP/1.0")},
	"HTTP/2.0 as text":                  {text: replaced(sized, "HTTP/1.1", "HTTP/2.0")},
	"tab in a name":                     {text: replaced(sized, "\r\n", "\r\nX\tOther: a\r\n")},
	"tab before a colon":                {text: replaced(sized, "\r\n", "\r\nX-Other\t: a\r\n")},
	"control byte in a name":            {text: replaced(sized, "\r\n", "\r\nX\x01Other: a\r\n")},
	"NUL in a name":                     {text: replaced(sized, "\r\n", "\r\nX\x00Other: a\r\n")},
	"byte of no character in a name":    {text: replaced(sized, "\r\n", "\r\nX\xffOther: a\r\n")},
	"empty name":                        {text: replaced(sized, "\r\n", "\r\n: a\r\n")},
	"control byte in a value":           {text: replaced(sized, "\r\n", "\r\nX-Other: a\x01\r\n")},
	"line without a colon":              {text: replaced(sized, "\r\n", "\r\nX-Other\r\n")},
}

// after returns a framing of answers that come right after other bytes.
func after(text string) func(head, body string) string {
	return func(head, body string) string { return text + sized(head, body) }
}

func replaced(frame func(head, body string) string, old, by string) func(head, body string) string {
	return func(head, body string) string { return strings.Replace(frame(head, body), old, by, 1) }
}

// send answers a request whose head was read.
func (b brokenAnswer) send(c *net.TCPConn, r *http.Request, body string) {
	if !b.early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	io.WriteString(c, b.text(streamHead(r, "s"), body))
	if b.early {
		time.Sleep(b.wait)
		_ = c.SetLinger(0)
	}
}

// requestBody returns a body that does not fit the buffers of a connection if the answer comes early.
func (b brokenAnswer) requestBody() string {
	if b.early {
		return strings.Repeat("x", 8<<20)
	}
	return "body"
}

// rawEngine returns an instance that serves one request a connection, whose body it need not read, and
// the count of its requests.
func rawEngine(t *testing.T, id string, stage instances.Stage, serve func(c *net.TCPConn, r *http.Request)) (*instance, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					requests.Add(1)
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return &instance{id: id, stage: stage, raw: ln}, requests
}

// engine returns an instance that gives the broken answer to all requests.
func (b brokenAnswer) engine(t *testing.T, id string, stage instances.Stage, body string) (*instance, *atomic.Int64) {
	return rawEngine(t, id, stage, func(c *net.TCPConn, r *http.Request) { b.send(c, r, body) })
}

// exchange sends a request of the size that the broken answer needs.
func (b brokenAnswer) exchange(t *testing.T, r routes.Route, list ...*instance) (status int, body string, err error) {
	t.Helper()
	h := start(t, r, list...)
	h.server.SetTable(routes.NewTable(&routes.Config{
		Version: 2, Routes: []routes.Route{r}, Endpoints: map[string]routes.Endpoint{"e": {Name: "e"}},
		Limits: routes.Limits{HeaderBytes: 4096, BodyBytes: 16 << 20},
	}))
	status, _, body, err = h.do(t, func(request *http.Request) {
		text := b.requestBody()
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
		if r.PromptMetadata {
			withPrefixBlocks(request)
		}
	})
	return status, body, err
}

// forEachBrokenAnswer runs a test with every broken answer, several times if its timing varies.
func forEachBrokenAnswer(t *testing.T, test func(t *testing.T, b brokenAnswer)) {
	for name, b := range brokenAnswers {
		times := 1
		if b.early {
			times = 4
		}
		for n := range times {
			t.Run(fmt.Sprint(name, ", ", n), func(t *testing.T) {
				t.Parallel()
				test(t, b)
			})
		}
	}
}

func TestBrokenAnswerIsAFailureThatPromisesNothing(t *testing.T) {
	forEachBrokenAnswer(t, func(t *testing.T, b brokenAnswer) {
		for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe, routes.Stream} {
			e, requests := b.engine(t, "a", instances.Decode, pieces(1, 2))
			status, body, err := b.exchange(t, route(kind, nil), e)
			brokenOff := err != nil && kind == routes.Stream // after its first events
			if !brokenOff && (err != nil || status != http.StatusBadGateway) || requests.Load() != 1 {
				t.Errorf("%v: status %d, body %.60q, %v after %d requests, want 502 after one", kind, status, body, err, requests.Load())
			}
		}
	})
}

func TestRequestIsServedElsewhereAfterABrokenAnswer(t *testing.T) {
	forEachBrokenAnswer(t, func(t *testing.T, b brokenAnswer) {
		first, _ := b.engine(t, "a", instances.Decode, pieces(1, 2))
		if status, body, err := b.exchange(t, route(routes.Safe, nil), first, service("whole", ok)); err != nil || status != http.StatusOK || body != "done" {
			t.Errorf("safe: status %d, body %.60q, %v, want the answer of the other instance", status, body, err)
		}
		first, _ = b.engine(t, "a", instances.Decode, pieces(1, 2))
		if status, body, err := b.exchange(t, route(routes.Stream, resumable), first, engine("whole", instances.Decode, eventStream(4))); err != nil || events(body)[len(events(body))-1] != "4" {
			t.Errorf("stream: status %d, body %.60q, %v, want all events", status, body, err)
		}
	})
}

func TestStreamIsNotResumedWithABrokenAnswer(t *testing.T) {
	many := func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 5 }
	forEachBrokenAnswer(t, func(t *testing.T, b brokenAnswer) {
		breaks := func() *instance {
			e, _ := rawEngine(t, "a", instances.Decode, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				io.WriteString(c, strings.TrimSuffix(chunked(streamHead(r, "a"), pieces(1, 2)), "0\r\n\r\n"))
			})
			return e
		}
		var asked atomic.Int64
		second, _ := rawEngine(t, "b", instances.Decode, func(c *net.TCPConn, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "2" {
				asked.Add(1)
				b.send(c, r, pieces(3))
			}
		})
		if _, body, err := b.exchange(t, route(routes.Stream, many), breaks(), second); err == nil || !strings.HasPrefix(body, pieces(1, 2)) {
			t.Errorf("alone: body %.80q, %v, want two events and no orderly end", body, err)
		}
		_, body, err := b.exchange(t, route(routes.Stream, many), breaks(), second, engine("c", instances.Decode, eventStream(4)))
		if err != nil || body != pieces(1, 2, 3, 4) {
			t.Errorf("with a third engine: body %.80q, %v, want four events", body, err)
		}
		if asked.Load() != 2 {
			t.Errorf("the second engine was asked %d times to go on with 2 streams", asked.Load())
		}
	})
}

func TestTakeoverWithABrokenAnswerDoesNotCompleteTheStream(t *testing.T) {
	forEachBrokenAnswer(t, func(t *testing.T, b brokenAnswer) {
		var arrivals atomic.Int64
		serve := func(c *net.TCPConn, r *http.Request) {
			if arrivals.Add(1) > 1 {
				b.send(c, r, pieces(3))
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			head, tail, _ := strings.Cut(sized(streamHead(r, "a"), pieces(1, 2, 3, 4)), "id: 3")
			io.WriteString(c, head)
			time.Sleep(silence)
			io.WriteString(c, "id: 3"+tail)
		}
		first, _ := rawEngine(t, "a", instances.Decode, serve)
		second, _ := rawEngine(t, "b", instances.Decode, serve)
		if _, body, err := b.exchange(t, route(routes.Stream, resumable), first, second); err == nil && body != pieces(1, 2, 3, 4) {
			t.Errorf("body %.80q, want all events or no orderly end", body)
		}
		if arrivals.Load() != 2 {
			t.Errorf("%d requests, want one takeover", arrivals.Load())
		}
	})
}

func TestHandleInABrokenAnswerIsNotUsed(t *testing.T) {
	handle, err := json.Marshal(dialect.KVHandle{ID: "h1", Tokens: 8000})
	if err != nil {
		t.Fatal(err)
	}
	forEachBrokenAnswer(t, func(t *testing.T, b brokenAnswer) {
		p, requests := b.engine(t, "p", instances.Prefill, string(handle))
		d := engine("d", instances.Decode, streamer(3))
		_, body, err := b.exchange(t, route(routes.Stream, prompted), p, d)
		if err != nil || len(events(body)) != 3 || requests.Load() == 0 {
			t.Errorf("body %.80q, %v, want the events of an engine that reads the prompt itself; %d prefills", body, err, requests.Load())
		}
		if source := d.last().Header.Get("X-Source"); source != "" {
			t.Errorf("the decode engine was told of the handle %q", source)
		}
	})
}

func TestEarlyAnswerOfKnownLengthReachesTheCaller(t *testing.T) {
	early := brokenAnswer{early: true, text: func(head, _ string) string {
		return strings.Replace(sized(head, "too long"), "200 OK", "413 Too Large", 1)
	}}
	for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe, routes.Stream} {
		e, _ := early.engine(t, "a", instances.Decode, "")
		if status, body, err := early.exchange(t, route(kind, nil), e); err != nil || status != http.StatusRequestEntityTooLarge || body != "too long" {
			t.Errorf("%v: status %d, body %.60q, %v, want the 413", kind, status, body, err)
		}
	}
}
