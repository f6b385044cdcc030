package forward

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/bench/brokenanswer"
	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/routes"
)

// rawEngine returns an instance that serves one request a connection, whose body it need not read, and
// the count of its requests.
func rawEngine(t *testing.T, id string, stage instances.Stage, serve func(c *net.TCPConn, r *http.Request)) (*instance, *atomic.Int64) {
	t.Helper()
	requests := &atomic.Int64{}
	ln, err := brokenanswer.Listen(func(c *net.TCPConn, r *http.Request) {
		requests.Add(1)
		serve(c, r)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &instance{id: id, stage: stage, raw: ln}, requests
}

// brokenEngine returns an instance that gives the broken answer to all requests, and their count.
func brokenEngine(t *testing.T, b brokenanswer.Answer, id string, stage instances.Stage, body string) (*instance, *atomic.Int64) {
	return rawEngine(t, id, stage, func(c *net.TCPConn, r *http.Request) { b.Send(c, r, streamHead(r, "s"), body) })
}

// exchangeBroken sends a request of the size that the broken answer needs.
func exchangeBroken(t *testing.T, b brokenanswer.Answer, r routes.Route, list ...*instance) (status int, body string, err error) {
	t.Helper()
	h := start(t, r, list...)
	h.server.SetTable(routes.NewTable(&routes.Config{
		Version: 2, Routes: []routes.Route{r}, Endpoints: map[string]routes.Endpoint{"e": {Name: "e"}},
		Limits: routes.Limits{HeaderBytes: 4096, BodyBytes: 16 << 20},
	}))
	status, _, body, err = h.do(t, func(request *http.Request) {
		text := b.RequestBody()
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
		if r.PromptMetadata {
			withPrefixBlocks(request)
		}
	})
	return status, body, err
}

// forEachBrokenAnswer runs a test with every broken answer, several times if its timing varies.
func forEachBrokenAnswer(t *testing.T, test func(t *testing.T, b brokenanswer.Answer)) {
	for _, b := range brokenanswer.All() {
		times := 1
		if b.Early {
			times = 4
		}
		for n := range times {
			t.Run(fmt.Sprint(b.Name, ", ", n), func(t *testing.T) {
				t.Parallel()
				test(t, b)
			})
		}
	}
}

func TestBrokenAnswerIsAFailureThatPromisesNothing(t *testing.T) {
	forEachBrokenAnswer(t, func(t *testing.T, b brokenanswer.Answer) {
		for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe, routes.Stream} {
			e, requests := brokenEngine(t, b, "a", instances.Decode, pieces(1, 2))
			status, body, err := exchangeBroken(t, b, route(kind, nil), e)
			brokenOff := err != nil && kind == routes.Stream // after its first events
			if !brokenOff && (err != nil || status != http.StatusBadGateway) || requests.Load() != 1 {
				t.Errorf("%v: status %d, body %.60q, %v after %d requests, want 502 after one", kind, status, body, err, requests.Load())
			}
		}
	})
}

func TestRequestIsServedElsewhereAfterABrokenAnswer(t *testing.T) {
	forEachBrokenAnswer(t, func(t *testing.T, b brokenanswer.Answer) {
		first, _ := brokenEngine(t, b, "a", instances.Decode, pieces(1, 2))
		if status, body, err := exchangeBroken(t, b, route(routes.Safe, nil), first, service("whole", ok)); err != nil || status != http.StatusOK || body != "done" {
			t.Errorf("safe: status %d, body %.60q, %v, want the answer of the other instance", status, body, err)
		}
		first, _ = brokenEngine(t, b, "a", instances.Decode, pieces(1, 2))
		if status, body, err := exchangeBroken(t, b, route(routes.Stream, resumable), first, engine("whole", instances.Decode, eventStream(4))); err != nil || events(body)[len(events(body))-1] != "4" {
			t.Errorf("stream: status %d, body %.60q, %v, want all events", status, body, err)
		}
	})
}

func TestStreamIsNotResumedWithABrokenAnswer(t *testing.T) {
	many := func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 5 }
	forEachBrokenAnswer(t, func(t *testing.T, b brokenanswer.Answer) {
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
				b.Send(c, r, streamHead(r, "b"), pieces(3))
			}
		})
		if _, body, err := exchangeBroken(t, b, route(routes.Stream, many), breaks(), second); err == nil || !strings.HasPrefix(body, pieces(1, 2)) {
			t.Errorf("alone: body %.80q, %v, want two events and no orderly end", body, err)
		}
		_, body, err := exchangeBroken(t, b, route(routes.Stream, many), breaks(), second, engine("c", instances.Decode, eventStream(4)))
		if err != nil || body != pieces(1, 2, 3, 4) {
			t.Errorf("with a third engine: body %.80q, %v, want four events", body, err)
		}
		if asked.Load() != 2 {
			t.Errorf("the second engine was asked %d times to go on with 2 streams", asked.Load())
		}
	})
}

