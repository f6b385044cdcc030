package cachefeed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"filberthook/internal/bench/brokenanswer"
	"filberthook/internal/engines/engineapi"
)

func TestPageInABrokenAnswerIsNotRead(t *testing.T) {
	const hash = 77
	page, err := json.Marshal(engineapi.CacheEventPage{
		Incarnation: 4, Complete: true, Next: 1,
		Events: []engineapi.CacheEvent{{Sequence: 1, Kind: engineapi.CacheStored, Prefix: hash}},
	})
	if err != nil {
		t.Fatal(err)
	}
	answers := map[string]func(c *net.TCPConn, r *http.Request){
		"head of 1 MiB": func(c *net.TCPConn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", strings.Repeat("X-Many: a\r\n", (1<<20)/11), len(page), page)
		},
		"page of more than the limit": func(c *net.TCPConn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", page)
			blanks := strings.NewReader(strings.Repeat(" ", maxPageBytes))
			_, _ = io.Copy(c, blanks) // the other end may close
		},
	}
	for _, b := range brokenanswer.All() {
		answers[b.Name] = func(c *net.TCPConn, r *http.Request) { b.Send(c, r, "", string(page)) }
		if b.Early { // polls have no body
			delete(answers, b.Name)
		}
	}
	for name, answer := range answers {
		ln, err := brokenanswer.Listen(answer)
		if err != nil {
			t.Fatal(err)
		}
		f, index := newFeed(t, ln.Addr().String())
		f.poll(t.Context(), f.scan()[0])
		if f.failed.Get() != 1 || matched(index, hash) != 0 {
			t.Errorf("%s: %d failures, %d blocks matched, want a failed poll", name, f.failed.Get(), matched(index, hash))
		}
		ln.Close()
	}
}
