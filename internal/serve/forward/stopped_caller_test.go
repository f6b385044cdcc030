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

func TestCallerThatStopsReadingIsCutAfterTheDeadline(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	endless := &instance{id: "e", stage: instances.Decode, serve: func(w http.ResponseWriter, r *http.Request) {
		defer close(gone)
		for id := 1; r.Context().Err() == nil; id++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("a", 64<<10)); err != nil {
				return
			}
		}
	}}
	h := start(t, route(routes.Stream, func(r *routes.Route) { r.Timeout = time.Second }), endless)
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if endless.runs() > 0 && h.server.Active() == 0 {
			return
		}
	}
	t.Error("the request is still held 3 s after its timeout, as its caller reads nothing")
}

func TestSlowSoundUploadIsNotCut(t *testing.T) {
	t.Parallel()
	h := start(t, route(routes.Safe, nil), service("i", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}))
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 15\r\n\r\n")
	for range 15 { // longer than the host's ReadTimeout, within the route's timeout
		time.Sleep(100 * time.Millisecond)
		io.WriteString(c, "a")
	}
	answer, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(answer), strings.Repeat("a", 15)) {
		t.Errorf("answer %q, error %v", answer, err)
	}
}

func TestRefusedUploadThatNeverEndsIsCut(t *testing.T) {
	for name, target := range map[string]string{"no route": "/elsewhere/1", "too large": "/x/1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := start(t, route(routes.Safe, nil), service("i", ok))
			c, err := net.Dial("tcp", h.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nContent-Length: 100000\r\n\r\n", target)
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if _, err := io.WriteString(c, "a"); err != nil {
					return
				}
			}
			t.Error("a body that nobody wants is still being read after 5 s")
		})
	}
}
