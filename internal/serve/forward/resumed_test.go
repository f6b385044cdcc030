package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

func chunked(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

func sized(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func toItsEnd(head, body string) string { return "HTTP/1.1 200 OK\r\n" + head + "\r\n" + body }

// framings are the ways to tell where an answer ends.
var framings = map[string]func(head, body string) string{"chunks": chunked, "length": sized, "neither": toItsEnd}

func pieces(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// breaking returns an engine that writes the first events of a stream and closes the connection.
func breaking(t *testing.T, ids ...int) *instance {
	e := engine("a", instances.Decode, nil)
	listenRaw(t, e, func(_ int, c net.Conn, next func() *http.Request) {
		r := next()
		if r == nil {
			return
		}
		text := chunked(streamHead(r, "a"), pieces(ids...)+"id: 9\ndata: pie")
		io.WriteString(c, strings.TrimSuffix(text, "\r\n0\r\n\r\n"))
	})
	return e
}

func streamHead(r *http.Request, id string) string {
	return "Content-Type: text/event-stream\r\nX-Signature: " + id + "\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n"
}

// answering returns an engine that answers requests for the events after 2 with bytes and the end
// of the connection, and the count of these requests.
func answering(t *testing.T, id string, answer func(r *http.Request) string) (*instance, *atomic.Int64) {
	e, asked := engine(id, instances.Decode, nil), &atomic.Int64{}
	listenRaw(t, e, func(_ int, c net.Conn, next func() *http.Request) {
		if r := next(); r != nil && r.Header.Get("Last-Event-Id") == "2" {
			asked.Add(1)
			io.WriteString(c, answer(r))
		}
	})
	return e, asked
}

// badResumptions are answers of an engine that is asked for the events after 2.
var badResumptions = []struct {
	name   string
	answer func(r *http.Request) string
}{
	{"404", func(r *http.Request) string { return rawAnswer(404, r.Header.Get("X-Id"), "no such model") }},
	{"500", func(r *http.Request) string { return rawAnswer(500, r.Header.Get("X-Id"), "it failed") }},
	{"500 without id", func(*http.Request) string { return rawAnswer(500, "", "it failed") }},
	{"503", func(r *http.Request) string { return rawRefusal(503, r.Header.Get("X-Id")) }},
	{"421", func(r *http.Request) string { return rawRefusal(421, r.Header.Get("X-Id")) }},
	{"204", func(r *http.Request) string {
		return "HTTP/1.1 204 No Content\r\n" + streamHead(r, "b") + "\r\n"
	}},
	{"206", func(r *http.Request) string {
		return strings.Replace(chunked(streamHead(r, "b"), pieces(3, 4)), "200", "206", 1)
	}},
	{"events in an error", func(r *http.Request) string {
		return strings.Replace(chunked(streamHead(r, "b"), pieces(3, 4)), "200", "500", 1)
	}},
	{"answer to another request", func(r *http.Request) string {
		return strings.Replace(chunked(streamHead(r, "b"), pieces(3, 4)), "X-Id: ", "X-Id: other-", 1)
	}},
	{"bytes that are no answer", func(*http.Request) string { return "\x00\x01" + pieces(3, 4) }},
	{"head without an end", func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + streamHead(r, "b") }},
	{"encoded", func(r *http.Request) string {
		return chunked(streamHead(r, "b")+"Content-Encoding: gzip\r\n", pieces(3, 4))
	}},
}

func TestBadResumptionsDoNotReachTheCaller(t *testing.T) {
	for _, tt := range badResumptions {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkBadResumption(t, tt.answer)
		})
	}
}

