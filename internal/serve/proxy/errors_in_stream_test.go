package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/request"
)

// badEvents are what an engine may write into a stream in place of a token.
var badEvents = map[string]string{
	"error":          "data: {\"error\":{\"code\":\"overloaded\",\"message\":\"full\"}}\n\n",
	"event of one":   "event: error\ndata: {\"choices\":[{\"text\":\"x\",\"finish_reason\":null}]}\n\n",
	"text":           "data: Internal Server Error\n\n",
	"no choices":     "data: {\"choices\":[]}\n\n",
	"nothing":        "data:\n\n",
	"head":           "HTTP/1.1 503 Service Unavailable\r\nX-Run-Disposition: not_run\r\n\r\ndata: full\n\n",
	"text, no field": "upstream connect error\n\n",
	"end mark":       "data: [DONE]\n\n",
}

func TestErrorWithinAStreamDoesNotReachTheCaller(t *testing.T) {
	for name, text := range badEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := func(w http.ResponseWriter, r *http.Request) {
				io.WriteString(w, text)
				if name == "text, no field" {
					panic(http.ErrAbortHandler)
				}
			}
			instances := []string{newEngine(t, engine{tokens: tokens, fault: atTokens(bad, 5, 9)}), newEngine(t, engine{tokens: tokens, fault: atTokens(bad, 7)})}
			e := newEntry(t, newMemoryLog(), instances)
			got, _ := e.stream()
			if got.text != expected(0, tokens) || got.finished != 1 || got.done != 1 || got.failure != "" {
				t.Errorf("got %+v, want %d tokens and one end", got, tokens)
			}
		})
	}
}

func TestStreamThatOnlyErrorsFollowDoesNotLookComplete(t *testing.T) {
	for name, text := range badEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := func(w http.ResponseWriter, _ *http.Request, token int) {
				if token == 5 {
					io.WriteString(w, text)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}
			e := newEntry(t, newMemoryLog(), []string{newEngine(t, engine{tokens: tokens, fault: bad})})
			got, _ := e.stream()
			if got.text != expected(0, 4) || got.finished != 0 || got.done != 0 || got.failure != request.StreamBroken {
				t.Errorf("got %+v, want 4 tokens and the reason", got)
			}
		})
	}
}

func TestUsageAfterTheLastChunkReachesTheCaller(t *testing.T) {
	const usage = `{"choices":[],"usage":{"completion_tokens":2}}`
	e := newEntry(t, newMemoryLog(), []string{newEngine(t, engine{tokens: 2, fault: atTokens(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "data: "+usage+"\n\n")
	}, endOfStream)})})
	r := e.do(http.MethodPost, engineapi.PathCompletions, streamBody)
	if strings.Count(r.body, usage) != 1 || strings.Count(r.body, "[DONE]") != 1 {
		t.Errorf("got %q", r.body)
	}
}

func TestErrorAfterTheLastChunkIsNotPassedOn(t *testing.T) {
	for name, text := range badEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEntry(t, newMemoryLog(), []string{newEngine(t, engine{tokens: 2, fault: atTokens(func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, text)
			}, endOfStream)})})
			if got, _ := e.stream(); got.text != expected(0, 2) || got.finished != 1 || got.done != 1 || got.failure != "" {
				t.Errorf("got %+v, want 2 tokens and one end", got)
			}
		})
	}
}

func TestBadResumptionsDoNotReachTheCaller(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n"
	chunks := func(attempt, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", engineapi.HeaderAttemptID, attempt, events, len(body), body)
	}
	token := `data: {"choices":[{"text":"x","finish_reason":null}]}` + "\n\n"
	for name, answer := range map[string]func(attempt string) string{
		"404":           func(id string) string { return rawAnswer(404, id, "", "no such model") },
		"500":           func(id string) string { return rawAnswer(500, id, "", token) },
		"refusal":       rawRefusal,
		"206":           func(id string) string { return rawAnswer(206, id, events, token) },
		"other attempt": func(string) string { return rawAnswer(200, "other", events, token) },
		"no attempt": func(string) string {
			return strings.Replace(rawAnswer(200, "", events, token), engineapi.HeaderAttemptID+": \r\n", "", 1)
		},
		"no answer":       func(string) string { return "\x00\x01" + token },
		"page":            func(id string) string { return rawAnswer(200, id, "Content-Type: text/html\r\n", "<html>full</html>") },
		"json":            func(id string) string { return rawAnswer(200, id, "", `{"error":{"code":"full"}}`) },
		"nothing, length": func(id string) string { return rawAnswer(200, id, events, "") },
		"nothing, chunks": func(id string) string { return chunks(id, ": kept alive\n\n") },
		"nothing, no length": func(id string) string {
			return strings.Replace(rawAnswer(200, id, events, ""), "Content-Length", "X-Length", 1)
		},
		"head in chunks": func(id string) string { return chunks(id, rawRefusal(id)) },
		"end mark":       func(id string) string { return chunks(id, "data: [DONE]\n\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			breaks := newEngine(t, engine{tokens: tokens, fault: func(w http.ResponseWriter, r *http.Request, token int) {
				if token > 4 {
					drop(w, r)
				}
			}})
			bad := listenRaw(t, func(c net.Conn, next func() *http.Request) {
				if r := next(); r != nil {
					io.WriteString(c, answer(r.Header.Get(engineapi.HeaderAttemptID)))
				}
			})
			e := newEntry(t, newMemoryLog(), []string{breaks, bad})
			if got, _ := e.stream(); got.text != expected(0, 4) || got.done != 0 || got.finished != 0 || got.failure != request.StreamBroken {
				t.Errorf("no other engine: got %+v, want 4 tokens and the reason", got)
			}
			e = newEntry(t, newMemoryLog(), []string{breaks, bad, newEngine(t, engine{tokens: tokens})})
			if got, _ := e.stream(); got.text != expected(0, tokens) || got.done != 1 || got.finished != 1 || got.failure != "" {
				t.Errorf("another engine: got %+v, want %d tokens and one end", got, tokens)
			}
		})
	}
}