func TestTakeoverWithABrokenAnswerDoesNotCompleteTheStream(t *testing.T) {
	forEachBrokenAnswer(t, func(t *testing.T, b brokenanswer.Answer) {
		var arrivals atomic.Int64
		serve := func(c *net.TCPConn, r *http.Request) {
			if arrivals.Add(1) > 1 {
				b.Send(c, r, streamHead(r, "b"), pieces(3))
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
		if _, body, err := exchangeBroken(t, b, route(routes.Stream, resumable), first, second); err == nil && body != pieces(1, 2, 3, 4) {
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
	forEachBrokenAnswer(t, func(t *testing.T, b brokenanswer.Answer) {
		p, requests := brokenEngine(t, b, "p", instances.Prefill, string(handle))
		d := engine("d", instances.Decode, streamer(3))
		_, body, err := exchangeBroken(t, b, route(routes.Stream, prompted), p, d)
		if err != nil || len(events(body)) != 3 || requests.Load() == 0 {
			t.Errorf("body %.80q, %v, want the events of an engine that reads the prompt itself; %d prefills", body, err, requests.Load())
		}
		if source := d.last().Header.Get("X-Source"); source != "" {
			t.Errorf("the decode engine was told of the handle %q", source)
		}
	})
}

func TestEarlyAnswerOfKnownLengthReachesTheCaller(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Safe, routes.Unsafe, routes.Stream} {
		e, _ := rawEngine(t, "a", instances.Decode, func(c *net.TCPConn, r *http.Request) {
			io.WriteString(c, strings.Replace(sized(streamHead(r, "a"), "too long"), "200 OK", "413 Too Large", 1))
		})
		early := brokenanswer.Answer{Early: true}
		if status, body, err := exchangeBroken(t, early, route(kind, nil), e); err != nil || status != http.StatusRequestEntityTooLarge || body != "too long" {
			t.Errorf("%v: status %d, body %.60q, %v, want the 413", kind, status, body, err)
		}
	}
}

func TestInstanceWithBrokenAnswersIsCountedAndLogged(t *testing.T) {
	reasons := map[string]string{
		"status 000": "status", "blank before a colon": "field_name", "control byte in a name": "syntax", "chunks in HTTP/1.0": "framing",
		"HTTP/2.0 as text": "version",
	}
	for _, b := range brokenanswer.All() {
		reason, ok := reasons[b.Name]
		if !ok {
			continue
		}
		e, _ := brokenEngine(t, b, "a", instances.Decode, "")
		h := start(t, route(routes.Unsafe, nil), e)
		if status, _, body, err := h.do(t, nil); err != nil || status != http.StatusBadGateway || body != "bad_answer\n" {
			t.Errorf("%s: status %d, %q, %v, want 502 for a bad answer", b.Name, status, body, err)
		}
		var exposed strings.Builder
		h.server.metrics.WritePrometheus(&exposed)
		for _, want := range []string{`filberthook_broken_answers_total{reason="` + reason + `"} 1`, `filberthook_entry_attempts_total{step="run",outcome="no_contact"} 1`} {
			if !strings.Contains(exposed.String(), want+"\n") {
				t.Errorf("%s: no line %s", b.Name, want)
			}
		}
		line := `"broken_answer":"` + reason + `"`
		for end := time.Now().Add(5 * time.Second); h.log.count(line) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		}
		if h.log.count(line) != 1 {
			t.Errorf("%s: %d lines with %s", b.Name, h.log.count(line), line)
		}
	}
}