// checkBadResumption has a stream break after two events, its second engine answer badly, and the
// third one either go on with it or not be there.
func checkBadResumption(t *testing.T, answer func(r *http.Request) string) {
	t.Helper()
	many := func(r *routes.Route) { r.Resumable, r.MaxAttempts = true, 5 }
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		b, asked := answering(t, "b", answer)
		h := start(t, route(routes.Stream, many), breaking(t, 1, 2), b)
		text := h.rawExchange(t, "POST /x/1 "+proto+"\r\nHost: a.example\r\nX-Id: id-1\r\nContent-Length: 0\r\n\r\n")
		_, body, _ := strings.Cut(text, "\r\n\r\n")
		want := pieces(1, 2)
		if proto == "HTTP/1.1" {
			want = ""
			for _, p := range []string{pieces(1), pieces(2)} {
				want += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
			}
		}
		if body != want || asked.Load() == 0 {
			t.Errorf("%s: an unfinished stream ended with %q, want %q and no last chunk; its second engine was asked %d times", proto, body, want, asked.Load())
		}
		if h.endsOrderly(t, proto) {
			t.Errorf("%s: an unfinished stream looks complete", proto)
		}
	}
	b, asked := answering(t, "b", answer)
	h := start(t, route(routes.Stream, many), breaking(t, 1, 2), b, engine("c", instances.Decode, eventStream(4)))
	_, header, body, err := h.do(t, nil)
	if err != nil || body != pieces(1, 2, 3, 4) || header.Get("X-Signature") != "a" || asked.Load() == 0 {
		t.Errorf("got %q signed by %q, error %v, want four pieces; the second engine was asked %d times", body, header.Get("X-Signature"), err, asked.Load())
	}
}

func TestErrorsTextInAStreamDoesNotReachTheCaller(t *testing.T) {
	for framing, frame := range framings {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			a := engine("a", instances.Decode, nil)
			listenRaw(t, a, func(_ int, c net.Conn, next func() *http.Request) {
				if r := next(); r != nil {
					io.WriteString(c, frame(streamHead(r, "a"), pieces(1, 2)+"HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nfull"))
				}
			})
			h := start(t, route(routes.Stream, nil), a)
			if _, _, body, err := h.do(t, nil); err == nil || body != pieces(1, 2) {
				t.Errorf("got %q, error %v, want two pieces and no orderly end", body, err)
			}
		})
	}
}

func TestErrorsTextInAResumedStreamDoesNotReachTheCaller(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull\n\n"
	for name, body := range map[string]string{
		"text":                    "upstream connect error\n\n",
		"one word":                "overloaded\n\n",
		"text like a field":       "error: overloaded\n\n",
		"json":                    "{\"error\":\n\"full\"}\n\n",
		"page":                    "<html>\n<title>503</title>\n</html>\n\n",
		"head":                    head,
		"head after events":       pieces(3, 4) + head,
		"head in an event":        "id: 3\ndata: pie" + head,
		"bytes":                   "\x00\xff\x01\n\n",
		"comment, then text":      ": upstream connect error\n\noverloaded\n\n",
		"data without an id":      "data: overloaded\n\n",
		"event of an error":       "event: error\ndata: overloaded\n\n",
		"id and text":             "id: 3\noverloaded, try again\n\n",
		"head that ends the last": "data: x\r\nServer: a\r\n\r\n",
	} {
		for framing, frame := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				if strings.HasPrefix(body, "id: 3\ndata: piece 3") {
					checkErrorAfterEvents(t, func(r *http.Request) string { return frame(streamHead(r, "b"), body) })
					return
				}
				checkBadResumption(t, func(r *http.Request) string { return frame(streamHead(r, "b"), body) })
			})
		}
	}
}

// checkErrorAfterEvents has a resumed stream end with an error's text after event 4.
func checkErrorAfterEvents(t *testing.T, answer func(r *http.Request) string) {
	t.Helper()
	b, _ := answering(t, "b", answer)
	h := start(t, route(routes.Stream, resumable), breaking(t, 1, 2), b)
	if _, _, body, err := h.do(t, nil); err == nil || body != pieces(1, 2, 3, 4) {
		t.Errorf("got %q, error %v, want four pieces and no orderly end", body, err)
	}
}

// eventStream generates the events after Last-Event-Id, up to last.
func eventStream(last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		streamer(last)(w, r)
	}
}

