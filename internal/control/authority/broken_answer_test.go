package authority

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"filberthook/internal/bench/brokenanswer"
	"filberthook/internal/engines/engineapi"
)

// answeringEngine starts an engine that answers orders and reads of its state and of orders.
func answeringEngine(t *testing.T, answer func(c *net.TCPConn, r *http.Request, body string)) EngineRef {
	t.Helper()
	ln, err := brokenanswer.Listen(func(c *net.TCPConn, r *http.Request) {
		var v any = engineapi.OrderStatus{ID: "o1", Phase: engineapi.OrderDone}
		if r.URL.Path == engineapi.PathState {
			v = engineapi.EngineState{Role: engineapi.RolePrefill}
		}
		body, err := json.Marshal(v)
		if err != nil {
			t.Error(err)
		}
		answer(c, r, string(body))
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return EngineRef{Instance: "e1", Incarnation: 1, Address: ln.Addr().String()}
}

func TestBrokenAnswerOfAnEngineIsNone(t *testing.T) {
	answers := map[string]func(c *net.TCPConn, r *http.Request, body string){
		"head of 1 MiB": func(c *net.TCPConn, _ *http.Request, body string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", strings.Repeat("X-Many: a\r\n", (1<<20)/11), len(body), body)
		},
		"body of more than the limit": func(c *net.TCPConn, _ *http.Request, body string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s%s", body, strings.Repeat(" ", maxResponseBytes))
		},
	}
	for _, b := range brokenanswer.All() {
		answers[b.Name] = func(c *net.TCPConn, r *http.Request, body string) { b.Send(c, r, "", body) }
		if b.Early { // orders are small
			delete(answers, b.Name)
		}
	}
	for name, answer := range answers {
		ref := answeringEngine(t, answer)
		transport := NewHTTPTransport(callTimeout)
		_, err := transport.Order(t.Context(), ref, engineapi.Order{ID: "o1", Fence: 3}, func() error { return nil })
		var notSent *NotSentError
		if err == nil || errors.As(err, &notSent) {
			t.Errorf("%s: an order ended with %v, want an error after it was sent", name, err)
		}
		if status, err := transport.OrderStatus(t.Context(), ref, "o1"); err == nil {
			t.Errorf("%s: taken for the status %+v", name, status)
		}
		if state, _, err := transport.State(t.Context(), ref); err == nil {
			t.Errorf("%s: taken for the state %+v", name, state)
		}
	}
}
