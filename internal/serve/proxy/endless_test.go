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

// answerOf returns an instance whose answers, in chunks, have a size.
func answerOf(t *testing.T, size int) string {
	return listenRaw(t, func(c net.Conn, next func() *http.Request) {
		for r := next(); r != nil; r = next() {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
				engineapi.HeaderAttemptID, r.Header.Get(engineapi.HeaderAttemptID), size)
			io.WriteString(c, strings.Repeat("a", size)+"\r\n0\r\n\r\n")
		}
	})
}

func TestAnswersHoldNoMoreThanTheLimit(t *testing.T) {
	const limit = 1 << 20
	withLimit := func(o *options) { o.proxy.MaxHeldBytes = limit }
	whole := strings.Replace(streamBody, "true", "false", 1)
	for _, tt := range []struct {
		name    string
		size    int
		booking request.Code
		prompt  request.Code
	}{
		{"small", 1 << 10, "", ""},
		{"half of the memory", limit / 4, "", ""},
		{"all of the memory, of which prompts leave a part", limit - 1<<10, "", request.AnswerMemoryFull},
		{"more than the memory", 4 * limit, request.OutcomeUnknown, request.AnswerMemoryFull},
	} {
		e := newEntry(t, newMemoryLog(), []string{answerOf(t, tt.size)}, withLimit)
		for n := range 3 { // what each one held is free again
			if r := e.book(fmt.Sprint("k", n), "chair"); r.code != tt.booking || tt.booking == "" && len(r.body) != tt.size {
				t.Errorf("%s: a booking got status %d, code %q, %d bytes, want code %q", tt.name, r.status, r.code, len(r.body), tt.booking)
			}
			if r := e.do(http.MethodPost, engineapi.PathCompletions, whole); r.code != tt.prompt || tt.prompt == "" && len(r.body) != tt.size {
				t.Errorf("%s: a prompt got status %d, code %q, %d bytes, want code %q", tt.name, r.status, r.code, len(r.body), tt.prompt)
			}
		}
	}
}