func TestResumptionsOfAnyFramingAreJoined(t *testing.T) {
	for name, frame := range framings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, _ := answering(t, "b", func(r *http.Request) string {
				after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				return frame(streamHead(r, "b"), ": kept alive\n\n"+pieces(after+1, after+2))
			})
			h := start(t, route(routes.Stream, resumable), breaking(t, 1, 2), b)
			_, header, body, err := h.do(t, nil)
			if err != nil || strings.Join(events(body), " ") != "1 2 3 4" || header.Get("X-Signature") != "a" {
				t.Errorf("got %q signed by %q, error %v, want four pieces signed by the first engine", body, header.Get("X-Signature"), err)
			}
		})
	}
}

func TestResumedStreamThatEndsAtOnceDoesNotLookComplete(t *testing.T) {
	for framing, frame := range framings {
		for name, body := range map[string]string{"nothing": "", "comments": ": kept alive\n\n", "blank lines": "\n\n\n"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				checkBadResumption(t, func(r *http.Request) string { return frame(streamHead(r, "b"), body) })
			})
		}
	}
}

func TestResumedStreamThatGoesOnElsewhereIsNotJoined(t *testing.T) {
	for name, ids := range map[string][]int{
		"from its start": {1, 2, 3, 4}, "last event again": {2, 3, 4}, "an event is missing": {4, 5}, "descending": {-1},
	} {
		for framing, frame := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				checkBadResumption(t, func(r *http.Request) string { return frame(streamHead(r, "b"), pieces(ids...)) })
			})
		}
	}
}

func TestStreamWithoutIDsIsNotBegunAgainElsewhere(t *testing.T) {
	t.Parallel()
	a := engine("a", instances.Decode, nil)
	listenRaw(t, a, func(_ int, c net.Conn, next func() *http.Request) {
		if r := next(); r != nil {
			io.WriteString(c, strings.TrimSuffix(chunked(streamHead(r, "a"), "data: piece 1\n\n"), "0\r\n\r\n"))
		}
	})
	b := engine("b", instances.Decode, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, pieces(1, 2))
	})
	h := start(t, route(routes.Stream, resumable), a, b)
	for range 4 {
		_, header, body, err := h.do(t, nil)
		if header.Get("X-Signature") == "a" && (err == nil || body != "data: piece 1\n\n") {
			t.Errorf("got %q, error %v, want one piece and no orderly end", body, err)
		}
	}
}

func TestEngineThatIgnoresWhatTheCallerHasIsNotTakenAtItsWord(t *testing.T) {
	t.Parallel()
	b, _ := answering(t, "b", func(r *http.Request) string { return chunked(streamHead(r, "b"), pieces(1, 2, 3, 4)) })
	h := start(t, route(routes.Stream, resumable), b, engine("c", instances.Decode, eventStream(4)))
	for range 4 {
		_, _, body, err := h.do(t, func(r *http.Request) { r.Header.Set("Last-Event-Id", "2") })
		if err != nil || body != pieces(3, 4) {
			t.Errorf("got %q, error %v, want the pieces after the second one", body, err)
		}
	}
}

func TestResumedStreamThatIsNotTheEndpointsIsNotJoined(t *testing.T) {
	for name, change := range map[string][2]string{
		"no signature":        {"X-Signature: b\r\n", ""},
		"other content type":  {"text/event-stream", "text/html"},
		"no content type":     {"Content-Type: text/event-stream\r\n", ""},
		"content type is bad": {"text/event-stream", ";;"},
	} {
		for framing, frame := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				checkBadResumption(t, func(r *http.Request) string {
					return frame(strings.Replace(streamHead(r, "b"), change[0], change[1], 1), pieces(3, 4))
				})
			})
		}
	}
}

func TestStreamWithoutSignatureDoesNotReachTheCaller(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*routes.Route){"not resumable": nil, "resumable": resumable} {
		a := engine("a", instances.Decode, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Del("X-Signature")
			streamer(4)(w, r)
		})
		h := start(t, route(routes.Stream, change), a)
		if code, _, body, err := h.do(t, nil); err != nil || code != http.StatusBadGateway || a.runs() != 1 {
			t.Errorf("%s: status %d, %q, error %v after %d runs, want 502 after one", name, code, body, err, a.runs())
		}
	}
}
