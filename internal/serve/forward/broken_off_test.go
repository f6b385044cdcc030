package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/routes"
)

func TestAnswerThatBreaksOffDoesNotLookCompleteToOldCallers(t *testing.T) {
	t.Parallel()
	broken := &instance{id: "e", stage: instances.Decode, serve: func(w http.ResponseWriter, r *http.Request) {
		writeEvent(w, 1)
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}}
	h := start(t, route(routes.Stream, nil), broken)
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /x/1 HTTP/1.0\r\nHost: a.example\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
	text, err := io.ReadAll(c)
	if err == nil {
		t.Errorf("an HTTP/1.0 caller, whose answers end with the connection, got an orderly end of %q", text)
	}
}

func TestWholeAnswersSayHowLongTheyAre(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("a", 100<<10)
	h := start(t, route(routes.Safe, nil), service("i", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
	if _, header, got, err := h.do(t, nil); err != nil || got != body || header.Get("Content-Length") != fmt.Sprint(len(body)) {
		t.Errorf("Content-Length %q of %d bytes, error %v", header.Get("Content-Length"), len(got), err)
	}
}
